#!/bin/sh
# Builds what the cases 6 to 10 start beside the program of the deploy file: the coordinators and the tool. All other
# stand-ins are Python files that need nothing but the standard library; it is checked that they can be read.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p mothpier-coordinator -p mothpierctl
python3 - review/common-2/*.py review/[6-9]/*.py review/10/*.py <<'PYTHON'
import ast
import os
import sys

paths = [path for path in sys.argv[1:] if os.path.exists(path)]
for path in paths:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print(f"{len(paths)} files can be read")
PYTHON
