#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file. The stand-ins are Python
# modules of review/ that run in the deploy file's environment; here they are compiled, to find a fault before a run.
set -eu
cd "$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)/.."
for module in review/harness_2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    if test -f "$module"; then .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$module"; fi
done
