#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start, beside the daemon of the deploy file. Their
# stand-ins are Python modules in rig-3, which need no build; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for path in [*pathlib.Path("rig-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]:
    ast.parse(path.read_text(), str(path))
CHECK
