#!/bin/sh
# Builds what the scripts of the cases start beside the routers. The stand-ins are
# Python files that need the standard library only, so they are only checked here.
set -eu
cd "$(dirname "$0")"
python3 -B - lib/*.py [1-5]/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
