#!/usr/bin/env bash
# The stand-ins are Python programs and need no build; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 - common/*.py [1-5]/*.py <<'P'
import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
P
