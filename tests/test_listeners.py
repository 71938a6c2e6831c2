"""A process closes its connections, over loopback, before it exits."""

import socket
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import pytest
from twisted.internet.defer import Deferred

from marjoramlead.http_server import make_site
from marjoramlead.listeners import Listener, close_listeners
from tests.memory_net import MemoryNet

ROOT = Path(__file__).resolve().parent.parent
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
CLIENTS = 40


@contextmanager
def closing_server(*arguments):
    """Start a server; yield its process and its address."""
    argv = [sys.executable, '-m', 'tests.closing_server', *arguments]
    pipes = {'stdin': subprocess.PIPE, 'stdout': subprocess.PIPE}
    with subprocess.Popen(argv, cwd=ROOT, **pipes) as server:
        yield server, ('127.0.0.1', int(server.stdout.readline()))
    assert not server.returncode


def read_body(client):
    received = b''.join(iter(lambda: client.recv(65536), b''))
    return received.partition(b'\r\n\r\n')[2]


@pytest.mark.parametrize('size', [1, 3_000_000])
def test_response_is_sent_whole_by_a_server_that_exits(size):
    with closing_server(str(size)) as (_server, address):
        idle = socket.create_connection(address)
        with socket.create_connection(address) as client:
            client.sendall(REQUEST)
            assert len(read_body(client)) == size
        assert not idle.recv(1)
        idle.close()


def test_connections_that_wait_at_a_closing_port_are_answered():
    with closing_server('1', 'wait') as (server, address):
        clients = [
            socket.create_connection(address) for _each in range(CLIENTS)
        ]
        for client in clients:
            client.sendall(REQUEST)
        server.communicate(b'close\n')
        assert all(read_body(client) == b'x' for client in clients)
        for client in clients:
            client.close()


class FakePort:
    """A listening port that closes when the test says so."""

    def __init__(self):
        self.closed = Deferred()

    def doRead(self):
        """Accept no connection, because none waits."""

    def stopListening(self):
        """Return when the port is closed."""
        return self.closed


def test_process_exits_only_once_its_ports_are_closed():
    net = MemoryNet()
    port = FakePort()
    ended = []
    listener = Listener(port, make_site(lambda _req: None, net.clock))
    close_listeners([listener], net.clock, 5, ended.append)
    net.advance(1)
    assert not ended
    port.closed.callback(None)
    assert ended == [0]
    net.advance(5)
    assert ended == [0]


def test_process_exits_at_the_deadline_if_a_port_does_not_close():
    net = MemoryNet()
    ended = []
    listener = Listener(FakePort(), make_site(lambda _req: None, net.clock))
    close_listeners([listener], net.clock, 5, ended.append)
    net.advance(4.9)
    assert not ended
    net.advance(0.2)
    assert ended == [0]
