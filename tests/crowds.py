"""Nodes as real processes on loopback, and crowds of clients against them.

A crowd sends what untrusted clients may send, and leaves its connections open.
What is checked does not depend on the speed of the machine.
"""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import time
from base64 import b64encode
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
NETWORK = f'127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}'
SEAL = 'seal'
# Longest time that anything may take before a test is given up as hanging.
HANG_S = 60
numbers = count()
ROUTES = {
    'Columns': (
        *('Name', 'Host', 'PathPrefix', 'Kind', 'Timeout', 'TargetLatency'),
        *('Priority', 'Service', 'MaxAttempts', 'WeightedServices'),
    ),
    'Rows': [
        ('u', 'a.example', '/up/', 'upload', '30s', '9s', 1, 'web', 1, None),
        ('s', 'a.example', '/small/', 'safe', '9s', '3s', 0, 'web', 2, None),
    ],
}
SERVICES = {
    'Columns': ('Name', 'HealthPath', 'MaxConnections', 'Protocol', 'Tls'),
    'Rows': [
        ('web', '/health', 120, 'h1', False),
        ('other', '/health', 120, 'h1', False),
    ],
}


class Limits(NamedTuple):
    """Limits of the nodes, lower than those of a deployment."""

    memory_mb: int = 80
    body_bytes: int = 4_000_000
    max_fds: int = 1_000
    nodes: int = 2
    has_local_target: bool = True


@dataclass
class Node:
    """A node process."""

    address: str
    process: object = None
    settings: Path | None = None
    target: object = None
    target_writers: list = field(default_factory=list)


@dataclass
class System:
    """Running nodes; ports are the same on all addresses."""

    limits: Limits
    ports: dict
    nodes: list[Node] = field(default_factory=list)
    writers: list = field(default_factory=list)
    received: list = field(default_factory=list)

    def address(self, port='outbound', index=0):
        """Return the address of a port of a node, by default of the first."""
        return self.nodes[index].address, self.ports[port]


def free_ports(names):
    """Return a free port for each name."""
    sockets = {name: socket.socket() for name in names}
    for each in sockets.values():
        each.bind(('', 0))
    ports = {name: each.getsockname()[1] for name, each in sockets.items()}
    for each in sockets.values():
        each.close()
    return ports


@asynccontextmanager
async def running_system(folder, limits):
    """Start the stand-ins and the nodes, and stop them all on exit."""
    names = ('outbound', 'inbound', 'ready', 'control', 'target', 'store')
    system = System(limits, free_ports(names))
    async with AsyncExitStack() as stack:
        store = await asyncio.start_server(
            partial(serve_store, system),
            f'{NETWORK}.100',
            system.ports['store'],
        )
        stack.callback(store.close)
        for index in range(1, limits.nodes + 1):
            system.nodes.append(Node(f'{NETWORK}.{index}'))
        for node in system.nodes:
            target = await asyncio.start_server(
                partial(serve_target, system, node),
                node.address,
                system.ports['target'],
            )
            stack.callback(target.close)
            node.target = target
            await start_node(system, node, folder)
            stack.push_async_callback(stop_node, node)
        stack.callback(leave, system)
        for node in system.nodes:
            while await ask(node.address, system.ports['ready']) != 200:
                await asyncio.sleep(0.1)
            while await ask_small(system, node) != 200:
                await asyncio.sleep(0.1)
        yield system


async def start_node(system, node, folder):
    """Write the settings of a node and start it."""
    ports = {
        name: f'{node.address}:{port}' for name, port in system.ports.items()
    }
    settings = {
        **{name: ports[name] for name in ('outbound', 'inbound', 'ready')},
        'control': ports['control'],
        'target': ports['target'],
        'host': node.address,
        'data_centre': 'zone',
        'service': service_of(system, node),
        'store': f'{NETWORK}.100:{system.ports["store"]}',
        'seeds': [f'{system.nodes[0].address}:{system.ports["control"]}'],
        'memory_mb': system.limits.memory_mb,
        'max_fds': system.limits.max_fds,
        'heartbeat': '1s',
        'bounds': {},
    }
    path = Path(folder) / f'{node.address}.json'
    path.write_text(json.dumps(settings))
    node.settings = path
    with path.with_suffix('.log').open('wb') as log:
        node.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'marjoramlead.platform',
            cwd=ROOT,
            env={**os.environ, 'MARJORAMLEAD_NODE_FILE': str(path)},
            stdout=log,
            stderr=log,
        )


