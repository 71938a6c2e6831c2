"""Client side of a persistent HTTP/1.1 connection, based on ``h11``.

``twisted.web.client`` is not used because it does not report

* whether a request was written before its connection failed,
* bytes that arrive while no request is in progress,
* responses to an earlier request, or
* the interim response with which another node acknowledges a request.
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

from marjoramlead.events import emit
from marjoramlead.headers import BODY_GRANTED, parse_integer
from marjoramlead.memory_budget import (
    Hold,
    MemoryBudget,
    grow,
    held_bytes,
    open_hold,
    release,
    set_arrived,
    set_arriving,
    unlimited_budget,
)
from marjoramlead.verdict import Reason

__all__ = (
    'ConnectionFailure',
    'HeaderList',
    'HttpConnection',
    'OnAcknowledged',
    'OnClosed',
    'OnTraffic',
    'OutgoingRequest',
    'Reply',
    'ReplyMatcher',
    'SendResult',
    'header_value',
)

HeaderList = Sequence[tuple[bytes, bytes]]

MAX_HEAD_BYTES: Final = 65_536
# Methods that are sent with a Content-Length even if the body is empty.
METHODS_WITH_BODY: Final = frozenset((b'POST', b'PUT', b'PATCH'))


OnProgress = Callable[[], None]


def _ignore_progress() -> None:
    """Do nothing: most senders do not follow the progress of a response."""


def _is_always_identified(_reply: 'Reply') -> bool:
    """Return True; the default for servers that answer each request once."""
    return True


class OutgoingRequest(NamedTuple):
    """A request to send, whose body is framed by Content-Length.

    Attributes
    ----------
    expects_continue
        Whether to send "Expect: 100-continue" and hold the body back until
        the server sends "100 Continue". The server may grant the body in parts
        (``headers.BODY_GRANTED``).
    on_progress
        Called whenever bytes arrive while the response is awaited.
    is_identified
        Returns whether a response is certainly that to this request. After
        another one, the connection is not reused, as a late copy could be
        taken for the response to the next request.
    """

    method: bytes
    uri: bytes
    headers: HeaderList
    body: bytes
    expects_continue: bool = False
    on_progress: OnProgress = _ignore_progress
    is_identified: 'Callable[[Reply], bool]' = _is_always_identified


class Reply(NamedTuple):
    """A complete response.

    Attributes
    ----------
    hold
        Its memory in the node's budget, released with the reply.
    """

    status: int
    headers: HeaderList
    body: bytes
    hold: Hold | None = None


class ConnectionFailure(NamedTuple):
    """Reason why a request got no response.

    Attributes
    ----------
    may_have_arrived
        Whether any part of the request may have reached the server.
    """

    reason: Reason
    may_have_arrived: bool


SendResult = Result[Reply, ConnectionFailure]
ReplyMatcher = Callable[[Reply], bool]
# Called with the headers of an interim response.
OnAcknowledged = Callable[[HeaderList], None]
OnClosed = Callable[[], None]
# Called with the numbers of bytes sent and received.
OnTraffic = Callable[[int, int], None]


def header_value(headers: HeaderList, name: bytes) -> str:
    """Return the first value of a header, or an empty string.

    Parameters
    ----------
    headers
        Headers to search.
    name
        Name of the header in lower case.
    """
    for header_name, raw in headers:
        if header_name.lower() == name:
            return raw.decode('latin-1')
    return ''


class _Transport(ProtocolType):
    """The methods of a TCP transport that are used here."""

    def write(self, chunk: bytes) -> None:
        """Queue bytes to be sent."""

    def loseConnection(self) -> None:
        """Close the connection once all queued bytes are sent."""

    def loseWriteConnection(self) -> None:
        """End sending once all queued bytes are sent, but keep receiving."""

    def abortConnection(self) -> None:
        """Close the connection at once."""


@dataclass(slots=True)
class _Exchange:
    """One request on a connection and the part of the response received.

    Attributes
    ----------
    hold
        The bytes received so far, of heads and bodies.
    """

    outgoing: OutgoingRequest
    matches: ReplyMatcher
    on_acknowledged: OnAcknowledged
    done: Deferred[SendResult]
    hold: Hold
    sent_bytes: int = 0
    response: h11.Response | None = None
    chunks: list[bytes] = field(default_factory=list)


class HttpConnection(Protocol):
    """A persistent connection that carries one request at a time.

    Attributes
    ----------
    is_open
        Whether the connection is established and not closed by either side.
    on_idle
        Called with each complete response after which the connection can be
        reused.
    on_lost
        Called when the connection has been closed by either side.
    on_traffic
        Called whenever bytes are sent or received.
    """

    transport: _Transport  # type: ignore[assignment]  # always TCP

    def __init__(
        self,
        on_idle: 'Callable[[HttpConnection, Reply], None]',
        on_lost: 'Callable[[HttpConnection], None]',
        on_traffic: OnTraffic,
        budget: MemoryBudget | None = None,
    ) -> None:
        self.is_open = False
        self.on_idle = on_idle
        self.on_lost = on_lost
        self.on_traffic = on_traffic
        self._budget = budget or unlimited_budget()
        self._parser = _new_parser()
        self._exchange: _Exchange | None = None
        self._on_closed: OnClosed | None = None

    def connectionMade(self) -> None:
        """Mark the connection as open."""
        self.is_open = True

    def exchange(
        self,
        outgoing: OutgoingRequest,
        matches: ReplyMatcher,
        on_acknowledged: OnAcknowledged,
        on_closed: OnClosed | None = None,
    ) -> Deferred[SendResult]:
        """Send a request and return the result of the exchange.

        Cancelling the result closes the connection: at once, or with
        ``on_closed`` by a half-close, after which the server closes, too.

        Parameters
        ----------
        outgoing
            Request to send.
        matches
            Returns whether a response belongs to this request.
        on_acknowledged
            Called with each interim response.
        on_closed
            Called after a cancellation when the server has closed, too.
        """
        done: Deferred[SendResult] = Deferred(
            lambda _done: self._cancel(on_closed)
        )
        hold = open_hold(self._budget)
        exchange = _Exchange(outgoing, matches, on_acknowledged, done, hold)
        self._exchange = exchange
        set_arriving(hold, self._give_up)
        self._write(_encode_head(self._parser, outgoing))
        if not outgoing.expects_continue:
            self._send_body(exchange, len(outgoing.body))
        return done

    def dataReceived(self, chunk: bytes) -> None:
        """Process received bytes; abort if no request is in progress."""
        self.on_traffic(0, len(chunk))
        exchange = self._exchange
        if exchange is not None:
            exchange.outgoing.on_progress()
            if grow(exchange.hold, len(chunk)):
                self._receive(chunk)
            else:
                self._give_up()
        elif self._on_closed is None:
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Finish a response delimited by the close, or fail the request."""
        self.is_open = False
        self.on_lost(self)
        if self._on_closed is not None and reason.check(ConnectionDone):
            self._on_closed()
        if self._exchange is not None and reason.check(ConnectionDone):
            self._receive(b'')
        self._fail(Reason.TARGET_FAILED)

    def close(self) -> None:
        """Close the connection once all queued bytes are sent."""
        if self.is_open:
            self.is_open = False
            self.transport.loseConnection()

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_open = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _cancel(self, on_closed: OnClosed | None) -> None:
        """Close the connection, so that the server cancels the request.

        TCP retransmits a half-close until it is acknowledged, but sends a reset
        only once.
        """
        self._end_exchange()
        if on_closed is None:
            self.abort()
            return
        self._on_closed = on_closed
        self.is_open = False
        self.transport.loseWriteConnection()

    def _write(self, chunk: bytes) -> None:
        self.on_traffic(len(chunk), 0)
        self.transport.write(chunk)

    def _receive(self, chunk: bytes) -> None:
        try:
            self._parser.receive_data(chunk)
        except h11.RemoteProtocolError:
            self._abort_exchange(Reason.BAD_ANSWER)
        else:
            self._read_events()

    def _read_events(self) -> None:
        while self._exchange is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                self._abort_exchange(Reason.BAD_ANSWER)
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._on_event(self._exchange, event)

    def _on_event(self, exchange: _Exchange, event: object) -> None:
        if isinstance(event, h11.InformationalResponse):
            self._on_informational(exchange, event)
        elif isinstance(event, h11.Response):
            self._on_head(exchange, event)
        elif isinstance(event, h11.Data):
            exchange.chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_end(exchange)
        else:
            self._abort_exchange(Reason.TARGET_FAILED)

    def _on_head(self, exchange: _Exchange, event: h11.Response) -> None:
        """Give up a response at once that is longer than the budget."""
        exchange.response = event
        length = parse_integer(header_value(event.headers, b'content-length'))
        if length is not None and length > self._budget.capacity:
            self._give_up()

    def _on_informational(
        self, exchange: _Exchange, event: h11.InformationalResponse
    ) -> None:
        exchange.on_acknowledged(event.headers.raw_items())
        is_waiting = self._parser.our_state is h11.SEND_BODY
        if event.status_code != HTTPStatus.CONTINUE or not is_waiting:
            return
        granted = parse_integer(
            header_value(event.headers, BODY_GRANTED.lower())
        )
        length = len(exchange.outgoing.body)
        if granted is None:
            self._send_body(exchange, length)
        else:
            self._send_part(exchange, min(granted, length))

    def _send_body(self, exchange: _Exchange, length: int) -> None:
        self._send_part(exchange, length)
        self._write(self._parser.send(h11.EndOfMessage()) or b'')

    def _send_part(self, exchange: _Exchange, end: int) -> None:
        part = exchange.outgoing.body[exchange.sent_bytes : end]
        if part:
            exchange.sent_bytes = end
            self._write(self._parser.send(h11.Data(data=part)) or b'')

    def _on_end(self, exchange: _Exchange) -> None:
        response = cast(h11.Response, exchange.response)
        reply = Reply(
            response.status_code,
            response.headers.raw_items(),
            b''.join(exchange.chunks),
            exchange.hold,
        )
        if not exchange.matches(reply):
            self._skip_reply(exchange)
            return
        self._end_exchange()
        if self._is_reusable() and exchange.outgoing.is_identified(reply):
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

    def _skip_reply(self, exchange: _Exchange) -> None:
        """Skip the response to another request and wait for the next one."""
        if self._parser.their_state is not h11.DONE:
            self._abort_exchange(Reason.BAD_ANSWER)
            return
        trailing = self._parser.trailing_data[0]
        exchange.response = None
        exchange.chunks = []
        release(exchange.hold)
        self._parser = _new_parser()
        _encode_head(self._parser, exchange.outgoing)
        _encode_body(self._parser, exchange.outgoing)
        if trailing:  # empty data would signal end of stream
            self._parser.receive_data(trailing)

    def _give_up(self) -> None:
        """End a response that the node has no memory for."""
        if self._exchange is not None:
            received = held_bytes(self._exchange.hold)
            emit('response_given_up', received=received)
        self._abort_exchange(Reason.GATEWAY_FULL)

    def _abort_exchange(self, reason: Reason) -> None:
        self.abort()
        self._fail(reason)

    def _end_exchange(self) -> _Exchange | None:
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            set_arrived(exchange.hold)
        return exchange

    def _fail(self, reason: Reason) -> None:
        exchange = self._end_exchange()
        if exchange is not None and not exchange.done.called:
            exchange.done.callback(
                Error(ConnectionFailure(reason, may_have_arrived=True))
            )


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _encode_head(parser: h11.Connection, outgoing: OutgoingRequest) -> bytes:
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


def _encode_body(parser: h11.Connection, outgoing: OutgoingRequest) -> bytes:
    raw = b''
    if outgoing.body:
        raw = parser.send(h11.Data(data=outgoing.body)) or b''
    return raw + (parser.send(h11.EndOfMessage()) or b'')
