#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it was not played.
cd "$(dirname "$0")/../.." || exit 2
exec python3 -m review.5.case
