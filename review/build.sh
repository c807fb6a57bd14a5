#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the system: the stand-ins, which need Python 3.11 and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in lib/*.py [1-5]/*.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
