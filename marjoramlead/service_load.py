"""Whether the targets of a route have lately refused most of its requests.

A sender offers a request to several targets before it refuses it. While a
service is overloaded, most of these offers are refused as well, and they take
more processor time than the requests that are served. The sender therefore
makes fewer offers once it has seen that requests of a route are refused.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from dataclasses import dataclass, field
from typing import Final

from marjoramlead.queue_statistics import DecayingCount

__all__ = ('RouteLoad', 'ServiceLoad', 'is_overloaded', 'record_dispatch')

# A service is overloaded for a route if it refuses more than this share.
OVERLOAD_SHARE: Final = 0.1
# Added to the count of requests, so that one refusal after a calm stretch is
# not taken for an overload.
PRIOR_REQUESTS: Final = 5.0


@dataclass(slots=True)
class RouteLoad:
    """Recent requests of one route.

    Attributes
    ----------
    requests, refused
        Decayed counts of all requests, and of those refused for overload.
    """

    requests: DecayingCount = field(default_factory=DecayingCount)
    refused: DecayingCount = field(default_factory=DecayingCount)


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


def is_overloaded(service_load: ServiceLoad, route: str, now: float) -> bool:
    """Return whether the service has lately refused requests of a route."""
    load = service_load.by_route.get(route)
    if load is None:
        return False
    refused = load.refused.value_at(now)
    requests = load.requests.value_at(now)
    return refused > OVERLOAD_SHARE * (requests + PRIOR_REQUESTS)
