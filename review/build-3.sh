#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are Python and need nothing but its standard library. Checks that it and the gateway's program are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/world_3.py
test -x target/ibisturn
