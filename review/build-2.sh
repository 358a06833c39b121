#!/usr/bin/env bash
# Builds every stand-in that a script of the second review starts. They need the standard library only and nothing is
# fetched: it compiles each of them once, outside the repository, to see that this interpreter can run it.
set -eu
cd "$(dirname "$0")/.."
python3 -S - review/stand_ins_2.py review/upstream_2.py review/case_2.py review/[4-8]/run.py <<'P'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(encoding="utf-8"), name, "exec")
        print(f"built {name}")
P
