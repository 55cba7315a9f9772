#!/bin/sh
# The stand-ins are Python and need no build; this checks that they compile. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." && exec .venv/bin/python -B -c '
import ast, pathlib
for path in pathlib.Path("review").rglob("*.py"):
    ast.parse(path.read_text(), str(path))
'
