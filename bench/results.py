"""Output of the results of a benchmark."""

import json
import sys
from collections.abc import Mapping, Sequence

__all__ = ('print_results',)


def print_results(
    results: Sequence[Mapping[str, object]],
    *,
    as_json: bool,
) -> None:
    """Print the results as one JSON object if ``as_json`` is set."""
    if as_json:
        sys.stdout.write(f'{json.dumps({"results": results})}\n')
    sys.stdout.flush()
