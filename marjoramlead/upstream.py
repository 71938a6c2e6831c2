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
from marjoramlead.link import (
    Accepts,
    Fields,
    Link,
    LinkFailure,
    OnReceipt,
    Outgoing,
    Reply,
    Sent,
    value_of,
)
from marjoramlead.verdict import Reason

__all__ = (
    'Connect',
    'Fields',
    'LinkFailure',
    'Outgoing',
    'Pool',
    'Reply',
    'Sent',
    'close_idle',
    'connect_tcp',
    'send',
    'value_of',
)

Connect = Callable[[Clock, Address, Protocol], Deferred[Protocol]]

# A host on the same network accepts within milliseconds; the slowest way in
# the brief takes 12 ms, and a lost packet is sent again after 200 ms.
CONNECT_LIMIT_S: Final = 0.45
# Peers whose bytes are not acknowledged for so long have lost us.
UNACKNOWLEDGED_MS: Final = 1500
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
    idle
        Connections that nobody uses, with the time until which they may be.
    opened
        Connections opened so far.
    """

    reactor: Clock
    address: Address
    idle_limit: float
    connect: Connect = connect_tcp
    idle: dict[Link, float] = field(default_factory=dict)
    opened: int = 0


def _any_reply(_reply: Reply) -> bool:
    return True


def _ignore_receipt() -> None:
    """Do nothing: not every server sends receipts."""


async def send(
    pool: Pool,
    outgoing: Outgoing,
    accepts: Accepts = _any_reply,
    on_receipt: OnReceipt = _ignore_receipt,
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
    idle = list(pool.idle)
    pool.idle.clear()
    for link in idle:
        link.close()


def _take_idle(pool: Pool) -> Link | None:
    """Take the connection that was used last."""
    now = pool.reactor.seconds()
    while pool.idle:
        link, until = pool.idle.popitem()
        if link.is_open and now < until:
            return link
        link.close()
    return None


async def _open(pool: Pool) -> Result[Link, LinkFailure]:
    def on_free(link: Link, reply: Reply) -> None:
        limit = _idle_limit(reply.headers, pool.idle_limit)
        pool.idle[link] = pool.reactor.seconds() + limit

    def on_lost(link: Link) -> None:
        pool.idle.pop(link, None)

    link = Link(on_free, on_lost)
    try:
        await pool.connect(pool.reactor, pool.address, link)
    except CancelledError:
        raise
    except Exception:  # refused, timed out, unreachable: nothing was sent
        return Error(LinkFailure(Reason.CONNECT_FAILED, was_sent=False))
    pool.opened += 1
    return Ok(link)


def _idle_limit(fields: Fields, own: float) -> float:
    for word in value_of(fields, b'keep-alive').split(','):
        name, _equals, amount = word.strip().partition('=')
        if name == 'timeout' and amount.isdecimal():
            return min(own, int(amount) * IDLE_SHARE)
    return own
