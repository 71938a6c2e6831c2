"""Send HTTP requests to one address over pooled connections."""

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
from marjoramlead.headers import parse_integer
from marjoramlead.http_connection import (
    ConnectionFailure,
    HeaderList,
    HttpConnection,
    OnAcknowledged,
    OnClosed,
    OnTraffic,
    OutgoingRequest,
    Reply,
    ReplyMatcher,
    SendResult,
    header_value,
)
from marjoramlead.http_messages import MalformedMessageError
from marjoramlead.memory_budget import MemoryBudget, unlimited_budget
from marjoramlead.verdict import Reason

__all__ = (
    'Connect',
    'ConnectionFailure',
    'ConnectionPool',
    'HeaderList',
    'OnTraffic',
    'OutgoingRequest',
    'Reply',
    'SendResult',
    'close_idle',
    'connect_tcp',
    'header_value',
    'send',
)

Connect = Callable[[Clock, Address, Protocol], Deferred[Protocol]]

# Hosts on the same network accept within milliseconds. The longest specified
# network path takes 12 ms; TCP retransmits a lost packet after 200 ms.
CONNECT_TIMEOUT_S: Final = 0.45
# A connection is closed if sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS: Final = 1500
# Time for which a server may take to close a connection after a cancellation.
CLOSE_TIMEOUT_S: Final = 1.0
# Share of the timeout in the server's Keep-Alive header during which an idle
# connection is reused.
KEEP_ALIVE_SHARE: Final = 0.5


class _TcpTransport(ProtocolType):
    def getHandle(self) -> socket.socket:
        """Return the socket."""


def connect_tcp(
    reactor: Clock,
    address: Address,
    protocol: Protocol,
) -> Deferred[Protocol]:
    """Connect a protocol to an address over TCP."""
    host, port = address
    endpoint = TCP4ClientEndpoint(reactor, host, port, CONNECT_TIMEOUT_S)
    connected = connectProtocol(endpoint, protocol)
    return connected.addCallback(_set_socket_options)


def _set_socket_options(protocol: Protocol) -> Protocol:
    handle = cast(_TcpTransport, protocol.transport).getHandle()
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    handle.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        TCP_USER_TIMEOUT_MS,
    )
    return protocol


def _ignore_traffic(_sent: int, _received: int) -> None:
    """Do nothing: traffic within a host is not counted."""


@dataclass(slots=True)
class ConnectionPool:
    """Pool of persistent connections to one address.

    Attributes
    ----------
    idle_timeout_s
        Seconds after which an idle connection is not reused.
    connect
        Connects a protocol to an address.
    on_traffic
        Called with the numbers of bytes sent and received on any connection.
    idle
        Idle connections, with the time until which each can be reused.
    opened_count
        Number of connections opened so far.
    budget
        Memory for the responses.
    """

    reactor: Clock
    address: Address
    idle_timeout_s: float
    connect: Connect = connect_tcp
    on_traffic: OnTraffic = _ignore_traffic
    idle: dict[HttpConnection, float] = field(default_factory=dict)
    opened_count: int = 0
    budget: MemoryBudget = field(default_factory=unlimited_budget)


def _match_any(_reply: Reply) -> bool:
    return True


def _ignore_progress() -> None:
    """Do nothing: not every sender follows the progress of a request."""


def _ignore_acknowledgement(_headers: HeaderList) -> None:
    """Do nothing: only other nodes acknowledge requests."""


async def send(
    pool: ConnectionPool,
    outgoing: OutgoingRequest,
    matches: ReplyMatcher = _match_any,
    on_acknowledged: OnAcknowledged = _ignore_acknowledgement,
    on_connected: Callable[[], None] = _ignore_progress,
    on_closed: OnClosed | None = None,
) -> SendResult:
    """Send a request and wait for its complete response.

    Cancelling the wait closes the connection, which notifies the server.

    Parameters
    ----------
    pool
        Connections to the address to send to.
    outgoing
        Request to send.
    matches
        Returns whether a response belongs to this request; others are
        skipped.
    on_acknowledged
        Called when the server acknowledges the request with an interim
        response.
    on_connected
        Called when a connection is available, just before the request is
        written to it.
    on_closed
        Called after a cancellation when the server has closed the connection,
        too. Without it, the connection is reset.
    """
    connection = _pop_idle(pool)
    if connection is None:
        opened = await _open_connection(pool)
        if opened.is_error():
            return Error(opened.error)
        connection = opened.ok
    on_connected()
    try:
        return await connection.exchange(
            outgoing, matches, on_acknowledged, on_closed
        )
    except MalformedMessageError:
        connection.close()
        raise
    except CancelledError:
        if on_closed is not None:
            pool.reactor.callLater(CLOSE_TIMEOUT_S, connection.abort)
        raise


def close_idle(pool: ConnectionPool) -> None:
    """Close the idle connections of a pool."""
    idle = list(pool.idle)
    pool.idle.clear()
    for connection in idle:
        connection.close()


def _pop_idle(pool: ConnectionPool) -> HttpConnection | None:
    """Remove and return the most recently used idle connection."""
    now = pool.reactor.seconds()
    while pool.idle:
        connection, expires_at = pool.idle.popitem()
        if connection.is_open and now < expires_at:
            return connection
        connection.close()
    return None


async def _open_connection(
    pool: ConnectionPool,
) -> Result[HttpConnection, ConnectionFailure]:
    def on_idle(connection: HttpConnection, reply: Reply) -> None:
        timeout_s = _idle_timeout_s(reply.headers, pool.idle_timeout_s)
        pool.idle[connection] = pool.reactor.seconds() + timeout_s

    def on_lost(connection: HttpConnection) -> None:
        pool.idle.pop(connection, None)

    connection = HttpConnection(on_idle, on_lost, pool.on_traffic, pool.budget)
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


def _idle_timeout_s(headers: HeaderList, max_timeout_s: float) -> float:
    for parameter in header_value(headers, b'keep-alive').split(','):
        name, _equals, amount = parameter.strip().partition('=')
        timeout_s = parse_integer(amount)
        if name == 'timeout' and timeout_s is not None:
            return min(max_timeout_s, timeout_s * KEEP_ALIVE_SHARE)
    return max_timeout_s
