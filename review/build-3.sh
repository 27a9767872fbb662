#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python, so that there is nothing to compile: this only checks
# that the interpreter is there and that it accepts them. The program under test comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in common-3/*.py 1[1-5]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
