"""Retry budget: limits the retries of requests that have reached a target.

In any window of time, the retries of all nodes together are limited to a
fraction of the clients' requests plus a fixed number. The nodes don't
coordinate: each node may retry at most that fraction of its own clients'
requests, plus an equal part of the fixed number. A retry of a request that no
target has received yet is not counted.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

__all__ = (
    'MeshRetryBudget',
    'MeshRetryBudgetConfig',
    'record_request',
    'try_spend_retry',
)

# Fraction of the budget that a node uses. When a request is retried, its target
# makes its own calls again, and these are not refused. The retries of a caller
# and of the services that it calls must fit the budget together, so each uses
# less than half; the remainder allows for windows that differ from node to
# node.
USED_SHARE: Final = 0.45


@dataclass(frozen=True, slots=True)
class MeshRetryBudgetConfig:
    """Limits on the retries of all nodes together.

    Attributes
    ----------
    ratio
        Retries allowed per client request.
    slack
        Further retries allowed in each window, for all nodes together.
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
class MeshRetryBudget:
    """Requests and retries of this node in the current window.

    Attributes
    ----------
    config
        Limits for all nodes together.
    count_nodes
        Returns the number of nodes that share the slack.
    requests
        Windows of requests, by service.
    retries
        Windows of retries, by service.
    """

    config: MeshRetryBudgetConfig
    count_nodes: Callable[[], int]
    requests: dict[str, SlidingWindow] = field(default_factory=dict)
    retries: dict[str, SlidingWindow] = field(default_factory=dict)


def record_request(
    budget: MeshRetryBudget,
    service: str,
    now: float,
    retry_probability: float = 0,
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
    retry_probability
        Probability that a target made the request while it ran a retry. The
        request counts as a retry with this weight.
    """
    _window_of(budget, budget.requests, service, now).add(now, 1)
    if retry_probability:
        _window_of(budget, budget.retries, service, now).add(
            now, retry_probability
        )


def try_spend_retry(budget: MeshRetryBudget, service: str, now: float) -> bool:
    """Spend one retry from the budget; return False if none is left."""
    requests = _window_of(budget, budget.requests, service, now).total
    retries = _window_of(budget, budget.retries, service, now)
    slack = budget.config.slack / max(1, budget.count_nodes())
    allowed = USED_SHARE * (budget.config.ratio * requests + slack)
    if retries.total + 1 > allowed:
        return False
    retries.add(now, 1)
    return True


def _window_of(
    budget: MeshRetryBudget,
    by_service: dict[str, SlidingWindow],
    service: str,
    now: float,
) -> SlidingWindow:
    window = by_service.setdefault(service, SlidingWindow())
    window.drop_until(now - budget.config.window_s)
    return window
