#!/usr/bin/env bash
# The stand-ins of the second review's scripts are Python and need no build. Checks that they can start, and that the program was built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.path.insert(0, "review"); import stand_ins_2; sys.exit(sys.version_info < (3, 9))'
[ -x target/ibisturn ] || { echo "build-2: run the build of deploy/system.toml first" >&2; exit 1; }
