#!/bin/sh
exec java -XX:+UseSerialGC ${VANILLADOOR_JAVA_OPTIONS:-} -jar "$0" "$@"
