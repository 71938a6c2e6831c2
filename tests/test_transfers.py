"""Responses that arrive slowly: received whole, and given up once they stop."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import Clock

from marjoramlead.transfers import (
    PROGRESS_TIMEOUT_S,
    receive,
)
from marjoramlead.upstream import ConnectionPool, OutgoingRequest
from tests.memory_net import MemoryNet

PORT = ('10.0.0.1', 80)
DEADLINE_S = 0.3
MAX_TRANSFER_S = 5.0
STEP_S = 0.2


class Sender(Protocol):
    """A server whose responses the test writes."""

    def __init__(self) -> None:
        self.is_closed = False

    def dataReceived(self, chunk: bytes) -> None:
        """Wait for the test."""

    def connectionLost(self, reason: object = None) -> None:
        """Record that the reader has gone."""
        self.is_closed = True


def start_read():
    """Send a request; return the network, the server and the results."""
    net = MemoryNet(Clock())
    sender, ended = Sender(), []
    site = Factory()
    site.buildProtocol = lambda _address: sender
    net.sites[PORT] = site

    def connect(_reactor, address, protocol):
        factory = Factory()
        factory.buildProtocol = lambda _address: protocol
        return net.open(address, factory)

    pool = ConnectionPool(net.clock, PORT, 1, connect)
    outgoing = OutgoingRequest(b'GET', b'/', [(b'Host', b'node')], b'')
    read = receive(net.clock, pool, outgoing, DEADLINE_S, MAX_TRANSFER_S)
    Deferred.fromCoroutine(read).addCallback(ended.append)
    net.advance(STEP_S)
    return net, sender, ended


def begin(sender, length):
    sender.transport.write(
        b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % length
    )


def test_response_that_continues_to_arrive_is_received_after_its_deadline():
    net, sender, ended = start_read()
    begin(sender, 10)
    for _part in range(10):
        net.advance(STEP_S)
        sender.transport.write(b'x')
    net.advance(STEP_S)
    assert [each.ok.body for each in ended] == [b'x' * 10]


@pytest.mark.parametrize('parts', [0, 1, 4])
def test_response_that_stops_arriving_is_given_up(parts):
    net, sender, ended = start_read()
    for part in range(parts):
        if not part:
            begin(sender, 10)
        sender.transport.write(b'x')
        net.advance(STEP_S)
    assert not ended
    net.advance(PROGRESS_TIMEOUT_S if parts else DEADLINE_S)
    assert ended == [None]
    assert sender.is_closed


def test_response_that_never_ends_is_given_up():
    net, sender, ended = start_read()
    begin(sender, 1000)
    while net.clock.seconds() < MAX_TRANSFER_S:
        sender.transport.write(b'x')
        net.advance(STEP_S)
    assert not ended
    sender.transport.write(b'x')
    net.advance(2 * STEP_S)
    assert ended == [None]
    assert sender.is_closed
