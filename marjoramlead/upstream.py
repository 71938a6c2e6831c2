"""Send HTTP requests over kept connections, on ``h11`` and Twisted's TCP.

``twisted.web.client`` hides what matters here: whether a request was written
before its connection died, bytes that no request asked for, answers to an
earlier request, and the acknowledgement of a request by the other node. So
its place is taken by the parser ``h11`` on a plain protocol.
"""

import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple, cast
from typing import Protocol as ProtocolType

import h11
from expression import Error, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from marjoramlead.clock import Clock
from marjoramlead.verdict import Reason

__all__ = (
    'Address',
    'Connect',
    'Fields',
    'LinkFailure',
    'Outgoing',
    'Pool',
    'Reply',
    'close_idle',
    'connect_tcp',
    'send',
    'value_of',
)

Fields = Sequence[tuple[bytes, bytes]]
Address = tuple[str, int]

# A host on the same network accepts within milliseconds; the slowest way in
# the brief takes 12 ms, and a lost packet is sent again after 200 ms.
CONNECT_LIMIT_S: Final = 0.45
# Bytes of an answer that are held; larger ones count as failed.
MAX_ANSWER_BYTES: Final = 64_000_000
MAX_HEAD_BYTES: Final = 65_536
# Peers whose bytes are not acknowledged for so long have lost us.
UNACKNOWLEDGED_MS: Final = 1500
# Share of a server's idle limit for which a connection is used again.
IDLE_SHARE: Final = 0.5


class Outgoing(NamedTuple):
    """A request to send; the body is framed by its length."""

    method: bytes
    uri: bytes
    headers: Fields
    body: bytes


class Reply(NamedTuple):
    """A whole answer."""

    status: int
    headers: Fields
    body: bytes


class LinkFailure(NamedTuple):
    """Why there is no answer.

    Attributes
    ----------
    was_sent
        Whether any of the request may have arrived.
    """

    reason: Reason
    was_sent: bool


Connect = Callable[[Clock, Address, Protocol], 'Deferred[object]']
Sent = Result[Reply, LinkFailure]
Accepts = Callable[[Reply], bool]
OnReceipt = Callable[[], None]


def value_of(fields: Fields, name: bytes) -> str:
    """Read the first value of a header, given in lower case; or nothing."""
    for each, raw in fields:
        if each.lower() == name:
            return raw.decode('latin-1')
    return ''


def connect_tcp(
    reactor: Clock,
    address: Address,
    protocol: Protocol,
) -> 'Deferred[object]':
    """Connect a protocol to an address."""
    host, port = address
    endpoint = TCP4ClientEndpoint(reactor, host, port, CONNECT_LIMIT_S)
    connected = connectProtocol(endpoint, protocol)
    return connected.addCallback(_set_options)


def _set_options(protocol: Protocol) -> Protocol:
    handle = cast(_TcpTransport, protocol.transport).getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    handle.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_MS,
    )
    return protocol


@dataclass(slots=True)
class Pool:
    """Kept connections to one address.

    Attributes
    ----------
    idle_limit
        Seconds after which an idle connection is not used again.
    connect
        Opens a connection for a protocol.
    opened
        Connections opened so far.
    """

    reactor: Clock
    address: Address
    idle_limit: float
    connect: Connect = connect_tcp
    idle: list['_Link'] = field(default_factory=list)
    opened: int = 0


async def send(
    pool: Pool,
    outgoing: Outgoing,
    accepts: Accepts = lambda _reply: True,
    on_receipt: OnReceipt = lambda: None,
) -> Sent:
    """Send a request and wait for its whole answer.

    Cancelling the wait closes the connection, which tells the other end.

    Parameters
    ----------
    pool
        Of the address to send to.
    outgoing
        What to send.
    accepts
        Whether an answer belongs to this request; others are skipped.
    on_receipt
        Called when the other end says that it has read the request.
    """
    link = _take_idle(pool)
    if link is None:
        opened = await _open(pool)
        if opened.is_error():
            return Error(opened.error)
        link = opened.ok
    return await link.exchange(outgoing, accepts, on_receipt)


def close_idle(pool: Pool) -> None:
    """Close the connections that nobody uses."""
    idle, pool.idle = pool.idle, []
    for link in idle:
        link.close()


def _take_idle(pool: Pool) -> '_Link | None':
    now = pool.reactor.seconds()
    while pool.idle:
        link = pool.idle.pop()
        if link.is_open and now < link.usable_until:
            return link
        link.close()
    return None


async def _open(pool: Pool) -> 'Result[_Link, LinkFailure]':
    link = _Link(pool)
    try:
        await pool.connect(pool.reactor, pool.address, link)
    except CancelledError:
        raise
    except Exception:  # refused, timed out, unreachable: nothing was sent
        return Error(LinkFailure(Reason.CONNECT_FAILED, was_sent=False))
    pool.opened += 1
    return Ok(link)


class _TcpTransport(ProtocolType):
    def getHandle(self) -> socket.socket:
        """Return the socket."""


class _Transport(ProtocolType):
    """The part of a TCP transport that is used here."""

    def write(self, chunk: bytes) -> None:
        """Send bytes."""

    def loseConnection(self) -> None:
        """Close once all is sent."""

    def abortConnection(self) -> None:
        """Close at once."""


