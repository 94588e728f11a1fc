#!/bin/sh
# Plays the case from the project's root, after the build of the deploy file.
# TROUBLE=0 leaves the disruption out. Exit: 1 broken, 0 held, 2 couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -d target/deps ] || exit 2
PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/standins_2"
PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH PYTHONDONTWRITEBYTECODE
exec timeout -k 5 110 python3 "$here/case.py"
