"""Answer other nodes that read this node's records.

A read that may wait is answered as soon as this node has news or has confirmed
that there are none, so that its followers know how current they are.
"""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import NamedTuple

from twisted.web.http_headers import Headers

from marjoramlead.clock import Clock, Timer
from marjoramlead.events import emit
from marjoramlead.feeds import FeedQuery, decode_feed_query, encode_feed
from marjoramlead.http_server import StreamRequest
from marjoramlead.mesh_state import MeshState
from marjoramlead.problems import BufferedResponse

__all__ = (
    'FeedServer',
    'answer_feed_read',
    'answer_waiting_reads',
    'start_feed_drain',
)


class _WaitingRead(NamedTuple):
    """A read that waits for news, and the timer that ends the wait."""

    query: FeedQuery
    timer: Timer


@dataclass(slots=True)
class FeedServer:
    """Reads of this node's records.

    Attributes
    ----------
    is_draining
        Whether the node is shutting down. Reads are then refused, so that
        followers turn to another node.
    waiting
        Reads that wait for news.
    """

    mesh_state: MeshState
    reactor: Clock
    is_draining: bool = False
    waiting: dict[StreamRequest, _WaitingRead] = field(default_factory=dict)


def answer_feed_read(server: FeedServer, req: StreamRequest) -> None:
    """Answer a read, at once if there is news or it must not wait."""
    decoded = decode_feed_query(req.uri)
    if decoded.is_error():
        emit('hop_unreadable', why=decoded.error)
        req.send_response(
            BufferedResponse(HTTPStatus.BAD_REQUEST, Headers(), b'')
        )
        return
    query = decoded.ok
    has_news = server.mesh_state.revision > query.after
    if has_news or server.is_draining or not query.wait_s:
        _send_feed(server, req, query)
        return
    timer = server.reactor.callLater(query.wait_s, _end_wait, server, req)
    server.waiting[req] = _WaitingRead(query, timer)
    req.notifyFinish().addErrback(lambda _gone: _forget(server, req))


def answer_waiting_reads(server: FeedServer) -> None:
    """Answer all waiting reads, because this node has confirmed its data."""
    for req in list(server.waiting):
        _end_wait(server, req)


def start_feed_drain(server: FeedServer) -> None:
    """Refuse all reads from now on."""
    server.is_draining = True
    answer_waiting_reads(server)


def _end_wait(server: FeedServer, req: StreamRequest) -> None:
    waiting = _forget(server, req)
    if waiting is not None:
        _send_feed(server, req, waiting.query)


def _forget(server: FeedServer, req: StreamRequest) -> _WaitingRead | None:
    waiting = server.waiting.pop(req, None)
    if waiting is not None and waiting.timer.active():
        waiting.timer.cancel()
    return waiting


def _send_feed(
    server: FeedServer, req: StreamRequest, query: FeedQuery
) -> None:
    if server.is_draining:
        status, document = HTTPStatus.SERVICE_UNAVAILABLE, b''
    else:
        status = HTTPStatus.OK
        now = server.reactor.seconds()
        document = encode_feed(server.mesh_state, query, now)
    req.send_response(BufferedResponse(status, Headers(), document))
