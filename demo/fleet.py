"""Start and stop a small fleet of processes on the loopback interface."""

import json
import os
import signal
import socket
import subprocess  # starts the processes of the fleet
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from itertools import islice, product
from pathlib import Path
from typing import NamedTuple

from marjoramlead.generated.hosts_types import HostEntry, HostsDocument

__all__ = ('Fleet', 'Member', 'free_ports', 'running_fleet')

ADDRESS = '127.0.0.1'
CONTROL_KEY = 'demonstration-key'
STOP_TIMEOUT_S = 5
PORTS_PER_MEMBER = 5
SEED_COUNT = 3


class Member(NamedTuple):
    """A host of the fleet: a node and its target, with their ports."""

    host: str
    data_centre: str
    customer: str
    service: str
    gateway_port: int
    guard_port: int
    control_port: int
    admin_port: int
    target_port: int


class Fleet(NamedTuple):
    """A running fleet.

    Attributes
    ----------
    folder
        Holds the settings and the logs of the processes.
    source_port
        Port of the stand-in source.
    processes
        By name: ``source``, ``target-HOST`` or ``node-HOST``.
    """

    folder: Path
    source_port: int
    members: Sequence[Member]
    processes: dict[str, 'subprocess.Popen[bytes]']


def free_ports(count: int) -> list[int]:
    """Return the given number of unused TCP ports."""
    with ExitStack() as sockets:
        return [_free_port(sockets) for _each in range(count)]


def _free_port(sockets: ExitStack) -> int:
    sock = sockets.enter_context(socket.socket())
    sock.bind((ADDRESS, 0))
    return int(sock.getsockname()[1])


def build_members(
    data_centres: Sequence[str],
    services: Sequence[tuple[str, str]],
) -> list[Member]:
    """Return a host with unused ports for each service and data centre."""
    places = list(product(data_centres, services))
    ports = iter(free_ports(PORTS_PER_MEMBER * len(places)))
    return [
        Member(
            f'{data_centre}-{service}',
            data_centre,
            customer,
            service,
            *islice(ports, PORTS_PER_MEMBER),
        )
        for data_centre, (customer, service) in places
    ]


def hosts_documents(members: Sequence[Member]) -> dict[str, str]:
    """Return the host list of each data centre by document name."""
    lists: dict[str, HostsDocument] = {}
    for member in members:
        name = member.data_centre
        empty: HostsDocument = {'data_centre': name, 'hosts': []}
        document = lists.setdefault(name, empty)
        document['hosts'].append(host_entry(member))
    return {
        f'hosts/{name}': json.dumps(document)
        for name, document in lists.items()
    }


def host_entry(member: Member) -> HostEntry:
    """Return the entry of a host in a host list."""
    return {
        'host': member.host,
        'address': ADDRESS,
        'guard_port': member.guard_port,
        'control_port': member.control_port,
        'customer': member.customer,
        'service': member.service,
        'state': 'live',
    }


@contextmanager
def running_fleet(
    folder: Path,
    members: Sequence[Member],
) -> Iterator[Fleet]:
    """Start the stand-ins and the nodes, and stop them all on exit."""
    fleet = Fleet(folder, free_ports(1)[0], members, {})
    try:
        start_all(fleet)
        yield fleet
    finally:
        stop_all(fleet)


def start_all(fleet: Fleet) -> None:
    """Start the source, all targets and all nodes."""
    port = f'--port={fleet.source_port}'
    start_process(fleet, 'source', ['-m', 'standins.source', port])
    for member in fleet.members:
        start_target(fleet, member)
        start_node(fleet, member)


def start_target(fleet: Fleet, member: Member) -> None:
    """Start the stand-in target of a host."""
    start_process(
        fleet,
        f'target-{member.host}',
        [
            *('-m', 'standins.target', f'--port={member.target_port}'),
            *(f'--host={member.host}', '--slots=6', '--cold-slots=2'),
            '--warm-answers=60',
        ],
    )


def start_node(fleet: Fleet, member: Member) -> None:
    """Write the settings of a node and start it."""
    path = fleet.folder / f'{member.host}.json'
    path.write_text(json.dumps(node_settings(fleet, member)))
    argv = ['-m', 'marjoramlead.daemon_cli', f'--settings={path}']
    start_process(fleet, f'node-{member.host}', argv)


def start_process(fleet: Fleet, name: str, argv: Sequence[str]) -> None:
    """Start a Python process, and append its output to ``NAME.log``."""
    with (fleet.folder / f'{name}.log').open('ab') as log:
        fleet.processes[name] = (
            subprocess.Popen(  # arguments are from this program
                [sys.executable, *argv],
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONPATH': str(Path.cwd())},
            )
        )


def stop_all(fleet: Fleet) -> None:
    """Terminate all processes, and kill those that exceed the timeout."""
    for process in fleet.processes.values():
        process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + STOP_TIMEOUT_S
    for process in fleet.processes.values():
        try:
            process.wait(max(0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def node_settings(fleet: Fleet, member: Member) -> dict[str, object]:
    """Return the settings of a node, with other nodes as its seeds."""
    others = [each for each in fleet.members if each.host != member.host]
    return {
        'host': member.host,
        'data_centre': member.data_centre,
        'address': ADDRESS,
        'ports': {
            'gateway': member.gateway_port,
            'guard': member.guard_port,
            'control': member.control_port,
            'admin': member.admin_port,
        },
        'target': {
            'customer': member.customer,
            'service': member.service,
            'address': ADDRESS,
            'port': member.target_port,
            'load_path': '/load',
        },
        'source': f'http://{ADDRESS}:{fleet.source_port}',
        'seeds': [
            f'{ADDRESS}:{each.control_port}' for each in others[:SEED_COUNT]
        ],
        'expected_hosts': len(fleet.members),
        'key': CONTROL_KEY,
        'log_level': 'info',
    }
