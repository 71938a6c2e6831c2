"""Retry budget: limits the requests that a node sends to a target again.

A repeat is a retry of a request that has already reached a target. In any
window of time, the repeats of all nodes together are limited to a fraction of
the clients' requests plus a fixed number. The nodes don't coordinate: each
node may repeat that fraction of its own clients' requests, plus an equal part
of the fixed number.
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

# Fraction of the budget that a node uses. When a request runs again, its
# target makes its own calls again, and these are not refused. The repeats of
# a caller and of the services that it calls must fit the budget together, so
# each uses less than half; the remainder allows for windows that differ from
# node to node.
USED_SHARE: Final = 0.45


@dataclass(frozen=True, slots=True)
class RepeatBudgetConfig:
    """Limits on the repeats of all nodes together.

    Attributes
    ----------
    ratio
        Repeats allowed per client request.
    slack
        Repeats allowed in each window in addition, for all nodes together.
    window_s
        Length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class SlidingWindow:
    """Weighted events of a recent period.

    Attributes
    ----------
    events
        Time and weight of each event, the oldest first.
    total
        Sum of the weights.
    """

    events: deque[tuple[float, float]] = field(default_factory=deque)
    total: float = 0

    def add(self, now: float, weight: float) -> None:
        """Add an event."""
        self.events.append((now, weight))
        self.total += weight

    def drop_until(self, cutoff: float) -> None:
        """Drop the events up to and including a time."""
        while self.events and self.events[0][0] <= cutoff:
            self.total -= self.events.popleft()[1]


@dataclass(slots=True)
class RepeatBudget:
    """Requests and repeats of this node in the current window.

    Attributes
    ----------
    config
        Limits for all nodes together.
    count_nodes
        Returns the number of nodes that share the slack.
    requests
        Windows of requests, by service.
    repeats
        Windows of repeats, by service.
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
    """Count a new request, which adds to the budget.

    Parameters
    ----------
    budget
        Budget of this node.
    service
        Service that the request is sent to.
    now
        Current time on the node's monotonic clock.
    repeat_probability
        Probability that the request was made by a repeat of another request;
        the request counts as a repeat with this weight.
    """
    _window_of(budget, budget.requests, service, now).add(now, 1)
    if repeat_probability:
        _window_of(budget, budget.repeats, service, now).add(
            now, repeat_probability
        )


def try_spend_repeat(budget: RepeatBudget, service: str, now: float) -> bool:
    """Take one repeat from the budget; return False if none is left."""
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
