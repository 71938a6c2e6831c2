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

# Part of what is granted that is used. Calls that a repeated run makes count as
# repeats at the service that they go to, so each level of calls adds as much
# again; this covers two levels.
USED_SHARE: Final = 0.4


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
class RepeatBudget:
    """Requests and repeats of one service in the present window.

    Attributes
    ----------
    nodes
        Tells how many nodes share the fixed number.
    requests, repeats
        Times of each, the oldest first.
    """

    terms: BudgetTerms
    nodes: Callable[[], int]
    requests: dict[str, deque[float]] = field(default_factory=dict)
    repeats: dict[str, deque[float]] = field(default_factory=dict)


def note_request(budget: RepeatBudget, service: str, now: float) -> None:
    """Count the first sending of a client's request."""
    _recent(budget, budget.requests, service, now).append(now)


def take_repeat(budget: RepeatBudget, service: str, now: float) -> bool:
    """Spend one repeat if the window has one left."""
    requests = len(_recent(budget, budget.requests, service, now))
    repeats = _recent(budget, budget.repeats, service, now)
    slack = budget.terms.slack / max(1, budget.nodes())
    granted = USED_SHARE * (budget.terms.ratio * requests + slack)
    if len(repeats) + 1 > granted:
        return False
    repeats.append(now)
    return True


def _recent(
    budget: RepeatBudget,
    by_service: dict[str, deque[float]],
    service: str,
    now: float,
) -> deque[float]:
    times = by_service.setdefault(service, deque())
    while times and times[0] <= now - budget.terms.window_s:
        times.popleft()
    return times
