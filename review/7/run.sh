#!/bin/sh
# Runs the case in the environment that the deploy file's build makes. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(CDPATH= cd -- "$(dirname -- "$0")" && pwd)
"$here/../../.venv/bin/python" -B "$here/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
