import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from marjoramlead.bodies import MAX_UNREAD_BYTES
from marjoramlead.client_limits import ProcessLimits
from marjoramlead.http_server import (
    UNSENT_BODY_TIMEOUT_S,
    HeadLimits,
    make_site,
)
from marjoramlead.problems import json_response
from marjoramlead.read_pace import FREE_REQUESTS


class Collector:
    def __init__(self, chunks):
        self.write = chunks.append


def connect(handler):
    clock = Clock()
    channel = make_site(handler, clock).buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    return channel, transport


def refuse(req):
    req.send_response(json_response(503, {}))


def test_refusal_is_sent_before_the_body_has_arrived():
    channel, transport = connect(refuse)
    channel.dataReceived(b'PUT /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc')
    assert transport.value().startswith(b'HTTP/1.1 503 ')
    assert not transport.disconnecting
    channel.dataReceived(b'defghi')
    assert transport.disconnecting


def test_refusal_is_sent_without_an_interim_response():
    channel, transport = connect(refuse)
    head = (
        b'PUT /a HTTP/1.1\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n'
    )
    channel.dataReceived(head)
    assert b'100 Continue' not in transport.value()
    assert b'Connection: close\r\n' in transport.value()
    channel.site.clock.advance(UNSENT_BODY_TIMEOUT_S)
    assert transport.disconnecting


def test_reading_pauses_once_a_long_body_waits_without_a_consumer():
    received_requests = []
    channel, transport = connect(received_requests.append)
    channel.dataReceived(b'PUT /a HTTP/1.1\r\nContent-Length: 99999\r\n\r\n')
    channel.dataReceived(b'x' * MAX_UNREAD_BYTES)
    assert transport.producerState == 'producing'
    channel.dataReceived(b'x')
    assert transport.producerState == 'paused'


def test_close_is_detected_while_nobody_reads_the_body_of_a_request():
    received_requests, closed = [], []
    channel, transport = connect(received_requests.append)
    channel.dataReceived(b'PUT /a HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc')
    assert transport.producerState == 'producing'
    received_requests[0].notifyFinish().addErrback(closed.append)
    channel.connectionLost(Failure(ConnectionDone()))
    assert closed


def test_reading_resumes_once_a_body_that_had_paused_it_is_consumed():
    received_requests, chunks = [], []
    channel, transport = connect(received_requests.append)
    length = MAX_UNREAD_BYTES + 1
    channel.dataReceived(
        b'PUT /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % length
    )
    channel.dataReceived(b'x' * length)
    assert transport.producerState == 'paused'
    received_requests[0].body.startProducing(Collector(chunks))
    assert transport.producerState == 'producing'
    assert len(b''.join(chunks)) == length


def test_connection_is_reused_after_a_response():
    channel, transport = connect(
        lambda req: req.send_response(json_response(200, 1))
    )
    channel.dataReceived(b'GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n')
    assert transport.value().count(b'HTTP/1.1 200') == 2


def connect_with_limits(limits):
    clock = Clock()
    site = make_site(
        lambda req: req.send_response(json_response(200, 1)),
        clock,
        lambda: limits,
    )
    channel = site.buildProtocol(None)
    channel.callLater = clock.callLater
    transport = StringTransport()
    channel.makeConnection(transport)
    return channel, transport, clock


def test_slow_headers_close_the_connection():
    channel, transport, clock = connect_with_limits(HeadLimits(header_s=3))
    channel.dataReceived(b'GET /a HTTP/1.1\r\n')
    for _second in range(2):
        clock.advance(1)
        channel.dataReceived(b'a: b\r\n')
    assert not transport.disconnecting
    clock.advance(1)
    assert transport.disconnecting


def test_headers_in_time_keep_the_connection_open():
    channel, transport, clock = connect_with_limits(HeadLimits(header_s=3))
    for _each in range(3):
        channel.dataReceived(b'GET /a HTTP/1.1\r\n\r\n')
        clock.advance(4)
    assert transport.value().count(b'HTTP/1.1 200') == 3
    assert not transport.disconnecting


