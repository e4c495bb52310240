#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python of the standard library only, so this checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-2/*.py [0-9]*/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
