#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can start. They are plain Python
# modules of the standard library, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in [*pathlib.Path("common_2").glob("*.py"), *pathlib.Path().glob("[0-9]*/case.py")]:
    ast.parse(path.read_text(encoding="utf-8"))
PYTHON
