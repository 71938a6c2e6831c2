#!/usr/bin/env bash
# Compile the stand-ins, which need nothing but Python's own library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
