from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from marjoramlead.http_server import HeadLimits, make_site
from marjoramlead.problems import json_answer


def connect(handler):
    clock = Clock()
    channel = make_site(handler, clock).buildProtocol(None)
    transport = StringTransport()
    channel.makeConnection(transport)
    return channel, transport


def refuse(req):
    req.answer(json_answer(503, {}))


def test_refusal_goes_out_before_the_body():
    channel, transport = connect(refuse)
    channel.dataReceived(b'PUT /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc')
    assert transport.value().startswith(b'HTTP/1.1 503 ')
    assert not transport.disconnecting
    channel.dataReceived(b'defghi')
    assert transport.disconnecting


def test_refusal_sends_no_continue():
    channel, transport = connect(refuse)
    head = (
        b'PUT /a HTTP/1.1\r\nContent-Length: 9\r\nExpect: 100-continue\r\n\r\n'
    )
    channel.dataReceived(head)
    assert b'100 Continue' not in transport.value()
    assert transport.disconnecting


def test_unread_body_is_not_held_without_bound():
    kept = []
    channel, transport = connect(kept.append)
    channel.dataReceived(b'PUT /a HTTP/1.1\r\nContent-Length: 99\r\n\r\nabc')
    assert transport.producerState == 'paused'


def test_connection_serves_again_after_an_answer():
    channel, transport = connect(lambda req: req.answer(json_answer(200, 1)))
    channel.dataReceived(b'GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n')
    assert transport.value().count(b'HTTP/1.1 200') == 2


def connect_limited(limits):
    clock = Clock()
    answer = make_site(
        lambda req: req.answer(json_answer(200, 1)), clock, lambda: limits
    )
    channel = answer.buildProtocol(None)
    channel.callLater = clock.callLater
    transport = StringTransport()
    channel.makeConnection(transport)
    return channel, transport, clock


def test_headers_that_come_too_slowly_end_the_connection():
    channel, transport, clock = connect_limited(HeadLimits(header_s=3))
    channel.dataReceived(b'GET /a HTTP/1.1\r\n')
    for _second in range(2):
        clock.advance(1)
        channel.dataReceived(b'a: b\r\n')
    assert not transport.disconnecting
    clock.advance(1)
    assert transport.disconnecting


def test_headers_in_time_leave_the_connection_open():
    channel, transport, clock = connect_limited(HeadLimits(header_s=3))
    for _each in range(3):
        channel.dataReceived(b'GET /a HTTP/1.1\r\n\r\n')
        clock.advance(4)
    assert transport.value().count(b'HTTP/1.1 200') == 3
    assert not transport.disconnecting


def test_headers_that_are_too_large_are_refused():
    channel, transport, _clock = connect_limited(HeadLimits(header_bytes=100))
    channel.dataReceived(b'GET /%b HTTP/1.1\r\nx: y\r\n\r\n' % (b'y' * 200))
    assert transport.value().startswith(b'HTTP/1.1 400')
    assert transport.disconnecting


def test_connection_that_stays_idle_is_closed():
    _channel, transport, clock = connect_limited(HeadLimits(idle_s=15))
    clock.advance(14)
    assert not transport.disconnecting
    clock.advance(2)
    assert transport.disconnecting
