#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start: Python without dependencies, which is
# only checked. They are threads of each script; no stand-in of the project's own is started.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PY'
import ast
import pathlib

folders = ["standins-2", *(str(number) for number in range(4, 9))]
for folder in folders:
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(path.read_text(), str(path))
        print("checked", path)
PY
