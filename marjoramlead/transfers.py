"""Receive responses that may take long on a narrow link.

A response is given up if it does not begin in time, or if no more bytes of it
arrive. A limit on its total time would discard most of a text that fills the
link, and the repeated read would fill it again.
"""

from typing import Final

from marjoramlead.clock import Clock
from marjoramlead.deadlines import TimedWait
from marjoramlead.upstream import (
    ConnectionPool,
    OutgoingRequest,
    SendResult,
    send,
)

__all__ = ('receive',)

# Longest time without a byte, once a response has begun. TCP sends a lost
# packet again after some 200 ms, and then after twice that time.
PROGRESS_TIMEOUT_S: Final = 0.5


async def receive(
    reactor: Clock,
    pool: ConnectionPool,
    outgoing: OutgoingRequest,
    deadline: float,
    max_transfer_s: float,
) -> SendResult | None:
    """Send a request and wait for its complete response.

    Parameters
    ----------
    reactor
        Clock of the deadline.
    pool
        Connections to the address to send to.
    outgoing
        Request to send.
    deadline
        Time by which the response must begin, or be complete.
    max_transfer_s
        Longest time from the first byte of the response to the last.

    Returns
    -------
    The result, or None if the response was given up.
    """
    began_at: float | None = None

    def on_progress() -> None:
        nonlocal began_at  # noqa: WPS420  # set by the first byte
        now = reactor.seconds()
        began_at = now if began_at is None else began_at
        wait.postpone(
            timer, min(now + PROGRESS_TIMEOUT_S, began_at + max_transfer_s)
        )

    watched = outgoing._replace(on_progress=on_progress)
    wait = TimedWait(reactor, send(pool, watched))
    timer = wait.add_deadline(deadline)
    return await wait.result()
