"""Fleets of real nodes without targets, for the benches of configuration."""

import json
import signal
import time
import urllib.request
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from demo.fleet import (
    ADDRESS,
    Fleet,
    Member,
    build_members,
    free_ports,
    hosts_documents,
    node_settings,
    start_process,
    stop_all,
)
from marjoramlead.errors import NodeError
from marjoramlead.node_client import fetch_status, publish
from marjoramlead.reports import NodeStatus

__all__ = (
    'contract_text',
    'every_nth',
    'fleet_of',
    'paused',
    'publish_first',
    'reads_of',
    'status_of',
    'wait_for',
)

DATA_CENTRES = ('akl-a', 'akl-b', 'wlg-a', 'hlz-a')
CONTRACT = Path('examples') / 'tamworth.json'
UP_LIMIT_S = 60.0


@contextmanager
def fleet_of(
    folder: Path,
    nodes: int,
    way: str,
) -> Iterator[Fleet]:
    """Run a source and so many nodes without targets."""
    services = [('tamworth', f's-{number}') for number in range(nodes // 4)]
    members = build_members(DATA_CENTRES, services)
    fleet = Fleet(folder, free_ports(1)[0], members, {})
    try:
        start_nodes(fleet, way)
        yield fleet
    finally:
        stop_all(fleet)


def start_nodes(fleet: Fleet, way: str) -> None:
    """Start all processes."""
    port = f'--port={fleet.source_port}'
    start_process(fleet, 'source', ['-m', 'standins.source', port])
    for member in fleet.members:
        path = fleet.folder / f'{member.host}.json'
        settings = node_settings(fleet, member)
        path.write_text(json.dumps(settings | {'log_level': 'warning'}))
        argv = ['-m', 'bench.propagation', f'--way={way}', f'--settings={path}']
        start_process(fleet, f'node-{member.host}', argv)


def publish_first(fleet: Fleet, contracts: int) -> None:
    """Publish host lists and contracts."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
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


def every_nth(members: Sequence[Member], count: int) -> list[Member]:
    """Choose so many members, spread over the fleet."""
    if not count:
        return []
    step = len(members) // count
    return [members[number * step] for number in range(count)]


def status_of(member: Member) -> NodeStatus:
    """Ask a node for its status."""
    return fetch_status(f'{ADDRESS}:{member.admin_port}')
