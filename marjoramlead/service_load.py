"""Whether the targets of a route have lately refused most of its requests.

A sender offers a request to several targets before it refuses it. While a
service is overloaded, most of these offers are refused as well, and they take
more processor time than the requests that are served. The sender therefore
makes fewer offers once it has seen that requests of a route are refused, and
refuses requests without an offer if most would be refused anyway. Some are
always offered, by which it learns at once when there is room again.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from dataclasses import dataclass, field
from typing import Final

from marjoramlead.queue_statistics import DecayingCount

__all__ = (
    'RouteLoad',
    'ServiceLoad',
    'is_overloaded',
    'record_dispatch',
    'refuse_in_advance',
)

# A service is overloaded for a route if it refuses more than this share.
OVERLOAD_SHARE: Final = 0.1
# Added to the count of requests, so that one refusal after a calm stretch is
# not taken for an overload.
PRIOR_REQUESTS: Final = 5.0
# Requests of which the sender has not heard that any is served are offered to
# the service at this rate.
MIN_OFFERS_PER_S: Final = 2.0


@dataclass(slots=True)
class RouteLoad:
    """Recent requests of one route.

    Attributes
    ----------
    requests, refused
        Decayed counts of all requests, and of those refused for overload.
    excess
        Sum of the shares of requests that are too many, less the number of
        those refused in advance.
    offer_at
        Time from which the next request is offered in any case.
    """

    requests: DecayingCount = field(default_factory=DecayingCount)
    refused: DecayingCount = field(default_factory=DecayingCount)
    excess: float = 0
    offer_at: float = 0


@dataclass(slots=True)
class ServiceLoad:
    """Recent requests of this node's clients, by route."""

    by_route: dict[str, RouteLoad] = field(default_factory=dict)


def record_dispatch(
    service_load: ServiceLoad, route: str, now: float, *, is_refused: bool
) -> None:
    """Count a request and whether the service refused it for overload."""
    load = service_load.by_route.setdefault(route, RouteLoad())
    load.requests.add(1, now)
    if is_refused:
        load.refused.add(1, now)
    else:
        load.excess = 0


def is_overloaded(service_load: ServiceLoad, route: str, now: float) -> bool:
    """Return whether the service has lately refused requests of a route."""
    load = service_load.by_route.get(route)
    if load is None:
        return False
    refused = load.refused.value_at(now)
    requests = load.requests.value_at(now)
    return refused > OVERLOAD_SHARE * (requests + PRIOR_REQUESTS)


def refuse_in_advance(
    service_load: ServiceLoad, route: str, now: float, headroom: float
) -> bool:
    """Return whether a request is to be refused without an offer.

    Requests are offered at ``headroom`` times the rate at which requests of the
    route are served. The first ones, one each half second, and the next one
    after each that was served are offered in any case, so that room that
    returns is found within a second.

    Parameters
    ----------
    service_load
        Recent requests.
    route
        Route and priority of the request, as they were recorded.
    now
        The time.
    headroom
        Offers for each request that is served; more than 1.
    """
    load = service_load.by_route.get(route)
    if load is None:
        return False
    requests = load.requests.value_at(now)
    served = requests - load.refused.value_at(now)
    share = (requests - headroom * served) / (requests + PRIOR_REQUESTS)
    load.excess = min(2, load.excess + share) if share > 0 else 0
    if load.excess < 1 or now >= load.offer_at:
        load.offer_at = now + 1 / MIN_OFFERS_PER_S
        return False
    load.excess -= 1
    return True
