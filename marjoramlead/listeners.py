"""Close the ports and connections of a process before it exits.

A process that stops its event loop drops the bytes that it has written and
that the operating system has not accepted yet. So it first closes its
connections, which sends them.

A port takes connections before the process accepts them, and closing it resets
those that wait. They are accepted first. A port that is still open when the
loop stops takes connections until the process has ended.
"""

from collections.abc import Callable, Sequence
from typing import Any, Final, NamedTuple

from twisted.internet.defer import Deferred, DeferredList, succeed

from marjoramlead.clock import Clock, ListeningPort
from marjoramlead.http_server import StreamSite

__all__ = ('Listener', 'close_listeners', 'close_port')

# Calls that accept connections. Twisted accepts a limited number in each, and
# raises the limit if more wait.
ACCEPT_CALLS: Final = 3
# Time after the deadline to send responses that a late loop writes in the same
# iteration.
LAST_SEND_S: Final = 0.02


class Listener(NamedTuple):
    """An open port and the server of its connections."""

    port: ListeningPort
    site: StreamSite


def close_port(port: ListeningPort, reactor: Clock) -> Deferred[None]:
    """Accept the connections that wait at a port, and close it.

    Returns
    -------
    Fires when the port is closed.
    """

    def accept_waiting() -> None:
        for _call in range(ACCEPT_CALLS):
            port.doRead()

    # Twisted closes the port right after this, in the next iteration.
    accepting = reactor.callLater(0, accept_waiting)
    closing = port.stopListening()
    if closing is None:  # it was closed before
        accepting.cancel()
        return succeed(None)
    return closing


def close_listeners(
    listeners: Sequence[Listener],
    reactor: Clock,
    deadline: float,
    on_closed: Callable[[int], None],
) -> None:
    """Accept no more connections, and close each after its response.

    Parameters
    ----------
    listeners
        Ports to close.
    reactor
        Clock of the deadline.
    deadline
        Time after which connections are no longer waited for.
    on_closed
        Called once, with the number of connections that are still open: when
        there are none, or right after the deadline.
    """

    def end() -> None:
        if timer.active():
            timer.cancel()
        on_closed(sum(len(each.site.channels) for each in listeners))

    def end_soon() -> None:
        reactor.callLater(LAST_SEND_S, end)

    def close_connections(_closed_ports: object) -> Deferred[Any]:
        return DeferredList([each.site.close() for each in listeners])

    left_s = max(0, deadline - reactor.seconds())
    timer = reactor.callLater(left_s, end_soon)
    closing: Deferred[Any] = DeferredList(
        [close_port(each.port, reactor) for each in listeners]
    )
    closing.addCallback(close_connections)
    closing.addCallback(lambda _closed: end() if timer.active() else None)