class _Exchange:
    """One request on a connection, and what has arrived for it."""

    def __init__(
        self,
        outgoing: Outgoing,
        accepts: Accepts,
        on_receipt: OnReceipt,
        cancel: Callable[[], None],
    ) -> None:
        self.outgoing = outgoing
        self.accepts = accepts
        self.on_receipt = on_receipt
        self.done: Deferred[Sent] = Deferred(lambda _done: cancel())
        self.head: h11.Response | None = None
        self.chunks: list[bytes] = []
        self.received = 0


class _Link(Protocol):
    transport: '_Transport'  # type: ignore[assignment]  # what TCP has

    def __init__(self, pool: Pool) -> None:
        self.is_open = False
        self.usable_until = float('inf')
        self._pool = pool
        self._parser = _new_parser()
        self._exchange: _Exchange | None = None

    def connectionMade(self) -> None:
        self.is_open = True

    def exchange(
        self,
        outgoing: Outgoing,
        accepts: Accepts,
        on_receipt: OnReceipt,
    ) -> Deferred[Sent]:
        exchange = _Exchange(outgoing, accepts, on_receipt, self.abort)
        self._exchange = exchange
        raw = _write_request(self._parser, outgoing)
        self.transport.write(raw)
        return exchange.done

    def dataReceived(self, chunk: bytes) -> None:
        if self._exchange is None:
            self.abort()
            return
        self._feed(chunk)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.is_open = False
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        if self._exchange is None:
            return
        if reason.check(ConnectionDone):
            self._feed(b'')
        self._fail(Reason.TARGET_FAILED)

    def close(self) -> None:
        if self.is_open:
            self.transport.loseConnection()

    def abort(self) -> None:
        self.is_open = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _feed(self, chunk: bytes) -> None:
        try:
            self._parser.receive_data(chunk)
            self._read_events()
        except h11.RemoteProtocolError:
            self.abort()
            self._fail(Reason.BAD_ANSWER)

    def _read_events(self) -> None:
        while self._exchange is not None:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._on_event(self._exchange, event)

    def _on_event(self, exchange: _Exchange, event: object) -> None:
        if isinstance(event, h11.InformationalResponse):
            exchange.on_receipt()
        elif isinstance(event, h11.Response):
            exchange.head = event
        elif isinstance(event, h11.Data):
            self._on_data(exchange, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._on_end(exchange)
        else:
            self.abort()
            self._fail(Reason.TARGET_FAILED)

    def _on_data(self, exchange: _Exchange, chunk: bytes) -> None:
        exchange.chunks.append(chunk)
        exchange.received += len(chunk)
        if exchange.received > MAX_ANSWER_BYTES:
            self.abort()
            self._fail(Reason.BAD_ANSWER)

    def _on_end(self, exchange: _Exchange) -> None:
        head = cast(h11.Response, exchange.head)
        reply = Reply(
            head.status_code,
            head.headers.raw_items(),
            b''.join(exchange.chunks),
        )
        if exchange.accepts(reply):
            self._exchange = None
            self._keep(reply)
            exchange.done.callback(Ok(reply))
            return
        self._skip(exchange)

    def _skip(self, exchange: _Exchange) -> None:
        """Wait for the next answer on this connection instead."""
        if self._parser.their_state is not h11.DONE:
            self.abort()
            self._fail(Reason.BAD_ANSWER)
            return
        trailing = self._parser.trailing_data[0]
        exchange.head = None
        exchange.chunks = []
        self._parser = _new_parser()
        _write_request(self._parser, exchange.outgoing)
        if trailing:  # to the parser, no bytes mean the end
            self._parser.receive_data(trailing)

    def _keep(self, reply: Reply) -> None:
        parser = self._parser
        is_clean = parser.our_state is h11.DONE and (
            parser.their_state is h11.DONE and not parser.trailing_data[0]
        )
        if not is_clean or not self.is_open:
            self.close()
            self.is_open = False
            return
        parser.start_next_cycle()
        limit = _idle_limit(reply.headers, self._pool.idle_limit)
        self.usable_until = self._pool.reactor.seconds() + limit
        self._pool.idle.append(self)

    def _fail(self, reason: Reason) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None and not exchange.done.called:
            exchange.done.callback(Error(LinkFailure(reason, was_sent=True)))


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _write_request(parser: h11.Connection, outgoing: Outgoing) -> bytes:
    headers = list(outgoing.headers)
    if outgoing.body:
        length = str(len(outgoing.body)).encode()
        headers.append((b'Content-Length', length))
    request = h11.Request(
        method=outgoing.method,
        target=outgoing.uri,
        headers=headers,
    )
    raw = parser.send(request) or b''
    if outgoing.body:
        raw += parser.send(h11.Data(data=outgoing.body)) or b''
    return raw + (parser.send(h11.EndOfMessage()) or b'')


def _idle_limit(fields: Fields, own: float) -> float:
    for word in value_of(fields, b'keep-alive').split(','):
        name, _equals, amount = word.strip().partition('=')
        if name == 'timeout' and amount.isdecimal():
            return min(own, int(amount) * IDLE_SHARE)
    return own
