"""Measure service while a data centre leaves and returns, and in overload.

Gateways, guards and stand-in targets of one service run in memory under a
virtual clock, so the figures are those of the policy alone, whatever the
machine; the clock moves in steps of 10 ms. Each case runs twice: as built,
and with guards that let all through and retries without a share. The targets
that return are cold.
"""

import sys
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Annotated, TypedDict

from cyclopts import App, Parameter

from bench.results import print_results
from tests.mesh import WORK_MS, Call, Mesh

NODES = 4
STEP_S = 0.01
OUT_AT_S = 2.0
BACK_AT_S = 4.0
LEAVE_S = 7.0
OVERLOAD_S = 2.0
TAIL_S = 6.0
OUT = 'walsall'
SLOTS = 6
NO_LIMIT = 10_000
CHECK = ('GET', '/moulds')
BOOK = ('POST', '/bookings')
MIX = (*(CHECK,) * 7, BOOK)

app = App(name='service', help=__doc__)


Event = tuple[float, Callable[[], None]]


class Result(TypedDict):
    """One case, with or without the mechanisms."""

    case: str
    way: str
    rate: float
    goodput: float
    capacity: float
    check_ms: list[float]
    book_ms: list[float]
    refusals: dict[str, int]
    lost: int
    ran_twice: int
    work_while_out: int
    overloaded: int


def build_mesh(way: str) -> Mesh:
    """Build a warm fleet."""
    mesh = Mesh(NODES)
    for node in range(NODES):
        mesh.targets[node].answers = NO_LIMIT
        guard = mesh.guards[node]
        guard.admission.slow_start.responses = NO_LIMIT
    if way == 'baseline':
        mesh.publish_contract(
            slots=NO_LIMIT,
            cold_slots=NO_LIMIT,
            connections=NO_LIMIT,
            queue=0,
        )
    return mesh


def run_load(
    mesh: Mesh,
    rate: float,
    seconds: float,
    events: Sequence[Event],
) -> None:
    """Make calls at a steady rate, and let things happen at their time."""
    began = mesh.net.clock.seconds()
    left = list(events)
    made = 0
    while mesh.net.clock.seconds() - began < seconds:
        now = mesh.net.clock.seconds() - began
        while left and left[0][0] <= now:
            left.pop(0)[1]()
        while made < rate * now:
            mesh.call(made % NODES, *MIX[made % len(MIX)])
            made += 1
        mesh.net.advance(STEP_S)
    mesh.net.advance(TAIL_S)


def leave_and_return(mesh: Mesh, rate: float) -> int:
    """Take a data centre out and bring it back cold.

    Returns
    -------
    Requests that ran there a second or more after it was taken out.
    """
    inside = [node for node in range(NODES) if mesh.data_centre(node) == OUT]
    counts: list[int] = []

    def count() -> None:
        counts.append(sum(mesh.targets[node].answers for node in inside))

    def bring_back() -> None:
        count()
        for node in inside:
            mesh.start_target(node)
        mesh.take_out()

    run_load(
        mesh,
        rate,
        LEAVE_S,
        [
            (OUT_AT_S, lambda: mesh.take_out(OUT)),
            (OUT_AT_S + 1, count),
            (BACK_AT_S, bring_back),
        ],
    )
    return counts[1] - counts[0]


def percentiles(calls: Sequence[Call], path: str) -> list[float]:
    """Milliseconds of answered calls at 50, 99 and 99.9 in 100."""
    taken = sorted(
        call.ended[0].at - call.started_at
        for call in calls
        if call.path == path and call.ended and call.ended[0].status == 200
    )
    if not taken:
        return []
    last = len(taken) - 1
    return [
        round(1000 * taken[int(last * share)]) for share in (0.5, 0.99, 0.999)
    ]


def measure(case: str, way: str, rate: float) -> Result:
    """Run one case one way."""
    mesh = build_mesh(way)
    work_while_out = 0
    if case == 'leave and return':
        seconds = LEAVE_S
        work_while_out = leave_and_return(mesh, rate)
    else:
        seconds = OVERLOAD_S
        run_load(mesh, rate, seconds, [])
    ends = [call.ended[0] for call in mesh.calls if call.ended]
    bookings = [call for call in mesh.calls if call.path == '/bookings']
    ok = sum(end.status == 200 for end in ends)
    return {
        'case': case,
        'way': way,
        'rate': rate,
        'goodput': round(ok / seconds),
        'capacity': NODES * SLOTS * 1000 / WORK_MS,
        'check_ms': percentiles(mesh.calls, '/moulds'),
        'book_ms': percentiles(mesh.calls, '/bookings'),
        'refusals': dict(Counter(end.reason for end in ends if end.reason)),
        'lost': len(mesh.calls) - len(ends),
        'ran_twice': sum(mesh.ran[call.request_id] > 1 for call in bookings),
        'work_while_out': work_while_out,
        'overloaded': mesh.total_collapses(),
    }


@app.default
def run(
    *,
    share: float = 0.4,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> None:
    """Measure all cases.

    Parameters
    ----------
    share
        Of the capacity, offered while a data centre leaves and returns;
        in overload it is twice the capacity.
    as_json
        End with one JSON object on the last line.
    """
    capacity = NODES * SLOTS * 1000 / WORK_MS
    results: list[Result] = []
    for way in ('built', 'baseline'):
        for case, rate in (
            ('leave and return', share * capacity),
            ('overload', 2 * capacity),
        ):
            results.append(measure(case, way, rate))
            sys.stdout.write(f'{results[-1]}\n')
            sys.stdout.flush()
    print_results(results, as_json=as_json)


if __name__ == '__main__':
    app()
