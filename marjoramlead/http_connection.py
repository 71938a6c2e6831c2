"""Client side of a persistent HTTP/1.1 connection.

``twisted.web.client`` is not used because it does not report

* whether a request was written before its connection failed,
* bytes that arrive while no request is in progress,
* responses to an earlier request, or
* the interim response with which another node acknowledges a request.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, NamedTuple
from typing import Protocol as ProtocolType

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from marjoramlead.body_sender import (
    SLICE_BYTES,
    BodySender,
    BodyTransport,
)
from marjoramlead.direct_writes import discard_unsent, write_now
from marjoramlead.events import emit
from marjoramlead.headers import BODY_GRANTED, parse_integer
from marjoramlead.http_messages import (
    HeaderList,
    InterimResponse,
    ParsedResponse,
    ResponseHead,
    ResponseParser,
    discard_parser,
    encode_request_head,
    end_at_close,
    feed,
    header_value,
    new_response_parser,
)
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

HEAD_METHOD: Final = b'HEAD'
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


class _Transport(BodyTransport, ProtocolType):
    """The methods of a TCP transport that are used here."""

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
    sent_bytes
        Bytes of the body that are sent.
    is_sent
        Whether the request is sent whole.
    """

    outgoing: OutgoingRequest
    matches: ReplyMatcher
    on_acknowledged: OnAcknowledged
    done: Deferred[SendResult]
    hold: Hold
    body: BodySender
    sent_bytes: int = 0
    is_sent: bool = False


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
        self._parser: ResponseParser | None = None
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

        Raises
        ------
        MalformedMessageError
            If the request cannot be encoded; nothing is sent.
        """
        head = _encode_head(outgoing)
        done: Deferred[SendResult] = Deferred(
            lambda _done: self._cancel(on_closed)
        )
        hold = open_hold(self._budget)
        body = BodySender(self.transport)
        exchange = _Exchange(
            outgoing, matches, on_acknowledged, done, hold, body
        )
        self._exchange = exchange
        set_arriving(hold, self._give_up)
        is_for_head = outgoing.method == HEAD_METHOD
        if self._parser is None or is_for_head or self._parser.is_for_head:
            self._parser = new_response_parser(is_for_head=is_for_head)
        if outgoing.expects_continue:
            self._write(head)
            return done
        exchange.is_sent = True
        if len(outgoing.body) <= SLICE_BYTES:
            self._write(head + outgoing.body)
        else:
            self._write(head)
            self._send_part(exchange, len(outgoing.body))
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
        exchange = self._exchange
        if exchange is not None and reason.check(ConnectionDone):
            self._on_end_at_close(exchange)
        self._fail(Reason.TARGET_FAILED)
        self._discard_parser()
        discard_unsent(self.transport)

    def close(self) -> None:
        """Close the connection once all queued bytes are sent."""
        if self.is_open:
            self.is_open = False
            self.transport.loseConnection()

    def abort(self) -> None:
        """Close the connection at once."""
        self.is_open = False
        self._discard_parser()
        if self.transport is not None:
            self.transport.abortConnection()

    def _cancel(self, on_closed: OnClosed | None) -> None:
        """Close the connection, so that the server cancels the request.

        TCP retransmits a half-close until it is acknowledged, but sends a reset
        only once.
        """
        self._end_exchange()
        self._discard_parser()
        if on_closed is None:
            self.abort()
            return
        self._on_closed = on_closed
        self.is_open = False
        self.transport.loseWriteConnection()

    def _on_end_at_close(self, exchange: _Exchange) -> None:
        """End a response without a length, unless the server broke off.

        One that is closed while the request is being sent may be cut.
        """
        parsed = end_at_close(self._parser) if self._parser else None
        if parsed is None:
            return
        if exchange.is_sent and exchange.body.is_sent():
            self._on_end(exchange, parsed)
        else:
            emit('answer_cut', status=parsed.status, received=len(parsed.body))

    def _discard_parser(self) -> None:
        parser = self._parser
        self._parser = None
        if parser is not None:
            discard_parser(parser)

    def _write(self, chunk: bytes) -> None:
        self.on_traffic(len(chunk), 0)
        write_now(self.transport, chunk)

    def _receive(self, chunk: bytes) -> None:
        if self._parser is None:  # the exchange was cancelled
            return
        for event in feed(self._parser, chunk):
            exchange = self._exchange
            if exchange is None:
                return
            if isinstance(event, InterimResponse):
                self._on_interim(exchange, event)
            elif isinstance(event, ResponseHead):
                self._on_head(event)
            elif isinstance(event, ParsedResponse):
                self._on_end(exchange, event)
            else:
                self._abort_exchange(Reason.BAD_ANSWER)

    def _on_head(self, head: ResponseHead) -> None:
        """Give up a response at once that is longer than the budget."""
        if head.length > self._budget.capacity:
            self._give_up()

    def _on_interim(
        self, exchange: _Exchange, interim: InterimResponse
    ) -> None:
        exchange.on_acknowledged(interim.headers)
        if interim.status != HTTPStatus.CONTINUE or exchange.is_sent:
            return
        granted = parse_integer(
            header_value(interim.headers, BODY_GRANTED.lower())
        )
        length = len(exchange.outgoing.body)
        if granted is None:
            exchange.is_sent = True
            self._send_part(exchange, length)
        else:
            self._send_part(exchange, min(granted, length))

    def _send_part(self, exchange: _Exchange, end: int) -> None:
        part = memoryview(exchange.outgoing.body)[exchange.sent_bytes : end]
        if part:
            exchange.sent_bytes = end
            self.on_traffic(len(part), 0)
            exchange.body.send(part)

    def _on_end(self, exchange: _Exchange, parsed: ParsedResponse) -> None:
        reply = Reply(parsed.status, parsed.headers, parsed.body, exchange.hold)
        if not exchange.matches(reply):
            if parsed.is_last:
                self._abort_exchange(Reason.BAD_ANSWER)
            release(exchange.hold)
            return
        is_sent = exchange.is_sent and exchange.body.is_idle()
        self._end_exchange()
        is_reusable = not parsed.is_last and not parsed.has_rest
        if (
            is_reusable
            and is_sent
            and self.is_open
            and exchange.outgoing.is_identified(reply)
        ):
            self.on_idle(self, reply)
        else:
            self.close()
        exchange.done.callback(Ok(reply))

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
            exchange.body.stopProducing()
        return exchange

    def _fail(self, reason: Reason) -> None:
        exchange = self._end_exchange()
        if exchange is not None and not exchange.done.called:
            exchange.done.callback(
                Error(ConnectionFailure(reason, may_have_arrived=True))
            )


def _encode_head(outgoing: OutgoingRequest) -> bytes:
    added: list[tuple[bytes, bytes]] = []
    if outgoing.expects_continue:
        added.append((b'Expect', b'100-continue'))
    if outgoing.body or outgoing.method in METHODS_WITH_BODY:
        added.append((b'Content-Length', b'%d' % len(outgoing.body)))
    return encode_request_head(
        outgoing.method, outgoing.uri, outgoing.headers, added
    )
