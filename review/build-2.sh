#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10: they are scripts that need only the standard library of Python 3.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in harness/stand.py [0-9]*/run.py; do
    python3 - "$file" <<'CHECK'
import ast, sys
ast.parse(open(sys.argv[1]).read(), sys.argv[1])
CHECK
done
