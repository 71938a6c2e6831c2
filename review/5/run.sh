#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it was not played.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 -m review.5.case
