"""Close the ports and connections of a process before it exits.

A process that stops its event loop drops the bytes that it has written and
that the operating system has not accepted yet. So it first closes its
connections, which sends them. Ports close in the next iteration of the loop;
one that is still open when the loop stops takes connections until the process
has ended, and resets them then.
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred

from marjoramlead.clock import Clock, ListeningPort
from marjoramlead.http_server import StreamSite

__all__ = ('Listener', 'close_listeners')


class Listener(NamedTuple):
    """An open port and the server of its connections."""

    port: ListeningPort
    site: StreamSite


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
        there are none, or at the deadline.
    """

    def end() -> None:
        if timer.active():
            timer.cancel()
        on_closed(sum(len(each.site.channels) for each in listeners))

    left_s = max(0, deadline - reactor.seconds())
    timer = reactor.callLater(left_s, end)
    closing: list[Deferred[Any]] = [
        *(maybeDeferred(each.port.stopListening) for each in listeners),
        *(each.site.close() for each in listeners),
    ]
    DeferredList(closing).addCallback(
        lambda _results: end() if timer.active() else None
    )
