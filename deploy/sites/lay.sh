#!/bin/bash
# Lays what the bench needs beside these sites, from the folder that is given: real.json, wire.json and unlock.txt of its
# sites. They are the bench's, are ignored by git, and never enter this repository.
#     bash deploy/sites/lay.sh ../given/kit/sites
set -euo pipefail
for name in real.json wire.json unlock.txt; do
    install -m 644 "$1/$name" "$(dirname "$0")/$name"
done
