#!/bin/sh
# The stand-ins of these cases are Python files that need nothing but the standard library: nothing is compiled.
# This checks that they can be read, so that a case which can't run is known before it is started.
set -eu
cd "$(dirname "$0")"
python3 - common/*.py [0-9]/*.py <<'PYTHON'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print(f"{len(sys.argv) - 1} files can be read")
PYTHON
