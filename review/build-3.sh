#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start besides the hosts. The
# stand-ins need Python's standard library alone: they are only compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common-3
