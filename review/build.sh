#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python without dependencies, so
# that there is only to check that this Python can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common/*.py [1-5]/case.py <<'CHECK'
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 is needed')
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, 'exec')
print(f'{len(sys.argv) - 1} files can be run')
CHECK
