"""A process closes its connections, over loopback, before it exits."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest
from twisted.internet.defer import Deferred

from marjoramlead.http_server import make_site
from marjoramlead.listeners import Listener, close_listeners
from tests.memory_net import MemoryNet

ROOT = Path(__file__).resolve().parent.parent
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
IDLE_CONNECTIONS = 3


def body_from_closing_server(size):
    argv = [sys.executable, '-m', 'tests.closing_server', str(size)]
    with subprocess.Popen(argv, cwd=ROOT, stdout=subprocess.PIPE) as server:
        address = ('127.0.0.1', int(server.stdout.readline()))
        idle = [
            socket.create_connection(address)
            for _each in range(IDLE_CONNECTIONS)
        ]
        with socket.create_connection(address) as client:
            client.sendall(REQUEST)
            received = b''.join(iter(lambda: client.recv(65536), b''))
        assert all(not each.recv(1) for each in idle)
        for each in idle:
            each.close()
    assert not server.returncode
    return received.partition(b'\r\n\r\n')[2]


@pytest.mark.parametrize('size', [1, 3_000_000])
def test_response_is_sent_whole_by_a_server_that_exits(size):
    assert len(body_from_closing_server(size)) == size


class FakePort:
    """A listening port that closes when the test says so."""

    def __init__(self):
        self.closed = Deferred()

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
