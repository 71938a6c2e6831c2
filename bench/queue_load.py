"""Play loads of some multiples of the capacity on the queues of a service.

The figures say what callers get from the policy alone, whatever the machine;
see ``bench.queue_model``.
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
    """Play loads of some multiples of the capacity.

    Parameters
    ----------
    factors
        Work that arrives, as multiples of what the slots can do.
    seeds
        Runs of each, with other luck.
    json
        Print JSON instead of lines.
    """
    rows = []
    for factor, seed in product(factors, range(seeds)):
        for served in simulate(Scenario(factor), REQUEST_KINDS, seed):
            rows.append({'factor': factor, 'seed': seed, **served})
            if not json:
                sys.stdout.write(_line(factor, served))
    print_results(rows, as_json=json)
    return 0


def _line(factor: float, served: KindResult) -> str:
    ends = ', '.join(
        f'{each} {served[each]:.3f}'
        for each in ('in_time', 'late', 'refused', 'expired', 'worth')
    )
    return f'{factor:.1f} times  {served["kind"]:8} {ends}\n'


if __name__ == '__main__':
    app()
