#!/usr/bin/env bash
# Every stand-in of the cases is in harness.py and in the case.py files, which need no build: only that they can be read is checked.
cd "$(dirname "$0")" || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in harness.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file" || exit 1
done
