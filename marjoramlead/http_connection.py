"""One connection that carries a request after another, parsed by ``h11``.

``twisted.web.client`` hides what matters here: whether a request was written
before its connection died, bytes that no request asked for, answers to an
earlier request, and the acknowledgement of a request by the other node. So
its place is taken by the parser ``h11`` on a plain protocol.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final, NamedTuple, cast
from typing import Protocol as ProtocolType

import h11
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from marjoramlead.verdict import Reason

__all__ = (
    'ConnectionFailure',
    'HeaderList',
    'HttpConnection',
    'OnAcknowledged',
    'OutgoingRequest',
    'Reply',
    'ReplyMatcher',
    'SendResult',
    'header_value',
)

HeaderList = Sequence[tuple[bytes, bytes]]

# Bytes of an answer that are held; larger ones count as failed.
MAX_RESPONSE_BYTES: Final = 64_000_000
MAX_HEAD_BYTES: Final = 65_536
# Methods whose requests have a length even if their body is empty.
METHODS_WITH_BODY: Final = frozenset((b'POST', b'PUT', b'PATCH'))


class OutgoingRequest(NamedTuple):
    """A request to send; the body is framed by its length.

    Attributes
    ----------
    expects_continue
        Whether the body is held back until the other end asks for it.
    """

    method: bytes
    uri: bytes
    headers: HeaderList
    body: bytes
    expects_continue: bool = False


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: HeaderList
    body: bytes


class ConnectionFailure(NamedTuple):
    """Why there is no answer.

    Attributes
    ----------
    may_have_arrived
        Whether any of the request may have arrived.
    """

    reason: Reason
    may_have_arrived: bool


SendResult = Result[Reply, ConnectionFailure]
ReplyMatcher = Callable[[Reply], bool]
OnAcknowledged = Callable[[], None]


def header_value(fields: HeaderList, name: bytes) -> str:
    """Read the first value of a header, given in lower case; or nothing."""
    for each, raw in fields:
        if each.lower() == name:
            return raw.decode('latin-1')
    return ''


class _Transport(ProtocolType):
    """The part of a TCP transport that is used here."""

    def write(self, chunk: bytes) -> None:
        """Send bytes."""

    def loseConnection(self) -> None:
        """Close once all is sent."""

    def abortConnection(self) -> None:
        """Close at once."""


@dataclass(slots=True)
class _Exchange:
    """One request on a connection, and what has arrived for it."""

    outgoing: OutgoingRequest
    matches: ReplyMatcher
    on_acknowledged: OnAcknowledged
    done: Deferred[SendResult]
    head: h11.Response | None = None
    chunks: list[bytes] = field(default_factory=list)
    received: int = 0


class HttpConnection(Protocol):
    """A connection that is kept between requests.

    Attributes
    ----------
    is_open
        Whether another request may be sent.
    on_idle
        Called with each complete response after which the connection can be
        reused.
    on_lost
        Called when the connection has ended.
    """

    transport: _Transport  # type: ignore[assignment]  # what TCP has

    def __init__(
        self,
        on_idle: 'Callable[[HttpConnection, Reply], None]',
        on_lost: 'Callable[[HttpConnection], None]',
    ) -> None:
        self.is_open = False
        self.on_idle = on_idle
        self.on_lost = on_lost
        self._parser = _new_parser()
        self._exchange: _Exchange | None = None

    def connectionMade(self) -> None:
        """Note that requests may be sent."""
        self.is_open = True

    def exchange(
        self,
        outgoing: OutgoingRequest,
        matches: ReplyMatcher,
        on_acknowledged: OnAcknowledged,
    ) -> Deferred[SendResult]:
        """Send a request; cancelling the result closes the connection."""
        done: Deferred[SendResult] = Deferred(lambda _done: self.abort())
        self._exchange = _Exchange(outgoing, matches, on_acknowledged, done)
        self.transport.write(_write_head(self._parser, outgoing))
        if not outgoing.expects_continue:
            self.transport.write(_write_body(self._parser, outgoing))
        return done

    def dataReceived(self, chunk: bytes) -> None:
        """Read bytes; those that no request asked for end the connection."""
        if self._exchange is None:
            self.abort()
        else:
            self._feed(chunk)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End an answer that lasts until the end, or fail the request."""
        self.is_open = False
        self.on_lost(self)
        if self._exchange is not None and reason.check(ConnectionDone):
            self._feed(b'')
        self._fail(Reason.TARGET_FAILED)

    def close(self) -> None:
        """Close after what was written has been sent."""
        if self.is_open:
            self.is_open = False
            self.transport.loseConnection()

    def abort(self) -> None:
        """Close at once."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _feed(self, chunk: bytes) -> None:
        try:
            self._parser.receive_data(chunk)
        except h11.RemoteProtocolError:
            self._refuse(Reason.BAD_ANSWER)
        else:
            self._read_events()

    def _read_events(self) -> None:
        while self._exchange is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                self._refuse(Reason.BAD_ANSWER)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._on_event(self._exchange, event)

    def _on_event(self, exchange: _Exchange, event: object) -> None:
        if isinstance(event, h11.InformationalResponse):
            self._on_interim(exchange, event.status_code)
        elif isinstance(event, h11.Response):
            exchange.head = event
        elif isinstance(event, h11.Data):
            exchange.chunks.append(bytes(event.data))
            exchange.received += len(event.data)
            if exchange.received > MAX_RESPONSE_BYTES:
                self._refuse(Reason.BAD_ANSWER)
        elif isinstance(event, h11.EndOfMessage):
            self._on_end(exchange)
        else:
            self._refuse(Reason.TARGET_FAILED)

    def _on_interim(self, exchange: _Exchange, status: int) -> None:
        exchange.on_acknowledged()
        outgoing = exchange.outgoing
        is_waiting = self._parser.our_state is h11.SEND_BODY
        if status == HTTPStatus.CONTINUE and is_waiting:
            self.transport.write(_write_body(self._parser, outgoing))

    def _on_end(self, exchange: _Exchange) -> None:
        head = cast(h11.Response, exchange.head)
        reply = Reply(
            head.status_code,
            head.headers.raw_items(),
            b''.join(exchange.chunks),
        )
        if not exchange.matches(reply):
            self._skip(exchange)
            return
        self._exchange = None
        if self._is_reusable():
            self._parser.start_next_cycle()
            self.on_idle(self, reply)
        else:
            self.close()
        exchange.done.callback(Ok(reply))

    def _is_reusable(self) -> bool:
        parser = self._parser
        is_done = (
            parser.our_state is h11.DONE and parser.their_state is h11.DONE
        )
        return is_done and self.is_open and not parser.trailing_data[0]

    def _skip(self, exchange: _Exchange) -> None:
        """Drop the answer of another request, and wait for the next one."""
        if self._parser.their_state is not h11.DONE:
            self._refuse(Reason.BAD_ANSWER)
            return
        trailing = self._parser.trailing_data[0]
        exchange.head = None
        exchange.chunks = []
        self._parser = _new_parser()
        _write_head(self._parser, exchange.outgoing)
        _write_body(self._parser, exchange.outgoing)
        if trailing:  # to the parser, no bytes mean the end
            self._parser.receive_data(trailing)

    def _refuse(self, reason: Reason) -> None:
        self.abort()
        self._fail(reason)

    def _fail(self, reason: Reason) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None and not exchange.done.called:
            exchange.done.callback(
                Error(ConnectionFailure(reason, may_have_arrived=True))
            )


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _write_head(parser: h11.Connection, outgoing: OutgoingRequest) -> bytes:
    headers = list(outgoing.headers)
    if outgoing.expects_continue:
        headers.append((b'Expect', b'100-continue'))
    if outgoing.body or outgoing.method in METHODS_WITH_BODY:
        length = str(len(outgoing.body)).encode()
        headers.append((b'Content-Length', length))
    request = h11.Request(
        method=outgoing.method,
        target=outgoing.uri,
        headers=headers,
    )
    return parser.send(request) or b''


def _write_body(parser: h11.Connection, outgoing: OutgoingRequest) -> bytes:
    raw = b''
    if outgoing.body:
        raw = parser.send(h11.Data(data=outgoing.body)) or b''
    return raw + (parser.send(h11.EndOfMessage()) or b'')
