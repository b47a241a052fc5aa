#!/usr/bin/env bash
# The stand-ins are Python scripts that use the standard library only; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
for path in sorted(glob.glob("lib/*.py") + glob.glob("[1-5]/*.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
    print("compiled", path)
CHECK
