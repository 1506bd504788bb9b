#!/bin/sh
# Checks that the stand-ins and drivers compile; they need the standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -B - <<'PY'
import pathlib

for path in sorted(pathlib.Path().glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
PY
