#!/bin/sh
# The stand-ins of the cases from 9 on are Python without packages: nothing is compiled, and nothing is
# fetched. This checks that they can run.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 - <<'CHECK'
import ast, glob
for path in glob.glob("review/lib3/*.py") + glob.glob("review/*/case.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK
