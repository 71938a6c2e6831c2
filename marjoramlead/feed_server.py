"""Answer other nodes that read this node's records.

A long poll is answered as soon as this node has changes or has confirmed that
there are none, so that its followers know how current they are.
"""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final, NamedTuple

from twisted.web.http_headers import Headers

from marjoramlead.clock import Clock, Timer
from marjoramlead.compression import CONTENT_CODING, compress
from marjoramlead.events import emit
from marjoramlead.feeds import FeedQuery, decode_feed_query, encode_feed
from marjoramlead.http_server import StreamRequest
from marjoramlead.memory_budget import MemoryBudget, open_hold, resize
from marjoramlead.mesh_state import MeshState
from marjoramlead.problems import BufferedResponse

__all__ = (
    'FeedServer',
    'answer_feed_read',
    'answer_pending_reads',
    'start_feed_drain',
)

# Smaller documents fit into one packet.
MIN_COMPRESSED_BYTES: Final = 1_400


class _PendingRead(NamedTuple):
    """A long poll without an answer, and the timer that ends it."""

    query: FeedQuery
    received_at: float
    timer: Timer


@dataclass(slots=True)
class FeedServer:
    """Reads of this node's records.

    Attributes
    ----------
    budget
        Memory for the answers.
    is_draining
        Whether the node is shutting down. Reads are then refused, so that
        followers turn to another node.
    pending
        Long polls without an answer.
    """

    mesh_state: MeshState
    reactor: Clock
    budget: MemoryBudget
    is_draining: bool = False
    pending: dict[StreamRequest, _PendingRead] = field(default_factory=dict)


def answer_feed_read(server: FeedServer, req: StreamRequest) -> None:
    """Answer a read, at once unless it is a long poll without changes."""
    known = server.mesh_state.revision
    decoded = decode_feed_query(req.uri, known.era)
    if decoded.is_error():
        emit('hop_unreadable', why=decoded.error)
        req.send_response(
            BufferedResponse(HTTPStatus.BAD_REQUEST, Headers(), b'')
        )
        return
    query = decoded.ok
    has_changes = known > query.after
    if has_changes or server.is_draining or not query.wait_s:
        _send_feed(server, req, query)
        return
    timer = server.reactor.callLater(query.wait_s, _end_wait, server, req)
    now = server.reactor.seconds()
    server.pending[req] = _PendingRead(query, now, timer)
    req.notifyFinish().addErrback(lambda _gone: _remove_pending(server, req))


def answer_pending_reads(server: FeedServer) -> None:
    """Answer all pending reads, because this node has confirmed its data."""
    for req in list(server.pending):
        _end_wait(server, req)


def start_feed_drain(server: FeedServer) -> None:
    """Refuse all reads from now on."""
    server.is_draining = True
    answer_pending_reads(server)


def _end_wait(server: FeedServer, req: StreamRequest) -> None:
    pending = _remove_pending(server, req)
    if pending is not None:
        held_s = server.reactor.seconds() - pending.received_at
        _send_feed(server, req, pending.query, held_s)


def _remove_pending(
    server: FeedServer, req: StreamRequest
) -> _PendingRead | None:
    pending = server.pending.pop(req, None)
    if pending is not None and pending.timer.active():
        pending.timer.cancel()
    return pending


def _send_feed(
    server: FeedServer,
    req: StreamRequest,
    query: FeedQuery,
    held_s: float = 0,
) -> None:
    if server.is_draining:
        _refuse(req)
        return
    now = server.reactor.seconds()
    document = encode_feed(server.mesh_state, query, now, held_s)
    fields = Headers()
    if len(document) >= MIN_COMPRESSED_BYTES and _accepts_compressed(req):
        document = compress(document)
        fields.setRawHeaders(b'Content-Encoding', [CONTENT_CODING])
    hold = open_hold(server.budget)
    if resize(hold, len(document)):
        req.send_response(
            BufferedResponse(HTTPStatus.OK, fields, document, hold)
        )
    else:
        emit('feed_refused', size=len(document), used=server.budget.used)
        _refuse(req)


def _refuse(req: StreamRequest) -> None:
    """Refuse a read, so that the reader turns to another node."""
    req.send_response(
        BufferedResponse(HTTPStatus.SERVICE_UNAVAILABLE, Headers(), b'')
    )


def _accepts_compressed(req: StreamRequest) -> bool:
    """Return whether the reader decompresses; earlier versions do not."""
    accepted = req.requestHeaders.getRawHeaders(b'Accept-Encoding', [])
    return CONTENT_CODING in accepted
