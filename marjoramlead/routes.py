"""The routing table: maps requests to services, with the limits of each.

A route is chosen by host name and path prefix. A route with several services
divides its requests among them by weight.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Literal, NamedTuple

from marjoramlead.client_accounts import AccountTable

__all__ = (
    'ClientLimits',
    'RetryPolicy',
    'RoundRobinState',
    'Route',
    'RoutingTable',
    'ServiceConfig',
    'WeightedService',
    'choose_service',
    'find_request_route',
    'find_route',
)

RetryPolicy = Literal['idempotent', 'at_most_once', 'upload']


class WeightedService(NamedTuple):
    """A service of a route, with its weight in the traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """How to treat requests to one host name under one path prefix.

    Attributes
    ----------
    retry_policy
        Whether a request may be sent again after it may have run.
    timeout
        Seconds within which a request must be answered; the client may set a
        shorter time for its request.
    latency_objective
        Seconds within which the client wants its answer. The queue of a
        target first serves the requests that can still meet it.
    attempts
        Maximum number of targets that may run one request.
    priority
        Priority under load; 0 is the highest.
    is_open
        Whether requests need no API key, where there are client accounts.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    weighted_services: tuple[WeightedService, ...]
    timeout: float
    latency_objective: float
    attempts: int
    priority: int
    is_open: bool = False


class ServiceConfig(NamedTuple):
    """Limits that apply to each target of a service.

    Attributes
    ----------
    health_path
        Path that health probes request.
    max_connections
        Maximum number of connections to a target.
    warmup_s
        Duration of the slow start, in seconds: a target is cold for this
        long after its start.
    warmup_requests_per_s
        Maximum number of requests started per second on a cold target.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_requests_per_s: float


class ClientLimits(NamedTuple):
    """Limits on the size and the duration of a client's request.

    Attributes
    ----------
    header_bytes
        Maximum size of a request's head.
    body_bytes
        Maximum size of a request's body.
    header_s
        Seconds within which a request's head must arrive.
    idle_s
        Seconds after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_s: float = 3.0
    idle_s: float = 15.0


class RoutingTable(NamedTuple):
    """An accepted version of the routing configuration; immutable.

    Attributes
    ----------
    routes
        Routes by host name and path prefix.
    services
        Limits of each service's targets, by service name.
    limits
        Limits on clients' requests.
    max_prefix
        Length of the longest path prefix of a route.
    accounts
        Client accounts; None if requests need no API key.
    """

    version: int
    routes: Mapping[tuple[str, str], Route]
    services: Mapping[str, ServiceConfig]
    limits: ClientLimits
    max_prefix: int
    accounts: AccountTable | None = None


def find_route(table: RoutingTable, host: str, path: str) -> Route | None:
    """Find the route with the longest prefix of the path.

    Prefixes begin and end with a slash, so it is enough to look up each part
    of the path that ends with a slash, from the longest to the shortest.
    """
    end = path.rfind('/', 0, table.max_prefix)
    while end >= 0:
        route = table.routes.get((host, path[: end + 1]))
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None


def find_request_route(
    table: RoutingTable, host_header: str, uri: bytes
) -> Route | None:
    """Find the route of a request by its Host header and its URI."""
    host = host_header.partition(':')[0]
    path = uri.decode('latin-1').partition('?')[0]
    return find_route(table, host, path)


@dataclass(slots=True)
class RoundRobinState:
    """State of the weighted round robin of each route with several services.

    Attributes
    ----------
    credits
        Credit of each service of a route, by the route's weighted services.
        For each request, the credit of every service grows by its weight; the
        service with the highest credit is chosen, and its credit falls by the
        total weight.
    """

    rng: Random
    credits: dict[tuple[WeightedService, ...], list[float]] = field(
        default_factory=dict
    )


def choose_service(state: RoundRobinState, route: Route) -> str:
    """Choose the service of a request by smooth weighted round robin.

    The shares stay close to the weights even over a few requests. Each node
    starts from random credits, so that the nodes don't all choose the same
    service at the same time.
    """
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    total = sum(weighted.weight for weighted in route.weighted_services)
    route_credits = state.credits.get(route.weighted_services)
    if route_credits is None:
        route_credits = [
            state.rng.random() * total for _weighted in route.weighted_services
        ]
        state.credits[route.weighted_services] = route_credits
    for index, weighted in enumerate(route.weighted_services):
        route_credits[index] += weighted.weight
    chosen = max(range(len(route_credits)), key=route_credits.__getitem__)
    route_credits[chosen] -= total
    return route.weighted_services[chosen].service
