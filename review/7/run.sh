#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves out the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/../.."
exec python3 "$here/case.py"
