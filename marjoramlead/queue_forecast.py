"""What a target's queue learns: work by route, load by rank, served shares.

Counts of requests fade with time by themselves, so that no overload outlives
itself; mean work times follow the latest answers. Nothing here does I/O; times
are seconds on the node's monotonic clock.
"""

from dataclasses import dataclass, field
from typing import Final

__all__ = (
    'Forecast',
    'Rank',
    'busy_above',
    'note_asked',
    'note_taken',
    'note_work',
    'served_share',
    'work_of',
)

# Weight of a new observation in the mean work time of a route; about the last
# dozen answers count.
SMOOTHING: Final = 0.15
# Work assumed for a route that was never seen here, as a share of its
# latency objective; replaced by measurements from the first answer on.
FIRST_WORK_SHARE: Final = 0.25
# Counts halve in this time: some tens of answers at an ordinary target.
HALF_LIFE_S: Final = 1.0
# Seconds over which a count that halves so is a sum.
SUM_S: Final = HALF_LIFE_S * 1.4427
# Requests of a route that count as served before any was seen.
PRIOR: Final = 2.0

# Whether the objective can no longer be met, and the priority; less is first.
Rank = tuple[bool, int]


@dataclass(slots=True)
class _Fading:
    """A count that halves again and again."""

    count: float = 0
    at: float = 0

    def read(self, now: float) -> float:
        """Count what is left."""
        return self.count * 0.5 ** ((now - self.at) / HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        """Count something more."""
        self.count = self.read(now) + amount
        self.at = now


@dataclass(slots=True)
class Forecast:
    """What was seen of late at one target.

    Attributes
    ----------
    work
        Mean seconds that an answer takes, by route.
    mean_work
        The same over all routes.
    taken
        Seconds of work that were taken in, by rank.
    asked, served
        Requests that came and that got a slot, by route.
    """

    work: dict[str, float] = field(default_factory=dict)
    mean_work: float = 0
    taken: dict[Rank, _Fading] = field(default_factory=dict)
    asked: dict[str, _Fading] = field(default_factory=dict)
    served: dict[str, _Fading] = field(default_factory=dict)


def note_work(forecast: Forecast, route: str, seconds: float) -> None:
    """Learn from the time that a whole answer took."""
    known = forecast.work.get(route, seconds)
    forecast.work[route] = known + SMOOTHING * (seconds - known)
    if forecast.mean_work:
        forecast.mean_work += SMOOTHING * (seconds - forecast.mean_work)
    else:
        forecast.mean_work = seconds


def work_of(forecast: Forecast, route: str, aim_s: float) -> float:
    """Mean seconds that a request of this route takes here."""
    known = forecast.work.get(route)
    if known is not None:
        return known
    return FIRST_WORK_SHARE * max(0, aim_s)


def note_asked(forecast: Forecast, route: str, now: float) -> None:
    """Count a request that came."""
    forecast.asked.setdefault(route, _Fading()).add(1, now)


def note_taken(
    forecast: Forecast,
    route: str,
    rank: Rank,
    seconds: float,
    now: float,
) -> None:
    """Count a request that got a slot, and the work it brings."""
    forecast.served.setdefault(route, _Fading()).add(1, now)
    forecast.taken.setdefault(rank, _Fading()).add(seconds, now)


def served_share(forecast: Forecast, route: str, now: float) -> float:
    """Share of a route's requests of late that got a slot."""
    asked = forecast.asked.get(route)
    served = forecast.served.get(route)
    came = asked.read(now) if asked else 0
    went = served.read(now) if served else 0
    return (went + PRIOR) / (came + PRIOR)


def busy_above(
    forecast: Forecast,
    rank: Rank,
    slots: int,
    now: float,
) -> float:
    """Share of the slots that work of higher rank has taken of late."""
    taken = sum(
        each.read(now) for key, each in forecast.taken.items() if key < rank
    )
    return taken / SUM_S / max(1, slots)
