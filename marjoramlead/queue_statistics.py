"""What a target's queue learns: work by route, load by rank, served shares.

Counts of requests fade with time by themselves, so that no overload outlives
itself; mean work times follow the latest answers. Nothing here does I/O; times
are seconds on the node's monotonic clock.
"""

from dataclasses import dataclass, field
from typing import Final

__all__ = (
    'QueueStatistics',
    'Rank',
    'estimate_service_time',
    'recent_served_share',
    'record_arrival',
    'record_service_time',
    'record_start',
    'utilisation_above',
)

# Weight of a new observation in the mean work time of a route; about the last
# dozen answers count.
SMOOTHING: Final = 0.15
# Work assumed for a route that was never seen here, as a share of its
# latency objective; replaced by measurements from the first answer on.
INITIAL_SERVICE_TIME_SHARE: Final = 0.25
# Counts halve in this time: some tens of answers at an ordinary target.
HALF_LIFE_S: Final = 1.0
# Seconds over which a count that halves so is a sum.
TIME_CONSTANT_S: Final = HALF_LIFE_S * 1.4427
# Requests of a route that count as served before any was seen.
PRIOR_REQUESTS: Final = 2.0

# Whether the objective can no longer be met, and the priority; less is first.
Rank = tuple[bool, int]


@dataclass(slots=True)
class _DecayingCount:
    """A count that halves again and again."""

    count: float = 0
    updated_at: float = 0

    def value_at(self, now: float) -> float:
        """Count what is left."""
        return self.count * 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        """Count something more."""
        self.count = self.value_at(now) + amount
        self.updated_at = now


@dataclass(slots=True)
class QueueStatistics:
    """What was seen of late at one target.

    Attributes
    ----------
    service_times
        Mean seconds that an answer takes, by route.
    mean_service_time
        The same over all routes.
    started_work
        Seconds of work that were taken in, by rank.
    arrivals, starts
        Requests that came and that got a slot, by route.
    """

    service_times: dict[str, float] = field(default_factory=dict)
    mean_service_time: float = 0
    started_work: dict[Rank, _DecayingCount] = field(default_factory=dict)
    arrivals: dict[str, _DecayingCount] = field(default_factory=dict)
    starts: dict[str, _DecayingCount] = field(default_factory=dict)


def record_service_time(
    statistics: QueueStatistics, route: str, seconds: float
) -> None:
    """Learn from the time that a whole answer took."""
    known = statistics.service_times.get(route, seconds)
    statistics.service_times[route] = known + SMOOTHING * (seconds - known)
    if statistics.mean_service_time:
        statistics.mean_service_time += SMOOTHING * (
            seconds - statistics.mean_service_time
        )
    else:
        statistics.mean_service_time = seconds


def estimate_service_time(
    statistics: QueueStatistics, route: str, objective_s: float
) -> float:
    """Mean seconds that a request of this route takes here."""
    known = statistics.service_times.get(route)
    if known is not None:
        return known
    return INITIAL_SERVICE_TIME_SHARE * max(0, objective_s)


def record_arrival(statistics: QueueStatistics, route: str, now: float) -> None:
    """Count a request that came."""
    statistics.arrivals.setdefault(route, _DecayingCount()).add(1, now)


def record_start(
    statistics: QueueStatistics,
    route: str,
    rank: Rank,
    seconds: float,
    now: float,
) -> None:
    """Count a request that got a slot, and the work it brings."""
    statistics.starts.setdefault(route, _DecayingCount()).add(1, now)
    statistics.started_work.setdefault(rank, _DecayingCount()).add(seconds, now)


def recent_served_share(
    statistics: QueueStatistics, route: str, now: float
) -> float:
    """Share of a route's requests of late that got a slot."""
    arrivals = statistics.arrivals.get(route)
    starts = statistics.starts.get(route)
    arrival_count = arrivals.value_at(now) if arrivals else 0
    start_count = starts.value_at(now) if starts else 0
    return (start_count + PRIOR_REQUESTS) / (arrival_count + PRIOR_REQUESTS)


def utilisation_above(
    statistics: QueueStatistics,
    rank: Rank,
    slots: int,
    now: float,
) -> float:
    """Share of the slots that work of higher rank has taken of late."""
    started_work = sum(
        each.value_at(now)
        for key, each in statistics.started_work.items()
        if key < rank
    )
    return started_work / TIME_CONSTANT_S / max(1, slots)
