#!/bin/sh
# Checks that the stand-ins compile. They are run from source.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
