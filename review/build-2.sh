#!/usr/bin/env bash
# Prepares the scripts of the second review. Their stand-ins are Python programs, which need no build: this checks that they
# can be read. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$(readlink -f "$0")")"
python3 - lib-2/*.py {6,7,8,9,10}/case.py <<'PYTHON'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding="utf-8"), name)
PYTHON
