#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python files without dependencies, so there is nothing to compile beyond
# a check of their syntax.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile lib/*.py [1-5]/*.py
