"""The routing table: which requests reach which service, on what terms."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Literal, NamedTuple

__all__ = (
    'ClientLimits',
    'RepeatPolicy',
    'RoundRobinState',
    'Route',
    'RoutingTable',
    'ServiceConfig',
    'WeightedService',
    'choose_service',
    'find_route',
)

RepeatPolicy = Literal['idempotent', 'at_most_once', 'upload']


class WeightedService(NamedTuple):
    """One service of a route, with its share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests of one host name below one path prefix.

    Attributes
    ----------
    timeout
        Seconds that a request may be kept waiting.
    aim
        Seconds within which an answer is worth all that it can be.
    attempts
        Targets that may run one request at most.
    priority
        Rank under load; 0 goes first.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    weighted_services: tuple[WeightedService, ...]
    timeout: float
    latency_objective: float
    attempts: int
    priority: int


class ServiceConfig(NamedTuple):
    """What each target of a service may bear.

    Attributes
    ----------
    health_path
        Path that probes ask for.
    cold_s
        Seconds for which a target that has started is cold.
    cold_per_s
        Requests a second that a cold target bears.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_requests_per_s: float


class ClientLimits(NamedTuple):
    """What a client may send: bytes, and seconds for it."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_s: float = 3.0
    idle_s: float = 15.0


class RoutingTable(NamedTuple):
    """One accepted version of the routing, never changed.

    Attributes
    ----------
    routes
        By host name and prefix.
    """

    version: int
    routes: Mapping[tuple[str, str], Route]
    services: Mapping[str, ServiceConfig]
    limits: ClientLimits


def find_route(table: RoutingTable, host: str, path: str) -> Route | None:
    """Find the route with the longest prefix that begins the path.

    Prefixes begin and end with a slash, so only the cuts of the path at its
    slashes are looked up.
    """
    end = path.rfind('/')
    while end >= 0:
        route = table.routes.get((host, path[: end + 1]))
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None


@dataclass(slots=True)
class RoundRobinState:
    """Where each route with several services stands.

    Attributes
    ----------
    credits
        By the route's parts: what each part is owed so far, as a share.
    """

    rng: Random
    credits: dict[tuple[WeightedService, ...], list[float]] = field(
        default_factory=dict
    )


def choose_service(state: RoundRobinState, route: Route) -> str:
    """Choose the service of a request by smooth weighted round robin.

    The split is even over few requests, not just on average. Each node
    starts at a random point, so that nodes do not move in step.
    """
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    total = sum(part.weight for part in route.weighted_services)
    owed = state.credits.get(route.weighted_services)
    if owed is None:
        owed = [state.rng.random() * total for _part in route.weighted_services]
        state.credits[route.weighted_services] = owed
    for index, part in enumerate(route.weighted_services):
        owed[index] += part.weight
    chosen = max(range(len(owed)), key=owed.__getitem__)
    owed[chosen] -= total
    return route.weighted_services[chosen].service
