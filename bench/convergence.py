"""Measure how fast, and at what cost, versions reach a fleet on loopback.

For each way of passing versions on and each fleet size, real nodes run as
processes. A number of changes is published at a steady rate; each node says
how long each has been in force.
"""

import json
import signal
import statistics
import sys
import tempfile
import time
import urllib.request
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated, NamedTuple, TypedDict

from cyclopts import App, Parameter

from bench.processes import usage_of
from demo.fleet import (
    ADDRESS,
    Fleet,
    Member,
    free_ports,
    hosts_documents,
    lay_out,
    node_settings,
    start,
    stop_all,
)
from marjoramlead.errors import NodeError
from marjoramlead.node_client import fetch_status, publish
from marjoramlead.reports import NodeStatus

DATA_CENTRES = ('akl-a', 'akl-b', 'wlg-a', 'hlz-a')
CONTRACT = Path('examples') / 'tamworth.json'
UP_LIMIT_S = 60.0
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


@contextmanager
def fleet_of(
    folder: Path,
    nodes: int,
    way: str,
) -> Iterator[Fleet]:
    """Run a source and so many nodes without targets."""
    services = [('tamworth', f's-{number}') for number in range(nodes // 4)]
    members = lay_out(DATA_CENTRES, services)
    fleet = Fleet(folder, free_ports(1)[0], members, {})
    try:
        start_nodes(fleet, way)
        yield fleet
    finally:
        stop_all(fleet)


def start_nodes(fleet: Fleet, way: str) -> None:
    """Start all processes."""
    port = f'--port={fleet.source}'
    start(fleet, 'source', ['-m', 'standins.source', port])
    for member in fleet.members:
        path = fleet.folder / f'{member.host}.json'
        settings = node_settings(fleet, member)
        path.write_text(json.dumps(settings | {'log_level': 'warning'}))
        argv = ['-m', 'bench.variant', f'--way={way}', f'--settings={path}']
        start(fleet, f'node-{member.host}', argv)


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


def every_nth(members: Sequence[Member], count: int) -> list[Member]:
    """Choose so many members, spread over the fleet."""
    if not count:
        return []
    step = len(members) // count
    return [members[number * step] for number in range(count)]


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


def publish_first(fleet: Fleet, contracts: int) -> None:
    """Publish host lists and contracts."""
    publisher = f'http://{ADDRESS}:{fleet.source}'
    wait_for_source(publisher)
    for listed, hosts in hosts_documents(fleet.members).items():
        publish(publisher, listed, hosts, 0)
    for number in range(contracts):
        name = f'contracts/c-{number}'
        publish(publisher, name, contract_text(f'c-{number}', 20), 0)


def contract_text(customer: str, queue: int) -> str:
    """Write a contract; the queue tells its versions apart."""
    text = CONTRACT.read_text()
    named = text.replace('"customer": "tamworth"', f'"customer": "{customer}"')
    return named.replace('"queue": 20', f'"queue": {queue}')


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
    publisher = f'http://{ADDRESS}:{fleet.source}'
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
    status = fetch_status(f'{ADDRESS}:{member.admin}')
    asked = time.monotonic()
    for each in status['documents']:
        if (each['name'], each['revision']) == (name, revision):
            return max(0, asked - each['since_s'] - began)
    return None


def document_revision(member: Member, name: str) -> int:
    """Ask one node for the revision that it has in force."""
    documents = status_of(member)['documents']
    return max(each['revision'] for each in documents if each['name'] == name)


def status_of(member: Member) -> NodeStatus:
    """Ask a node for its status."""
    return fetch_status(f'{ADDRESS}:{member.admin}')


@contextmanager
def paused(fleet: Fleet, members: Sequence[Member]) -> Iterator[None]:
    """Freeze nodes for a while."""
    processes = [fleet.processes[f'node-{each.host}'] for each in members]
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for process in processes:
            process.send_signal(signal.SIGCONT)


def wait_for(fleet: Fleet, name: str) -> None:
    """Wait until a document is in force on all nodes."""
    deadline = time.monotonic() + UP_LIMIT_S
    for member in fleet.members:
        while not holds(member, name):
            if time.monotonic() > deadline:
                raise TimeoutError(f'{member.host} never had {name}')
            time.sleep(0.1)


def holds(member: Member, name: str) -> bool:
    """Whether a node has a document in force."""
    try:
        documents = status_of(member)['documents']
    except NodeError:
        return False
    return any(each['name'] == name for each in documents)


def wait_for_source(publisher: str) -> None:
    """Wait until the source answers."""
    deadline = time.monotonic() + UP_LIMIT_S
    while time.monotonic() < deadline:
        try:
            reads_of(publisher)
        except OSError:
            time.sleep(0.1)
        else:
            return


def reads_of(publisher: str) -> int:
    """Ask the source how often it was read."""
    with urllib.request.urlopen(f'{publisher}/v1/stats') as answer:
        return json.load(answer)['reads']


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
        reads_of(f'http://{ADDRESS}:{fleet.source}'),
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
        Of passing versions on; see ``bench/variant.py``.
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
    if as_json:
        sys.stdout.write(f'{json.dumps({"results": results})}\n')


if __name__ == '__main__':
    app()
