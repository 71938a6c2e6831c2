"""Fleets of real nodes without targets, for propagation benchmarks."""

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
    'choose_evenly_spaced',
    'contract_text',
    'fetch_member_status',
    'fetch_read_count',
    'fleet_without_targets',
    'paused',
    'publish_initial_documents',
    'wait_until_in_force',
)

DATA_CENTRES = ('akl-a', 'akl-b', 'wlg-a', 'hlz-a')
CONTRACT = Path('examples') / 'tamworth.json'
START_TIMEOUT_S = 60.0


@contextmanager
def fleet_without_targets(
    folder: Path,
    nodes: int,
    strategy: str,
) -> Iterator[Fleet]:
    """Run a configuration source and nodes without targets.

    Parameters
    ----------
    folder
        Where the settings of the nodes are written.
    nodes
        Number of nodes, a multiple of 4.
    strategy
        Propagation strategy; see ``bench/propagation.py``.
    """
    services = [('tamworth', f's-{number}') for number in range(nodes // 4)]
    members = build_members(DATA_CENTRES, services)
    fleet = Fleet(folder, free_ports(1)[0], members, {})
    try:
        start_processes(fleet, strategy)
        yield fleet
    finally:
        stop_all(fleet)


def start_processes(fleet: Fleet, strategy: str) -> None:
    """Start the source and all nodes."""
    port = f'--port={fleet.source_port}'
    start_process(fleet, 'source', ['-m', 'standins.source', port])
    for member in fleet.members:
        path = fleet.folder / f'{member.host}.json'
        settings = node_settings(fleet, member)
        path.write_text(json.dumps(settings | {'log_level': 'warning'}))
        argv = [
            '-m',
            'bench.propagation',
            f'--way={strategy}',
            f'--settings={path}',
        ]
        start_process(fleet, f'node-{member.host}', argv)


def publish_initial_documents(fleet: Fleet, contracts: int) -> None:
    """Publish the host lists and the first version of each contract."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    wait_for_source(publisher)
    for hosts_name, hosts_text in hosts_documents(fleet.members).items():
        publish(publisher, hosts_name, hosts_text, 0)
    for number in range(contracts):
        name = f'contracts/c-{number}'
        publish(publisher, name, contract_text(f'c-{number}', 20), 0)


def contract_text(customer: str, queue: int) -> str:
    """Return the text of a contract.

    Parameters
    ----------
    customer
        Customer of the contract.
    queue
        Queue limit; a different value makes a different version.
    """
    text = CONTRACT.read_text()
    renamed = text.replace(
        '"customer": "tamworth"', f'"customer": "{customer}"'
    )
    return renamed.replace('"queue": 20', f'"queue": {queue}')


@contextmanager
def paused(fleet: Fleet, members: Sequence[Member]) -> Iterator[None]:
    """Suspend the processes of nodes within the context."""
    processes = [fleet.processes[f'node-{each.host}'] for each in members]
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for process in processes:
            process.send_signal(signal.SIGCONT)


def wait_until_in_force(fleet: Fleet, name: str) -> None:
    """Wait until a document is in force on all nodes."""
    deadline = time.monotonic() + START_TIMEOUT_S
    for member in fleet.members:
        while not has_document(member, name):
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'{member.host} does not have {name} in force',
                )
            time.sleep(0.1)


def has_document(member: Member, name: str) -> bool:
    """Whether a node has a document in force."""
    try:
        documents = fetch_member_status(member)['documents']
    except NodeError:
        return False
    return any(each['name'] == name for each in documents)


def wait_for_source(publisher: str) -> None:
    """Wait until the source responds, at most until the timeout."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            fetch_read_count(publisher)
        except OSError:
            time.sleep(0.1)
        else:
            return


def fetch_read_count(publisher: str) -> int:
    """Fetch the total number of reads from the source."""
    with urllib.request.urlopen(f'{publisher}/v1/stats') as answer:
        return json.load(answer)['reads']


def choose_evenly_spaced(members: Sequence[Member], count: int) -> list[Member]:
    """Choose ``count`` members at equal distances in the list."""
    if not count:
        return []
    step = len(members) // count
    return [members[number * step] for number in range(count)]


def fetch_member_status(member: Member) -> NodeStatus:
    """Fetch the status of a node."""
    return fetch_status(f'{ADDRESS}:{member.admin_port}')
