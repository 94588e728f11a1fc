#!/bin/sh
# Checks that all that the scripts start compiles: it runs from source.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

sources = [
    *pathlib.Path("mintsaddle/platform/tests").glob("*.py"),
    *pathlib.Path("review/standins_2").rglob("*.py"),
    *(path for n in range(4, 9) for path in pathlib.Path(f"review/{n}").glob("*.py")),
]
for path in sources:
    compile(path.read_text(), str(path), "exec")
PYTHON
