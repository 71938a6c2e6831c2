#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the nodes: their
# stand-ins need Python 3.11 or later and nothing else.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. python3 -c 'import review.fleet.cases, review.fleet.deployment'