def test_too_large_headers_are_refused():
    channel, transport, _clock = connect_with_limits(
        HeadLimits(header_bytes=100)
    )
    channel.dataReceived(b'GET /%b HTTP/1.1\r\nx: y\r\n\r\n' % (b'y' * 200))
    assert transport.value().startswith(b'HTTP/1.1 400')
    assert transport.disconnecting


def test_idle_connection_is_closed():
    _channel, transport, clock = connect_with_limits(HeadLimits(idle_s=15))
    clock.advance(14)
    assert not transport.disconnecting
    clock.advance(2)
    assert transport.disconnecting


def answer_all(channel, seconds):
    """Let time pass in small steps."""
    for _step in range(round(seconds * 1000)):
        channel.site.clock.advance(0.001)


def count_and_refuse(handled):
    def handle(req):
        handled.append(req.uri)
        refuse(req)

    return handle


AHEAD = b''.join(b'GET /%d HTTP/1.1\r\n\r\n' % number for number in range(500))


# Processor time: 2,000 requests in one read kept the loop for a second.
def test_requests_that_are_sent_ahead_are_read_at_a_pace():
    handled = []
    channel, transport = connect(count_and_refuse(handled))
    per_s = channel.site.clients.limits.requests_ahead_per_s
    channel.dataReceived(AHEAD)
    assert len(handled) <= 1 + FREE_REQUESTS
    answer_all(channel, 1)
    assert 0.9 * per_s <= len(handled) <= per_s + 1 + FREE_REQUESTS
    answer_all(channel, 500 / per_s)
    assert handled == [b'/%d' % number for number in range(500)]
    assert transport.value().count(b'HTTP/1.1 503 ') == 500
    assert not transport.disconnecting


def test_requests_behind_one_that_waits_are_read_at_a_pace():
    waiting, handled = [], []
    channel, _transport = connect(
        lambda req: handled.append(req) if waiting else waiting.append(req)
    )
    channel.dataReceived(AHEAD)
    refuse(waiting[0])
    answer_all(channel, 0.1)
    assert [req.uri for req in handled] == [b'/1']


def test_body_in_the_middle_of_requests_ahead_arrives_whole():
    bodies = []

    def handle(req):
        chunks = []
        bodies.append(chunks)
        if req.body is None:
            refuse(req)
        else:
            reading = req.body.startProducing(Collector(chunks))
            reading.addCallback(lambda _read: refuse(req))

    channel, transport = connect(handle)
    body = bytes(range(256)) * 40
    head = b'PUT /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(body)
    channel.dataReceived(AHEAD[:95] + head + body + AHEAD[:4_000])
    answer_all(channel, 1)
    assert b''.join(next(each for each in bodies if each)) == body
    assert not transport.disconnecting


def test_requests_ahead_are_answered_when_the_site_closes():
    handled = []
    channel, transport = connect(count_and_refuse(handled))
    channel.site.clients.limits = ProcessLimits(12, requests_ahead_per_s=50)
    channel.dataReceived(b'GET / HTTP/1.1\r\n\r\n' * 20)
    closed = channel.site.close()
    answer_all(channel, 1)
    assert len(handled) == 20
    assert transport.disconnecting
    channel.connectionLost(Failure(ConnectionDone()))
    assert closed.called


# Python converts no more than 4,300 digits: an exception ended the connection.
@pytest.mark.parametrize('digits', [19, 5_000])
def test_length_that_no_body_has_is_refused(digits):
    channel, transport = connect(refuse)
    length = b'9' * digits
    channel.dataReceived(b'PUT /a HTTP/1.1\r\nContent-Length: %b\r\n' % length)
    channel.dataReceived(b'\r\n')
    assert transport.value().startswith(b'HTTP/1.1 400 ')
    assert transport.disconnecting
