"""Simulate the queues of a service under multiples of its capacity.

The figures show what callers get from the queueing policy alone and don't
depend on the speed of the machine; see ``bench.queue_model``.
"""

import sys
from collections.abc import Sequence
from itertools import product
from typing import Annotated

from cyclopts import App, Parameter

from bench.queue_model import REQUEST_KINDS, KindResult, Scenario, simulate
from bench.results import print_results

__all__ = ('app', 'main')

app = App(name='queue_load', help=__doc__)


@app.default
def main(
    *,
    factors: Sequence[float] = (0.7, 1.0, 1.5, 3.0),
    seeds: int = 3,
    json: Annotated[bool, Parameter(negative='')] = False,
) -> int:
    """Simulate loads of several multiples of the capacity.

    Parameters
    ----------
    factors
        Offered loads, as multiples of the capacity of all slots.
    seeds
        Number of runs of each load, each with its own random seed.
    json
        Print JSON instead of lines of text.
    """
    rows = []
    for factor, seed in product(factors, range(seeds)):
        for result in simulate(Scenario(factor), REQUEST_KINDS, seed):
            rows.append({'factor': factor, 'seed': seed, **result})
            if not json:
                sys.stdout.write(_format_row(factor, result))
    print_results(rows, as_json=json)
    return 0


def _format_row(factor: float, result: KindResult) -> str:
    shares = ', '.join(
        f'{label} {result[label]:.3f}'
        for label in ('in_time', 'late', 'refused', 'expired', 'worth')
    )
    return f'{factor:.1f} times  {result["kind"]:8} {shares}\n'


if __name__ == '__main__':
    app()