def service_of(system, node):
    """Return the service of the target beside a node."""
    is_first = node is system.nodes[0]
    return 'other' if is_first and not system.limits.has_local_target else 'web'


async def stop_node(node):
    """End a node process."""
    with suppress(ProcessLookupError):
        node.process.kill()
    await node.process.wait()


def leave(system):
    """Close the connections of all crowds."""
    for writer in system.writers:
        writer.transport.abort()
    system.writers.clear()


async def read_head(reader):
    """Return the first line and the fields of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').strip().split('\r\n')
    pairs = [line.partition(':')[::2] for line in lines]
    return first, {name.lower(): text.strip() for name, text in pairs}


async def serve_store(system, reader, writer):
    """Answer listings; a watch ends without changes."""
    entry = {
        'Zone': 'zone',
        'Version': 'v1',
        'Slots': 8,
        'State': 'ready',
        'WarmupLeft': '0ms',
        'Sequence': 1,
        'born': 1,
    }
    config = {
        'Version': '00000007',
        'Routes': ROUTES,
        'Services': SERVICES,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': system.limits.body_bytes,
            'HeaderTimeout': '30s',
            'IdleTimeout': '60s',
        },
    }
    documents = {'op/config': config} | {
        f'servers/i-{node.address}': {
            **entry,
            'Service': service_of(system, node),
            'Address': f'{node.address}:{system.ports["target"]}',
        }
        for node in system.nodes
    }
    items = [
        {
            'Key': key,
            'Value': b64encode(json.dumps(document).encode()).decode(),
            'Revision': 5,
            'CreatedRev': 5,
            'Lease': 0,
        }
        for key, document in documents.items()
    ]
    with suppress(asyncio.IncompleteReadError, OSError):
        while True:
            first, _fields = await read_head(reader)
            answer = {'items': items, 'MorePages': False, 'CurrentRev': 5}
            if '/-/kv-range' not in first:
                await asyncio.sleep(0.3)
                answer = {'events': [], 'CurrentRev': 5}
            send_answer(writer, {}, json.dumps(answer).encode())


async def serve_target(system, node, reader, writer):
    """Read whole requests, and answer with the length of their bodies."""
    node.target_writers.append(writer)
    with suppress(asyncio.IncompleteReadError, OSError):
        while True:
            first, fields = await read_head(reader)
            length = int(fields.get('content-length', 0))
            left = length
            while left:
                chunk = await reader.read(min(left, 1 << 20))
                if not chunk:
                    return
                left -= len(chunk)
            if 'x-request-id' in fields:
                system.received.append(length)
            size = answer_size(first)
            send_answer(
                writer,
                {
                    'X-Request-Id': fields.get('x-request-id', ''),
                    'X-Server-Seal': SEAL,
                    'X-Instance-Id': f'i-{node.address}',
                    'X-Server-Load': '0,0,8',
                },
                str(length).encode() + bytes(size),
            )
            await writer.drain()


def answer_size(request_line):
    """Return the number of bytes that the path of a request asks for."""
    asked = re.search('/small/size/([0-9]+)', request_line)
    if asked:
        return int(asked[1])
    return 1 << 20 if '/small/large' in request_line else 0


def send_answer(writer, fields, body):
    """Write an answer with a length."""
    lines = [f'{name}: {text}\r\n' for name, text in fields.items()]
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n'
    writer.write(f'{head}{"".join(lines)}\r\n'.encode() + body)


def head_of(number, *fields, path='/up/x', method='POST'):
    """Return the head of a request."""
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: a.example',
        f'X-Request-Id: r{number}',
        *fields,
    )
    return '\r\n'.join([*lines, '', '']).encode()


async def ask(address, port, raw=None):
    """Send one request, and return the status of its answer; 0 if none."""
    raw = raw or b'GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n'
    try:
        reader, writer = await asyncio.open_connection(address, port)
    except OSError:
        return 0
    try:
        writer.write(raw)
        first, _fields = await asyncio.wait_for(read_head(reader), HANG_S)
    except (asyncio.IncompleteReadError, OSError):
        return 0
    finally:
        writer.transport.abort()
    return int(first.split()[1])


async def ask_small(system, node, path='/small/x'):
    """Send one ordinary request to a node."""
    number = f'ordinary-{next(numbers)}'
    raw = head_of(number, path=path, method='GET')
    return await ask(node.address, system.ports['outbound'], raw)


async def ask_until_served(system, node, path='/small/x'):
    """Return whether an ordinary client is served that heeds refusals."""
    for _attempt in range(30):
        if await ask_small(system, node, path) == 200:
            return True
        await asyncio.sleep(1)
    return False


async def open_and_send(system, address, parts):
    """Send parts on a connection of a crowd, which stays open."""
    with suppress(OSError):
        _reader, writer = await asyncio.open_connection(*address, limit=1024)
        system.writers.append(writer)
        for part in parts:
            writer.write(part)
            await writer.drain()


async def read_slowly(address, raw, step, pause_s, until):
    """Read a part of an answer, and leave."""
    with suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(*address, limit=1024)
        writer.write(raw)
        async with asyncio.timeout(until - time.monotonic()):
            while await reader.read(step):
                await asyncio.sleep(pause_s)
    writer.transport.abort()


async def ask_all(address, requests, connections=20):
    """Send requests one after another on kept connections.

    Each answer is read whole. A connection that is closed is opened again.
    """
    left = iter(requests)
    clients = [ask_each(address, left) for _connection in range(connections)]
    await asyncio.wait_for(asyncio.gather(*clients), 2 * HANG_S)


async def ask_each(address, requests):
    """Send the requests of an iterator that other clients use, too."""
    writer = None
    for raw in requests:
        if writer is None:
            reader, writer = await asyncio.open_connection(*address)
        writer.write(raw)
        try:
            is_kept = await read_answer(reader)
        except (asyncio.IncompleteReadError, OSError):
            is_kept = False
        if not is_kept:
            writer.transport.abort()
            writer = None
    if writer is not None:
        writer.transport.abort()


async def read_answer(reader):
    """Read a whole answer, and return whether the connection stays open."""
    first, fields = await read_head(reader)
    while first.split()[1].startswith('1'):
        first, fields = await read_head(reader)
    await reader.readexactly(int(fields.get('content-length', 0)))
    return fields.get('connection', '').lower() != 'close'


async def send_crowd(system, crowd, port='outbound', index=0):
    """Send the parts of each client of a crowd at the same time.

    A client that the node no longer reads is left as it is.
    """
    address = system.address(port, index)
    sending = [
        asyncio.create_task(open_and_send(system, address, parts))
        for parts in crowd
    ]
    await asyncio.wait(sending, timeout=15)
    for each in sending:
        each.cancel()


def read_status(node):
    """Return the fields of the status of a process, numbers in kB."""
    text = Path(f'/proc/{node.process.pid}/status').read_text()
    pairs = [line.partition(':')[::2] for line in text.splitlines()]
    return {name: value.strip().split(' ')[0] for name, value in pairs}


def stop_target(node):
    """Close the port and the connections of the target beside a node."""
    node.target.close()
    for writer in node.target_writers:
        writer.transport.abort()


def reload_settings(node, **changed):
    """Change settings of a running node, and tell it."""
    settings = json.loads(node.settings.read_text()) | changed
    node.settings.write_text(json.dumps(settings))
    node.process.send_signal(signal.SIGHUP)


def peak_mb(node):
    """Return the most memory that a process has had, in MB."""
    return int(read_status(node)['VmHWM']) * 1024 / 1e6


def unread_mb(system, node):
    """Return what has been received for a node and not been read, in MB."""
    octets = reversed(node.address.split('.'))
    host = ''.join(f'{int(octet):02X}' for octet in octets)
    own = {f'{host}:{port:04X}' for port in system.ports.values()}
    rows = Path('/proc/net/tcp').read_text().splitlines()[1:]
    fields = [row.split() for row in rows]
    queues = [each[4] for each in fields if each[1] in own]
    return sum(int(queue.partition(':')[2], 16) for queue in queues) / 1e6


def descriptors(node):
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{node.process.pid}/fd').iterdir()))
