#!/bin/bash
# Checks that the stand-ins of review/4 and review/5 can run: they need only
# python3 (3.11 or newer) and its standard library, so nothing is built.
set -e
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "python3 is older than 3.11"
for path in sorted(pathlib.Path().glob("harness-2/*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
