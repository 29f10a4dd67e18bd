#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are plain Python on the standard library, in
# review/harness.py, so it is enough that they compile.
cd "$(dirname "$0")" && exec python3 -B -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
