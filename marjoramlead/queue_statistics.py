"""Statistics of a target's queue: service times, load and served shares.

Counts decay with time, so that the effects of an overload end with it. Mean
service times are moving averages over the latest answers.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from dataclasses import dataclass, field
from typing import Final, NamedTuple

from marjoramlead.target_pace import Pace

__all__ = (
    'HALF_LIFE_S',
    'TIME_CONSTANT_S',
    'DecayingCount',
    'QueueStatistics',
    'Rank',
    'cancel_start',
    'estimate_service_time',
    'recent_served_share',
    'record_arrival',
    'record_service_time',
    'record_start',
    'utilisation_ahead_of',
)

# Weight of a new observation in the moving averages of service times, which
# reflect about the last dozen answers.
SMOOTHING: Final = 0.15
# Service time assumed for a route until its first answer, as a share of its
# latency objective.
INITIAL_SERVICE_TIME_SHARE: Final = 0.25
# Half-life of the counts; a typical target answers tens of requests in it.
HALF_LIFE_S: Final = 1.0
# The half-life divided by ln 2. A decayed count divided by this time is a rate
# per second.
TIME_CONSTANT_S: Final = HALF_LIFE_S * 1.4427
# Added to both the arrivals and the starts of a route, so that a route with few
# requests has a served share near 1.
PRIOR_REQUESTS: Final = 2.0


class Rank(NamedTuple):
    """Place of a request in the order of a queue; lower ranks go first.

    Attributes
    ----------
    is_late
        Whether the latency objective can no longer be met.
    priority
        Resolved priority of the request (``request_priority``).
    is_client
        Whether a client sent the request. The call of a running request goes
        first: if it is refused, the work of that request is lost as well.
    """

    is_late: bool
    priority: int
    is_client: bool


@dataclass(slots=True)
class DecayingCount:
    """A count that decays exponentially."""

    count: float = 0
    updated_at: float = 0

    def value_at(self, now: float) -> float:
        """Return the count after decay up to now."""
        return self.count * 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the current time."""
        self.count = self.value_at(now) + amount
        self.updated_at = now


@dataclass(slots=True)
class QueueStatistics:
    """Recent observations at one target.

    Attributes
    ----------
    service_times
        Mean service time in seconds, by route.
    mean_service_time
        Mean service time in seconds over all routes.
    client_service_time
        Mean expected service time in seconds of the clients' requests that were
        started; 0 before the first.
    arrived_work, started_work
        Decayed sums of the expected service times, in seconds, of requests
        that arrived and that started, by rank.
    arrivals, starts
        Decayed counts of requests that arrived and that started, by route.
    pace
        Pace of the target's machine. Service times are those at the usual pace.
    """

    service_times: dict[str, float] = field(default_factory=dict)
    mean_service_time: float = 0
    client_service_time: float = 0
    arrived_work: dict[Rank, DecayingCount] = field(default_factory=dict)
    started_work: dict[Rank, DecayingCount] = field(default_factory=dict)
    arrivals: dict[str, DecayingCount] = field(default_factory=dict)
    starts: dict[str, DecayingCount] = field(default_factory=dict)
    pace: Pace = field(default_factory=Pace)


def record_service_time(
    statistics: QueueStatistics, route: str, seconds: float
) -> None:
    """Update the mean service times after a complete answer.

    Parameters
    ----------
    statistics
        Statistics of the target.
    route
        Route of the request.
    seconds
        Its service time at the usual pace.
    """
    previous = statistics.service_times.get(route, seconds)
    statistics.service_times[route] = previous + SMOOTHING * (
        seconds - previous
    )
    if statistics.mean_service_time:
        statistics.mean_service_time += SMOOTHING * (
            seconds - statistics.mean_service_time
        )
    else:
        statistics.mean_service_time = seconds


def estimate_service_time(
    statistics: QueueStatistics, route: str, objective_left: float
) -> float:
    """Return the mean service time of a route in seconds.

    Before the route's first answer, it is assumed to be a share of the time
    left until the latency objective.
    """
    mean = statistics.service_times.get(route)
    if mean is not None:
        return mean
    return INITIAL_SERVICE_TIME_SHARE * max(0, objective_left)


def record_arrival(
    statistics: QueueStatistics,
    route: str,
    rank: Rank,
    service_time: float,
    now: float,
) -> None:
    """Count an arrived request and add its expected service time."""
    statistics.arrivals.setdefault(route, DecayingCount()).add(1, now)
    statistics.arrived_work.setdefault(rank, DecayingCount()).add(
        service_time, now
    )


def record_start(
    statistics: QueueStatistics,
    route: str,
    rank: Rank,
    service_time: float,
    now: float,
) -> None:
    """Count a started request and add its expected service time."""
    if rank.is_client:
        mean = statistics.client_service_time or service_time
        statistics.client_service_time = mean + SMOOTHING * (
            service_time - mean
        )
    statistics.starts.setdefault(route, DecayingCount()).add(1, now)
    statistics.started_work.setdefault(rank, DecayingCount()).add(
        service_time, now
    )


def cancel_start(
    statistics: QueueStatistics,
    route: str,
    rank: Rank,
    service_time: float,
    now: float,
) -> None:
    """Undo the record of a start, because the request has yet to start."""
    statistics.starts.setdefault(route, DecayingCount()).add(-1, now)
    statistics.started_work.setdefault(rank, DecayingCount()).add(
        -service_time, now
    )


def recent_served_share(
    statistics: QueueStatistics, route: str, now: float
) -> float:
    """Return the share of a route's recent requests that were started."""
    arrivals = statistics.arrivals.get(route)
    starts = statistics.starts.get(route)
    arrival_count = arrivals.value_at(now) if arrivals else 0
    start_count = starts.value_at(now) if starts else 0
    return (start_count + PRIOR_REQUESTS) / (arrival_count + PRIOR_REQUESTS)


def utilisation_ahead_of(
    statistics: QueueStatistics,
    rank: Rank,
    slots: int,
    now: float,
) -> float:
    """Return the recent share of the slots used by requests ahead of a rank.

    Requests of lower ranks are ahead, since they are served first. Late
    requests leave the slots to those in time, also to those that are refused:
    a target that serves late requests has no slot for new ones, which then
    return late themselves.
    """
    work = statistics.arrived_work if rank.is_late else statistics.started_work
    work_ahead = sum(
        each.value_at(now) for key, each in work.items() if key < rank
    )
    return work_ahead / TIME_CONSTANT_S / max(1, slots)
