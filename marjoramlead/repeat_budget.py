"""How many requests this node may send to a second target.

All nodes together may add a share of the clients' requests, and a fixed
number, in any window. Nodes do not talk about it: each has the share of what
its own clients asked, and its part of the fixed number.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

__all__ = (
    'RepeatBudget',
    'RepeatBudgetConfig',
    'record_request',
    'try_spend_repeat',
)

# Part of what is granted that is used. A repeated run makes its calls again,
# which nothing refuses: the repeats of a caller and those of what it calls
# together must fit, so each has less than half; the rest is for windows that
# do not match from node to node.
USED_SHARE: Final = 0.45


@dataclass(frozen=True, slots=True)
class RepeatBudgetConfig:
    """What all nodes together may repeat.

    Attributes
    ----------
    ratio
        Repeats for each request of clients.
    slack
        Repeats besides, in each window, for the whole fleet.
    window_s
        Length of the window.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class SlidingWindow:
    """Weighted events of the last seconds.

    Attributes
    ----------
    events
        Time and weight of each, the oldest first.
    """

    events: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0

    def add(self, now: float, weight: float) -> None:
        """Count one event."""
        self.events.append((now, weight))
        self.total += weight

    def drop_until(self, cutoff: float) -> None:
        """Forget what happened up to a time."""
        while self.events and self.events[0][0] <= cutoff:
            self.total -= self.events.popleft()[1]


@dataclass(slots=True)
class RepeatBudget:
    """Requests and repeats in the present window, by service.

    Attributes
    ----------
    nodes
        Tells how many nodes share the fixed number.
    """

    config: RepeatBudgetConfig
    count_nodes: Callable[[], int]
    requests: dict[str, SlidingWindow] = field(default_factory=dict)
    repeats: dict[str, SlidingWindow] = field(default_factory=dict)


def record_request(
    budget: RepeatBudget,
    service: str,
    now: float,
    repeat_probability: float = 0,
) -> None:
    """Count the first sending of a request.

    Parameters
    ----------
    budget
        Of this node.
    service
        That the request goes to.
    now
        Seconds on the node's monotonic clock.
    repeat_share
        How likely the request is a call of a run that was itself a repeat:
        such a call counts as a repeat, too.
    """
    _window_of(budget, budget.requests, service, now).add(now, 1)
    if repeat_probability:
        _window_of(budget, budget.repeats, service, now).add(
            now, repeat_probability
        )


def try_spend_repeat(budget: RepeatBudget, service: str, now: float) -> bool:
    """Spend one repeat if the window has one left."""
    requests = _window_of(budget, budget.requests, service, now).total
    repeats = _window_of(budget, budget.repeats, service, now)
    slack = budget.config.slack / max(1, budget.count_nodes())
    allowed = USED_SHARE * (budget.config.ratio * requests + slack)
    if repeats.total + 1 > allowed:
        return False
    repeats.add(now, 1)
    return True


def _window_of(
    budget: RepeatBudget,
    by_service: dict[str, SlidingWindow],
    service: str,
    now: float,
) -> SlidingWindow:
    window = by_service.setdefault(service, SlidingWindow())
    window.drop_until(now - budget.config.window_s)
    return window
