#!/usr/bin/env bash
# The stand-ins of the scripts (stand_ins.py) need nothing but Python's own library: it only looks whether they can be read.
cd "$(dirname "$0")" || exit 2
for file in stand_ins.py ./*/*.py; do
    python3 -c 'import ast, pathlib, sys; ast.parse(pathlib.Path(sys.argv[1]).read_text(encoding="utf-8"))' "$file" || exit 2
done
