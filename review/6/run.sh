#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run, and writes record.txt.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" python3 -B case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
