"""Measure the delay and cost of propagating versions to a fleet on loopback.

For each propagation strategy and fleet size, real nodes run as processes.
Changes of one contract are published at a steady rate. The delays are computed
from the status of each node, which reports how long each document has been in
force.
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
    choose_evenly_spaced,
    contract_text,
    fetch_member_status,
    fetch_read_count,
    fleet_without_targets,
    paused,
    publish_initial_documents,
    wait_until_in_force,
)
from bench.processes import measure_usage
from bench.results import print_results
from demo.fleet import ADDRESS, Fleet, Member
from marjoramlead.node_client import fetch_status, publish

IDLE_PERIOD_S = 8.0
CHANGE_INTERVAL_S = 0.5
# Time for a change to reach all nodes before they are queried.
PROPAGATION_WAIT_S = 7.0

app = App(name='convergence', help=__doc__)


class Result(TypedDict):
    """Result of one strategy at one fleet size.

    The prefix ``idle_`` marks rates while nothing changes; ``change_`` marks
    the cost of one change beyond them.

    Attributes
    ----------
    way
        Propagation strategy.
    frozen
        Nodes that were suspended while changes were published.
    median_s, p99_s, worst_s
        Seconds from publication until a change was in force on a node.
    missed
        Number of times that a queried change was not in force on a node in
        time.
    idle_bytes_s
        Bytes of control traffic sent by each node per second.
    change_bytes
        Bytes of control traffic sent by each node per change.
    idle_reads_s
        Reads of the source by the whole fleet per second.
    change_reads
        Reads of the source by the whole fleet per change.
    idle_core_percent
        Percentage of one core used by each node.
    change_cpu_ms
        Processor time used by each node per change.
    resident_mb
        Resident memory of each node.
    """

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
    """Resources used by the whole fleet up to one moment.

    Also holds differences of two samples, and rates per second.

    Attributes
    ----------
    at
        Seconds on the monotonic clock.
    control_bytes
        Bytes of control traffic sent by the nodes.
    reads
        Reads of the source.
    """

    at: float
    control_bytes: float
    reads: float
    cpu_s: float
    resident_mb: float


def measure(
    strategy: str,
    nodes: int,
    frozen: int,
    contracts: int,
    changes: int,
) -> Result:
    """Measure one strategy at one fleet size."""
    with (
        tempfile.TemporaryDirectory() as folder,
        fleet_without_targets(Path(folder), nodes, strategy) as fleet,
    ):
        publish_initial_documents(fleet, contracts)
        wait_until_in_force(fleet, f'contracts/c-{contracts - 1}')
        idle_rate = measure_idle_rate(fleet, IDLE_PERIOD_S)
        frozen_members = choose_evenly_spaced(fleet.members, frozen)
        before = take_sample(fleet)
        with paused(fleet, frozen_members):
            running_members = [
                each for each in fleet.members if each not in frozen_members
            ]
            delays = measure_delays(fleet, running_members, changes)
        after = take_sample(fleet)
    idle_cost = multiply_rate(idle_rate, after.at - before.at)
    change_cost = subtract_sample(subtract_sample(after, before), idle_cost)
    arrived = sorted(each for each in delays if each is not None)
    return {
        'way': strategy,
        'nodes': nodes,
        'frozen': frozen,
        'contracts': contracts,
        'changes': changes,
        'median_s': round(statistics.median(arrived), 3),
        'p99_s': round(arrived[int(len(arrived) * 0.99)], 3),
        'worst_s': round(arrived[-1], 3),
        'missed': len(delays) - len(arrived),
        'idle_bytes_s': round(idle_rate.control_bytes / nodes),
        'change_bytes': round(change_cost.control_bytes / nodes / changes),
        'idle_reads_s': round(idle_rate.reads, 1),
        'change_reads': round(change_cost.reads / changes, 1),
        'idle_core_percent': round(100 * idle_rate.cpu_s / nodes, 2),
        'change_cpu_ms': round(1000 * change_cost.cpu_s / nodes / changes, 2),
        'resident_mb': round(after.resident_mb / nodes, 1),
    }


def multiply_rate(rate: Sample, seconds: float) -> Sample:
    """Multiply a rate per second by a duration."""
    return rate._replace(
        at=seconds,
        control_bytes=rate.control_bytes * seconds,
        reads=rate.reads * seconds,
        cpu_s=rate.cpu_s * seconds,
    )


def subtract_sample(after: Sample, before: Sample) -> Sample:
    """Return the resources used between two samples.

    Resident memory is that of the later sample.
    """
    return after._replace(
        at=after.at - before.at,
        control_bytes=after.control_bytes - before.control_bytes,
        reads=after.reads - before.reads,
        cpu_s=after.cpu_s - before.cpu_s,
    )


def measure_delays(
    fleet: Fleet,
    members: Sequence[Member],
    changes: int,
) -> list[float | None]:
    """Publish changes of one contract and measure their delays.

    The nodes are queried after every fourth change and after the last, so
    delays are known for these changes only.

    Returns
    -------
    Seconds from publication until the change was in force, one for each node
    and queried change; None if the change did not arrive in time.
    """
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    name = 'contracts/c-0'
    delays: list[float | None] = []
    revision = fetch_revision(members[0], name)
    for change in range(changes):
        published_at = time.monotonic()
        text = contract_text('c-0', 100 + change)
        revision = publish(publisher, name, text, revision)
        time.sleep(
            CHANGE_INTERVAL_S if change < changes - 1 else PROPAGATION_WAIT_S
        )
        if change % 4 == 3 or change == changes - 1:
            time.sleep(PROPAGATION_WAIT_S - CHANGE_INTERVAL_S)
            delays.extend(
                propagation_delay(member, name, revision, published_at)
                for member in members
            )
    return delays


def propagation_delay(
    member: Member,
    name: str,
    revision: int,
    published_at: float,
) -> float | None:
    """Return the seconds from publication until a revision was in force.

    Returns None if the node does not have that revision in force now.
    """
    status = fetch_status(f'{ADDRESS}:{member.admin_port}')
    fetched_at = time.monotonic()
    for each in status['documents']:
        if (each['name'], each['revision']) == (name, revision):
            return max(0, fetched_at - each['since_s'] - published_at)
    return None


def fetch_revision(member: Member, name: str) -> int:
    """Fetch the revision of a document that a node has in force."""
    documents = fetch_member_status(member)['documents']
    return max(each['revision'] for each in documents if each['name'] == name)


def take_sample(fleet: Fleet) -> Sample:
    """Sum the resources that the nodes have used so far."""
    statuses = [fetch_member_status(member) for member in fleet.members]
    pids = [
        process.pid
        for name, process in fleet.processes.items()
        if name.startswith('node-')
    ]
    usage = measure_usage(pids)
    return Sample(
        time.monotonic(),
        sum(status['control_bytes_sent'] for status in statuses),
        fetch_read_count(f'http://{ADDRESS}:{fleet.source_port}'),
        usage.cpu_s,
        usage.resident_mb,
    )


def measure_idle_rate(fleet: Fleet, seconds: float) -> Sample:
    """Measure the resources used per second while nothing changes."""
    before = take_sample(fleet)
    time.sleep(seconds)
    spent = subtract_sample(take_sample(fleet), before)
    return multiply_rate(spent, 1)._replace(
        control_bytes=spent.control_bytes / spent.at,
        reads=spent.reads / spent.at,
        cpu_s=spent.cpu_s / spent.at,
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
    """Measure each propagation strategy at each fleet size.

    Parameters
    ----------
    ways
        Propagation strategies; see ``bench/propagation.py``.
    nodes
        Fleet sizes, multiples of 4.
    frozen
        Number of nodes to suspend while changes are published.
    contracts
        Number of contracts in force.
    changes
        Number of changes to publish in each measurement.
    as_json
        Print the results as one JSON object on the last line.
    """
    results: list[Result] = []
    for node_count in nodes:
        for strategy in ways:
            results.append(
                measure(strategy, node_count, frozen, contracts, changes)
            )
            sys.stdout.write(f'{results[-1]}\n')
            sys.stdout.flush()
    print_results(results, as_json=as_json)


if __name__ == '__main__':
    app()
