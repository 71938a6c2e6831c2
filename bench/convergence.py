"""Measure how fast, and at what cost, versions reach a fleet on loopback.

For each way of passing versions on and each fleet size, real nodes run as
processes. A number of changes is published at a steady rate; each node says
how long each has been in force.
"""

import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, NamedTuple, TypedDict

from cyclopts import App, Parameter

from bench.fleets import (
    contract_text,
    every_nth,
    fleet_of,
    paused,
    publish_first,
    reads_of,
    status_of,
    wait_for,
)
from bench.processes import usage_of
from bench.results import print_results
from demo.fleet import ADDRESS, Fleet, Member
from marjoramlead.node_client import fetch_status, publish

IDLE_S = 8.0
GAP_S = 0.5
SETTLE_S = 7.0

app = App(name='convergence', help=__doc__)


class Result(TypedDict):
    """One way at one size."""

    way: str
    nodes: int
    frozen: int
    contracts: int
    changes: int
    median_s: float
    p99_s: float
    worst_s: float
    missed: int
    idle_bytes_s: float
    change_bytes: float
    idle_reads_s: float
    change_reads: float
    idle_core_percent: float
    change_cpu_ms: float
    resident_mb: float


class Sample(NamedTuple):
    """What the fleet has spent up to one moment."""

    at: float
    control_bytes: float
    reads: float
    cpu_s: float
    resident_mb: float


def measure(
    way: str,
    nodes: int,
    frozen: int,
    contracts: int,
    changes: int,
) -> Result:
    """Run one way at one size."""
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet_of(Path(folder), nodes, way) as fleet,
    ):
        publish_first(fleet, contracts)
        wait_for(fleet, f'contracts/c-{contracts - 1}')
        idle = spent(fleet, IDLE_S)
        halted = every_nth(fleet.members, frozen)
        before = sample(fleet)
        with paused(fleet, halted):
            awake = [each for each in fleet.members if each not in halted]
            delays = run_changes(fleet, awake, changes)
        after = sample(fleet)
    idle_cost = scaled(idle, after.at - before.at)
    change_cost = minus(minus(after, before), idle_cost)
    met = sorted(each for each in delays if each is not None)
    return {
        'way': way,
        'nodes': nodes,
        'frozen': frozen,
        'contracts': contracts,
        'changes': changes,
        'median_s': round(statistics.median(met), 3),
        'p99_s': round(met[int(len(met) * 0.99)], 3),
        'worst_s': round(met[-1], 3),
        'missed': len(delays) - len(met),
        'idle_bytes_s': round(idle.control_bytes / nodes),
        'change_bytes': round(change_cost.control_bytes / nodes / changes),
        'idle_reads_s': round(idle.reads, 1),
        'change_reads': round(change_cost.reads / changes, 1),
        'idle_core_percent': round(100 * idle.cpu_s / nodes, 2),
        'change_cpu_ms': round(1000 * change_cost.cpu_s / nodes / changes, 2),
        'resident_mb': round(after.resident_mb / nodes, 1),
    }


def scaled(rate: Sample, seconds: float) -> Sample:
    """Multiply what is spent a second."""
    return rate._replace(
        at=seconds,
        control_bytes=rate.control_bytes * seconds,
        reads=rate.reads * seconds,
        cpu_s=rate.cpu_s * seconds,
    )


def minus(after: Sample, before: Sample) -> Sample:
    """Subtract what had been spent before."""
    return after._replace(
        at=after.at - before.at,
        control_bytes=after.control_bytes - before.control_bytes,
        reads=after.reads - before.reads,
        cpu_s=after.cpu_s - before.cpu_s,
    )


def run_changes(
    fleet: Fleet,
    members: Sequence[Member],
    changes: int,
) -> list[float | None]:
    """Publish changes of one contract and collect each node's delays.

    Returns
    -------
    Seconds from publication to in force, one for each node and change that
    a node saw last; None where it did not come in time.
    """
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    name = 'contracts/c-0'
    delays: list[float | None] = []
    revision = document_revision(members[0], name)
    for change in range(changes):
        began = time.monotonic()
        text = contract_text('c-0', 100 + change)
        revision = publish(publisher, name, text, revision)
        time.sleep(GAP_S if change < changes - 1 else SETTLE_S)
        if change % 4 == 3 or change == changes - 1:
            time.sleep(SETTLE_S - GAP_S)
            delays.extend(
                delay_at(member, name, revision, began) for member in members
            )
    return delays


def delay_at(
    member: Member,
    name: str,
    revision: int,
    began: float,
) -> float | None:
    """Ask one node when a revision came in force."""
    status = fetch_status(f'{ADDRESS}:{member.admin_port}')
    asked = time.monotonic()
    for each in status['documents']:
        if (each['name'], each['revision']) == (name, revision):
            return max(0, asked - each['since_s'] - began)
    return None


def document_revision(member: Member, name: str) -> int:
    """Ask one node for the revision that it has in force."""
    documents = status_of(member)['documents']
    return max(each['revision'] for each in documents if each['name'] == name)


def sample(fleet: Fleet) -> Sample:
    """Add up what the nodes have spent."""
    statuses = [status_of(member) for member in fleet.members]
    pids = [
        process.pid
        for name, process in fleet.processes.items()
        if name.startswith('node-')
    ]
    usage = usage_of(pids)
    return Sample(
        time.monotonic(),
        sum(status['control_bytes_sent'] for status in statuses),
        reads_of(f'http://{ADDRESS}:{fleet.source_port}'),
        usage.cpu_s,
        usage.resident_mb,
    )


def spent(fleet: Fleet, seconds: float) -> Sample:
    """Measure what the fleet spends a second while nothing changes."""
    before = sample(fleet)
    time.sleep(seconds)
    taken = minus(sample(fleet), before)
    return scaled(taken, 1)._replace(
        control_bytes=taken.control_bytes / taken.at,
        reads=taken.reads / taken.at,
        cpu_s=taken.cpu_s / taken.at,
    )


@app.default
def run(
    *,
    ways: Sequence[str] = ('poll', 'pull', 'tree', 'chance', 'built'),
    nodes: Sequence[int] = (8, 24),
    frozen: int = 0,
    contracts: int = 4,
    changes: int = 8,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> None:
    """Measure each way at each size.

    Parameters
    ----------
    ways
        Of passing versions on; see ``bench/propagation.py``.
    nodes
        Fleet sizes, multiples of 4.
    frozen
        Nodes that are frozen while changes are published.
    contracts
        Contracts in force.
    changes
        Changes to publish at each.
    as_json
        End with one JSON object on the last line.
    """
    results: list[Result] = []
    for size in nodes:
        for way in ways:
            results.append(measure(way, size, frozen, contracts, changes))
            sys.stdout.write(f'{results[-1]}\n')
            sys.stdout.flush()
    print_results(results, as_json=as_json)


if __name__ == '__main__':
    app()
