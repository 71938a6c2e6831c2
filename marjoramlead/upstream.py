"""Send HTTP requests to one address, over connections that are kept."""

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, cast
from typing import Protocol as ProtocolType

from expression import Error, Ok, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol

from marjoramlead.address import Address
from marjoramlead.clock import Clock
from marjoramlead.http_connection import (
    ConnectionFailure,
    HeaderList,
    HttpConnection,
    OnAcknowledged,
    OutgoingRequest,
    Reply,
    ReplyMatcher,
    SendResult,
    header_value,
)
from marjoramlead.verdict import Reason

__all__ = (
    'Connect',
    'ConnectionFailure',
    'ConnectionPool',
    'HeaderList',
    'OutgoingRequest',
    'Reply',
    'SendResult',
    'close_idle',
    'connect_tcp',
    'header_value',
    'send',
)

Connect = Callable[[Clock, Address, Protocol], Deferred[Protocol]]

# A host on the same network accepts within milliseconds; the slowest way in
# the brief takes 12 ms, and a lost packet is sent again after 200 ms.
CONNECT_TIMEOUT_S: Final = 0.45
# Peers whose bytes are not acknowledged for so long have lost us.
TCP_USER_TIMEOUT_MS: Final = 1500
# Share of a server's idle limit for which a connection is used again.
IDLE_SHARE: Final = 0.5


class _TcpTransport(ProtocolType):
    def getHandle(self) -> socket.socket:
        """Return the socket."""


def connect_tcp(
    reactor: Clock,
    address: Address,
    protocol: Protocol,
) -> Deferred[Protocol]:
    """Connect a protocol to an address."""
    host, port = address
    endpoint = TCP4ClientEndpoint(reactor, host, port, CONNECT_TIMEOUT_S)
    connected = connectProtocol(endpoint, protocol)
    return connected.addCallback(_set_options)


def _set_options(protocol: Protocol) -> Protocol:
    handle = cast(_TcpTransport, protocol.transport).getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    handle.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        TCP_USER_TIMEOUT_MS,
    )
    return protocol


@dataclass(slots=True)
class ConnectionPool:
    """Kept connections to one address.

    Attributes
    ----------
    idle_timeout_s
        Seconds after which an idle connection is not used again.
    connect
        Opens a connection for a protocol.
    idle
        Connections that nobody uses, with the time until which they may be.
    opened_count
        Connections opened so far.
    """

    reactor: Clock
    address: Address
    idle_timeout_s: float
    connect: Connect = connect_tcp
    idle: dict[HttpConnection, float] = field(default_factory=dict)
    opened_count: int = 0


def _any_reply(_reply: Reply) -> bool:
    return True


def _ignore_receipt() -> None:
    """Do nothing: not every server sends receipts."""


async def send(
    pool: ConnectionPool,
    outgoing: OutgoingRequest,
    matches: ReplyMatcher = _any_reply,
    on_acknowledged: OnAcknowledged = _ignore_receipt,
) -> SendResult:
    """Send a request and wait for its whole answer.

    Cancelling the wait closes the connection, which tells the other end.

    Parameters
    ----------
    pool
        Of the address to send to.
    outgoing
        What to send.
    matches
        Whether an answer belongs to this request; others are skipped.
    on_acknowledged
        Called when the other end says that it has read the request.
    """
    connection = _take_idle(pool)
    if connection is None:
        opened = await _open(pool)
        if opened.is_error():
            return Error(opened.error)
        connection = opened.ok
    return await connection.exchange(outgoing, matches, on_acknowledged)


def close_idle(pool: ConnectionPool) -> None:
    """Close the connections that nobody uses."""
    idle = list(pool.idle)
    pool.idle.clear()
    for connection in idle:
        connection.close()


def _take_idle(pool: ConnectionPool) -> HttpConnection | None:
    """Take the connection that was used last."""
    now = pool.reactor.seconds()
    while pool.idle:
        connection, until = pool.idle.popitem()
        if connection.is_open and now < until:
            return connection
        connection.close()
    return None


async def _open(
    pool: ConnectionPool,
) -> Result[HttpConnection, ConnectionFailure]:
    def on_idle(connection: HttpConnection, reply: Reply) -> None:
        limit = _idle_limit(reply.headers, pool.idle_timeout_s)
        pool.idle[connection] = pool.reactor.seconds() + limit

    def on_lost(connection: HttpConnection) -> None:
        pool.idle.pop(connection, None)

    connection = HttpConnection(on_idle, on_lost)
    try:
        await pool.connect(pool.reactor, pool.address, connection)
    except CancelledError:
        raise
    except Exception:  # refused, timed out, unreachable: nothing was sent
        return Error(
            ConnectionFailure(Reason.CONNECT_FAILED, may_have_arrived=False)
        )
    pool.opened_count += 1
    return Ok(connection)


def _idle_limit(fields: HeaderList, own: float) -> float:
    for word in header_value(fields, b'keep-alive').split(','):
        name, _equals, amount = word.strip().partition('=')
        if name == 'timeout' and amount.isdecimal():
            return min(own, int(amount) * IDLE_SHARE)
    return own
