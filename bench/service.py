"""Measure service in overload, and while a data centre leaves and returns.

Gateways, guards and stand-in targets of one service run in memory under a
virtual clock, which advances in steps of 10 ms. The figures therefore show the
effect of the policies alone and don't depend on the speed of the machine. Each
case runs twice: as built, and as a baseline whose contract has no effective
limit of slots or connections and no queue. Targets that return are cold.
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
TAKE_OUT_AT_S = 2.0
BRING_BACK_AT_S = 4.0
LEAVE_LOAD_S = 7.0
OVERLOAD_LOAD_S = 2.0
# Time after the load for open calls to end.
DRAIN_S = 6.0
TAKEN_OUT_DATA_CENTRE = 'walsall'
SLOTS = 6
NO_LIMIT = 10_000
CHECK_REQUEST = ('GET', '/moulds')
BOOK_REQUEST = ('POST', '/bookings')
REQUEST_MIX = (*(CHECK_REQUEST,) * 7, BOOK_REQUEST)

app = App(name='service', help=__doc__)


TimedAction = tuple[float, Callable[[], None]]


class Result(TypedDict):
    """Result of one case, as built or as the baseline.

    Attributes
    ----------
    way
        Either ``built`` or ``baseline``.
    rate
        Offered calls per second.
    goodput
        Calls answered with 200, per second of load.
    capacity
        Calls per second that all warm targets can serve together.
    check_ms, book_ms
        Percentiles 50, 99 and 99.9 of the latency of answered calls, in
        milliseconds: of ``GET /moulds`` and of ``POST /bookings``.
    refusals
        Number of refused calls by reason.
    lost
        Calls that had no answer when the case ended.
    ran_twice
        Bookings that ran more than once.
    work_while_out
        Requests that targets of the data centre answered from one second
        after it was taken out until it was brought back.
    overloaded
        Requests that reached a target at its concurrency limit.
    """

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


def build_mesh(variant: str) -> Mesh:
    """Create a mesh with warm targets, with or without the limits."""
    mesh = Mesh(NODES)
    for node in range(NODES):
        # Exceeds warm_answers of the contract, so the target is warm.
        mesh.targets[node].answers = NO_LIMIT
        guard = mesh.guards[node]
        guard.admission.slow_start.responses = NO_LIMIT
    if variant == 'baseline':
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
    actions: Sequence[TimedAction],
) -> None:
    """Make calls at a steady rate and run each action when it is due."""
    started_at = mesh.net.clock.seconds()
    remaining = list(actions)
    call_count = 0
    while mesh.net.clock.seconds() - started_at < seconds:
        now = mesh.net.clock.seconds() - started_at
        while remaining and remaining[0][0] <= now:
            remaining.pop(0)[1]()
        while call_count < rate * now:
            mesh.call(
                call_count % NODES, *REQUEST_MIX[call_count % len(REQUEST_MIX)]
            )
            call_count += 1
        mesh.net.advance(STEP_S)
    mesh.net.advance(DRAIN_S)


def leave_and_return(mesh: Mesh, rate: float) -> int:
    """Take a data centre out under load, and bring it back cold.

    Returns
    -------
    Number of requests that its targets answered from one second after it was
    taken out until it was brought back.
    """
    nodes = [
        node
        for node in range(NODES)
        if mesh.data_centre(node) == TAKEN_OUT_DATA_CENTRE
    ]
    answer_counts: list[int] = []

    def record_answer_count() -> None:
        answer_counts.append(sum(mesh.targets[node].answers for node in nodes))

    def bring_back() -> None:
        record_answer_count()
        for node in nodes:
            mesh.start_target(node)
        mesh.take_out()

    run_load(
        mesh,
        rate,
        LEAVE_LOAD_S,
        [
            (TAKE_OUT_AT_S, lambda: mesh.take_out(TAKEN_OUT_DATA_CENTRE)),
            (TAKE_OUT_AT_S + 1, record_answer_count),
            (BRING_BACK_AT_S, bring_back),
        ],
    )
    return answer_counts[1] - answer_counts[0]


def latency_percentiles_ms(calls: Sequence[Call], path: str) -> list[float]:
    """Return the percentiles 50, 99 and 99.9 of the latency of a path.

    Only calls that were answered with 200 count.
    """
    latencies_s = sorted(
        call.ended[0].at - call.started_at
        for call in calls
        if call.path == path and call.ended and call.ended[0].status == 200
    )
    if not latencies_s:
        return []
    last = len(latencies_s) - 1
    return [
        round(1000 * latencies_s[int(last * quantile)])
        for quantile in (0.5, 0.99, 0.999)
    ]


def measure(case: str, variant: str, rate: float) -> Result:
    """Measure one case, as built or as the baseline."""
    mesh = build_mesh(variant)
    work_while_out = 0
    if case == 'leave and return':
        seconds = LEAVE_LOAD_S
        work_while_out = leave_and_return(mesh, rate)
    else:
        seconds = OVERLOAD_LOAD_S
        run_load(mesh, rate, seconds, [])
    ends = [call.ended[0] for call in mesh.calls if call.ended]
    bookings = [call for call in mesh.calls if call.path == '/bookings']
    answered = sum(end.status == 200 for end in ends)
    return {
        'case': case,
        'way': variant,
        'rate': rate,
        'goodput': round(answered / seconds),
        'capacity': NODES * SLOTS * 1000 / WORK_MS,
        'check_ms': latency_percentiles_ms(mesh.calls, '/moulds'),
        'book_ms': latency_percentiles_ms(mesh.calls, '/bookings'),
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
        Load offered while a data centre leaves and returns, as a share of
        the capacity. The overload case offers twice the capacity.
    as_json
        Print the results as one JSON object on the last line.
    """
    capacity = NODES * SLOTS * 1000 / WORK_MS
    results: list[Result] = []
    for variant in ('built', 'baseline'):
        for case, rate in (
            ('leave and return', share * capacity),
            ('overload', 2 * capacity),
        ):
            results.append(measure(case, variant, rate))
            sys.stdout.write(f'{results[-1]}\n')
            sys.stdout.flush()
    print_results(results, as_json=as_json)


if __name__ == '__main__':
    app()
