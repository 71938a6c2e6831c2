"""Ends of a client's connection, other than the stop of the node."""

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from marjoramlead.body_reader import collect_body
from marjoramlead.http_server import HeadLimits, make_site
from marjoramlead.problems import json_response

GET = b'GET /a HTTP/1.1\r\n\r\n'
EXPECT = b'Expect: 100-continue\r\n'
POST = b'POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nx'


def answer(req):
    """Answer a request once its body has arrived."""
    if req.body is None:
        req.send_response(json_response(200, 1))
        return
    collecting = Deferred.fromCoroutine(collect_body(req.body))
    collecting.addCallback(
        lambda _body: req.send_response(json_response(200, 1))
    )


def refuse(req):
    req.send_response(json_response(503, {}))


def put(length, expect=b''):
    return b'PUT /a HTTP/1.1\r\nContent-Length: %d\r\n%s\r\n' % (
        length,
        expect,
    )


class Peer:
    """A client's end of a connection whose limits may change."""

    def __init__(self, handler=answer, **limits) -> None:
        self.clock = Clock()
        self.limits = HeadLimits(**limits)
        site = make_site(handler, self.clock, lambda: self.limits)
        self.channel = site.buildProtocol(None)
        self.transport = StringTransport(lenient=True)
        self.channel.makeConnection(self.transport)

    @property
    def is_closed(self):
        return self.transport.disconnecting

    @property
    def is_reset(self):
        return self.transport.disconnected

    @property
    def received(self):
        return self.transport.value()

    def send(self, chunk):
        if chunk:
            self.channel.dataReceived(chunk)

    def closes_after(self, seconds):
        """Return whether the server closes then, but not a second before."""
        self.clock.advance(seconds - 1)
        was_open = not self.is_closed
        self.clock.advance(1)
        return was_open and self.is_closed


@pytest.mark.parametrize('sent', [b'', GET, POST, POST + GET])
def test_idle_connection_is_not_closed_before_a_limit_that_was_raised(sent):
    peer = Peer(idle_s=5)
    peer.send(sent)
    peer.clock.advance(3)
    peer.limits = HeadLimits(idle_s=15)
    assert peer.closes_after(12)


@pytest.mark.parametrize('sent', [GET, POST])
def test_idle_limit_in_force_applies_after_each_request(sent):
    peer = Peer(idle_s=15)
    peer.send(GET)
    peer.limits = HeadLimits(idle_s=5)
    peer.clock.advance(10)
    peer.send(sent)
    assert peer.closes_after(5)


def test_idle_limit_is_not_cut_to_whole_seconds():
    peer = Peer(idle_s=1.9)
    peer.send(GET)
    peer.clock.advance(1.8)
    assert not peer.is_closed
    peer.clock.advance(0.2)
    assert peer.is_closed


def test_connection_whose_first_request_has_a_body_is_closed_when_idle():
    peer = Peer(idle_s=15)
    peer.send(POST)
    assert peer.closes_after(15)


def test_idle_limit_does_not_end_a_request_that_has_begun():
    peer = Peer(idle_s=5)
    peer.clock.advance(4)
    peer.send(GET[:-2])
    peer.clock.advance(6)
    peer.send(GET[-2:])
    assert not peer.is_closed
    assert peer.received.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('before', [b'', GET, POST])
def test_empty_line_on_an_idle_connection_does_not_start_a_head(before):
    peer = Peer(idle_s=15, header_s=3)
    peer.send(before)
    peer.clock.advance(1)
    peer.send(b'\r\n')
    peer.clock.advance(13)
    peer.transport.clear()
    peer.send(GET)
    assert not peer.is_closed
    assert peer.received.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('before', [GET, POST])
def test_part_of_a_head_in_the_chunk_of_a_request_is_timed(before):
    peer = Peer(idle_s=15, header_s=3)
    peer.send(before + GET[:-2])
    for _each in range(2):
        peer.clock.advance(1)
        peer.send(b'a: b\r\n')
    assert peer.closes_after(1)


@pytest.mark.parametrize('size', range(1, len(GET)))
def test_timeout_of_a_head_does_not_run_once_the_head_has_arrived(size):
    received = []
    peer = Peer(received.append, idle_s=15, header_s=3)
    peer.send(GET[:size])
    peer.clock.advance(2)
    peer.send(GET[size:] + GET)
    peer.clock.advance(20)
    assert not peer.is_closed
    received[0].send_response(json_response(200, 1))
    peer.clock.advance(20)
    assert not peer.is_closed
    received[1].send_response(json_response(200, 1))
    assert peer.closes_after(15)


@pytest.mark.parametrize('before', [b'', GET, POST])
def test_request_whose_head_is_late_is_answered_before_the_close(before):
    peer = Peer(header_s=3)
    peer.send(before)
    peer.transport.clear()
    peer.send(GET[:-2])
    assert peer.closes_after(3)
    assert peer.received.startswith(b'HTTP/1.1 408 ')
    assert b'Connection: close\r\n' in peer.received


def test_rejected_head_gets_one_answer_while_the_close_waits():
    peer = Peer(header_s=3)
    peer.send(b'GET /a HTTP/1.1\r\n')
    peer.send(b'no header\r\n\r\n')
    assert peer.received.startswith(b'HTTP/1.1 400 ')
    peer.clock.advance(5)
    assert peer.received.count(b'HTTP/1.1 ') == 1


def test_refused_body_that_was_begun_unasked_is_read_before_the_close():
    peer = Peer(refuse)
    peer.send(put(9, EXPECT))
    peer.send(b'abc')
    assert peer.received.startswith(b'HTTP/1.1 503 ')
    for _each in range(5):
        peer.clock.advance(0.9)
        assert not peer.is_closed
        peer.send(b'd')
    peer.send(b'e')
    assert peer.is_closed


@pytest.mark.parametrize('expect', [b'', EXPECT])
def test_long_refused_body_is_read_to_its_end(expect):
    peer = Peer(refuse)
    megabytes = 64
    peer.send(put(megabytes * 1_000_000, expect))
    for _each in range(megabytes):
        assert not peer.is_closed
        peer.send(b'x' * 1_000_000)
    assert peer.is_closed
    assert not peer.is_reset


def test_response_is_sent_before_the_close_amid_an_endless_body(monkeypatch):
    monkeypatch.setattr('marjoramlead.http_server.MAX_DISCARDED_BYTES', 100)
    peer = Peer(refuse)
    peer.send(put(1000))
    peer.send(b'x' * 101)
    assert peer.is_closed
    assert not peer.is_reset


@pytest.mark.parametrize('next_request', [GET, POST, GET + POST + GET])
def test_pipelined_requests_are_answered_before_a_server_closes(next_request):
    received = []
    peer = Peer(received.append)
    peer.send(GET + next_request)
    while not peer.is_closed:
        received.pop().send_response_and_close(json_response(200, 1))
    count = 1 + next_request.count(b'HTTP/1.1')
    assert peer.received.count(b'HTTP/1.1 200 ') == count
    assert peer.received.count(b'Connection: close') == 1
    assert peer.received.rindex(b'200') < peer.received.index(b'close')


def test_empty_line_behind_a_request_does_not_keep_the_connection_open():
    received = []
    peer = Peer(received.append)
    peer.send(b'%s\r\n' % GET)
    received.pop().send_response_and_close(json_response(200, 1))
    assert peer.is_closed
