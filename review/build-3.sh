#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python programs without dependencies, so that
# only their syntax is checked. The program itself is built with the command of the deploy file.
cd "$(dirname "$0")" && python3 - <<'PYTHON'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in ["lib-3/rig.py"] + [f"{number}/case.py" for number in range(11, 16)]:
    with open(name, encoding="utf-8") as source:
        ast.parse(source.read(), name)
PYTHON
