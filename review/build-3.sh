#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs, so there is nothing to compile; this checks that
# an interpreter with the modules that they need is there.
set -eu
cd "$(dirname "$0")/lib-3"
python3 -c "import tomllib, http.server; import installation" && rm -rf __pycache__
