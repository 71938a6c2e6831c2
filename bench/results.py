"""Print what a bench has measured."""

import json
import sys
from collections.abc import Mapping, Sequence

__all__ = ('print_results',)


def print_results(
    results: Sequence[Mapping[str, object]],
    *,
    as_json: bool,
) -> None:
    """End a bench; with ``as_json`` the last line is one JSON object."""
    if as_json:
        sys.stdout.write(f'{json.dumps({"results": results})}\n')
    sys.stdout.flush()
