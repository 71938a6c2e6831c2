"""How many requests this node may send to a second target.

All nodes together may add a share of the clients' requests, and a fixed
number, in any window. Nodes do not talk about it: each has the share of what
its own clients asked, and its part of the fixed number.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

__all__ = ('BudgetTerms', 'RepeatBudget', 'note_request', 'take_repeat')

# Part of what is granted that is used. A repeated run makes its calls again,
# which nothing refuses: the repeats of a caller and those of what it calls
# together must fit, so each has less than half; the rest is for windows that
# do not match from node to node.
USED_SHARE: Final = 0.45


@dataclass(frozen=True, slots=True)
class BudgetTerms:
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
class Window:
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

    def drop(self, until: float) -> None:
        """Forget what happened up to a time."""
        while self.events and self.events[0][0] <= until:
            self.total -= self.events.popleft()[1]


@dataclass(slots=True)
class RepeatBudget:
    """Requests and repeats in the present window, by service.

    Attributes
    ----------
    nodes
        Tells how many nodes share the fixed number.
    """

    terms: BudgetTerms
    nodes: Callable[[], int]
    requests: dict[str, Window] = field(default_factory=dict)
    repeats: dict[str, Window] = field(default_factory=dict)


def note_request(
    budget: RepeatBudget,
    service: str,
    now: float,
    repeat_share: float = 0,
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
    _recent(budget, budget.requests, service, now).add(now, 1)
    if repeat_share:
        _recent(budget, budget.repeats, service, now).add(now, repeat_share)


def take_repeat(budget: RepeatBudget, service: str, now: float) -> bool:
    """Spend one repeat if the window has one left."""
    requests = _recent(budget, budget.requests, service, now).total
    repeats = _recent(budget, budget.repeats, service, now)
    slack = budget.terms.slack / max(1, budget.nodes())
    granted = USED_SHARE * (budget.terms.ratio * requests + slack)
    if repeats.total + 1 > granted:
        return False
    repeats.add(now, 1)
    return True


def _recent(
    budget: RepeatBudget,
    by_service: dict[str, Window],
    service: str,
    now: float,
) -> Window:
    window = by_service.setdefault(service, Window())
    window.drop(now - budget.terms.window_s)
    return window
