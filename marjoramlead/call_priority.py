"""The priority of calls of running requests among the requests of clients.

To refuse or delay a call costs the caller of the running request its answer,
and the work that was spent on it; to run it takes only the work of the call.
A client's request loses its answer alone, and takes all its work. So a call
goes before clients' requests that are more urgent if it needs so much less
work that more callers are answered. It never goes after those that are less
urgent than its running request.

This module does no I/O.
"""

from math import log2
from typing import Final

__all__ = ('call_priority',)

# Shortest work that is compared; shorter work counts as this.
MIN_WORK_S: Final = 0.001


def call_priority(
    parent_priority: int, work_s: float, client_work_s: float
) -> int:
    """Return the priority at which a call is ordered; the lowest goes first.

    The answer to a request counts as half as much with each step of priority,
    so a call gains one step for each halving of the work.

    Parameters
    ----------
    parent_priority
        Resolved priority of the running request.
    work_s
        Expected service time of the call, in seconds.
    client_work_s
        Mean expected service time of clients' requests at the same target, in
        seconds; 0 if it has served none.
    """
    ratio = client_work_s / max(work_s, MIN_WORK_S)
    steps = round(log2(max(1, ratio)))
    return parent_priority - steps
