"""Findings about a routing table before operators send it.

Nothing here does I/O.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from enum import StrEnum
from typing import Final, NamedTuple

from marjoramlead.client_accounts import AccountTable
from marjoramlead.routes import Route, RoutingTable, ServiceConfig

__all__ = ('Finding', 'FindingKind', 'check_table', 'compare_tables')

# Characters that end a path, or the host name in a Host header.
PATH_ENDS: Final = '?#'
HOST_END: Final = ':'
MAX_HEADER_CHARACTER: Final = '\xff'
NO_ACCOUNTS: Final = AccountTable({}, {})


class FindingKind(StrEnum):
    """What a finding means for operators."""

    ERROR = 'error'
    UNUSED = 'unused'
    CONFLICT = 'conflict'
    CHANGE = 'change'


class Finding(NamedTuple):
    """One finding about a configuration.

    Attributes
    ----------
    where
        The entry, such as ``route shop``.
    text
        What was found, without a final period.
    """

    kind: FindingKind
    where: str
    text: str


def check_table(
    routes: Sequence[Route], table: RoutingTable
) -> Iterator[Finding]:
    """Yield entries that are never used, and limits that contradict.

    Parameters
    ----------
    routes
        All routes of the document; the table lacks those that another one with
        the same host and prefix replaces.
    table
        The decoded document.
    """
    yield from _replaced_routes(routes)
    for route in routes:
        yield from _check_prefix(route)
        yield from _check_services(route, table.services)
        yield from _check_route_limits(route)
    yield from _unused_services(routes, table.services)
    for service in table.services.values():
        yield from _check_warmup(service)
    yield from _check_client_limits(table)
    if table.accounts is not None:
        yield from _check_accounts(table.accounts)


def compare_tables(
    table: RoutingTable, in_force: RoutingTable
) -> Iterator[Finding]:
    """Yield what a table changes, compared with the one in force."""
    if table.version <= in_force.version:
        yield Finding(
            FindingKind.CONFLICT,
            'version',
            f'{table.version} is not above {in_force.version}, which is in '
            'force: nodes ignore it',
        )
    yield from _compare_entries(
        {_route_key(route): route for route in table.routes.values()},
        {_route_key(route): route for route in in_force.routes.values()},
    )
    yield from _compare_entries(
        {f'service {name}': cfg for name, cfg in table.services.items()},
        {f'service {name}': cfg for name, cfg in in_force.services.items()},
    )
    yield from _compare_entries(
        {'limits': table.limits}, {'limits': in_force.limits}
    )
    yield from _compare_accounts(
        table.accounts or NO_ACCOUNTS, in_force.accounts or NO_ACCOUNTS
    )


def _route_key(route: Route) -> str:
    return f'route {route.host}{route.prefix}'


def _replaced_routes(routes: Sequence[Route]) -> Iterator[Finding]:
    last = {(route.host, route.prefix): route for route in routes}
    for route in routes:
        winner = last[route.host, route.prefix]
        if winner is not route:
            yield _unused(
                route,
                f'route {winner.name} has the same host and prefix and '
                'replaces it',
            )


def _check_prefix(route: Route) -> Iterator[Finding]:
    """Find routes that no request can have: see ``routes.find_route``."""
    prefix = route.prefix
    if not (prefix.startswith('/') and prefix.endswith('/')):
        yield _unused(
            route, f'prefix {prefix} does not begin and end with a slash'
        )
    if any(end in prefix for end in PATH_ENDS):
        yield _unused(route, f'no path has one of {PATH_ENDS}: {prefix}')
    if HOST_END in route.host:
        yield _unused(route, f'host {route.host} has a port')
    if max(route.host + prefix) > MAX_HEADER_CHARACTER:
        yield _unused(route, 'host or prefix has characters that no URI has')


def _check_services(
    route: Route, services: Mapping[str, ServiceConfig]
) -> Iterator[Finding]:
    names = Counter(each.service for each in route.weighted_services)
    for name, count in names.items():
        if name not in services:
            yield Finding(
                FindingKind.ERROR,
                _where(route),
                f'service {name} is not defined',
            )
        if count > 1:
            yield _conflict(route, f'service {name} has {count} weights')
    for weighted in route.weighted_services:
        if not weighted.weight:
            yield _unused(route, f'service {weighted.service} has weight 0')
    if not any(each.weight for each in route.weighted_services):
        yield Finding(
            FindingKind.ERROR, _where(route), 'no service has a weight'
        )


def _check_route_limits(route: Route) -> Iterator[Finding]:
    if route.latency_objective > route.timeout:
        yield _conflict(
            route,
            f'latency objective {route.latency_objective} s is beyond the '
            f'timeout of {route.timeout} s',
        )
    if not route.timeout:
        yield _conflict(route, 'timeout 0 s lets no request be answered')


def _unused_services(
    routes: Iterable[Route], services: Mapping[str, ServiceConfig]
) -> Iterator[Finding]:
    used = {
        each.service for route in routes for each in route.weighted_services
    }
    for name in services:
        if name not in used:
            yield Finding(
                FindingKind.UNUSED, f'service {name}', 'no route leads to it'
            )


def _check_warmup(service: ServiceConfig) -> Iterator[Finding]:
    where = f'service {service.name}'
    if service.warmup_s and not service.warmup_requests_per_s:
        yield Finding(
            FindingKind.CONFLICT,
            where,
            f'slow start of {service.warmup_s} s without a rate',
        )
    if service.warmup_requests_per_s and not service.warmup_s:
        yield Finding(
            FindingKind.CONFLICT, where, 'rate of a slow start of 0 s'
        )


def _check_client_limits(table: RoutingTable) -> Iterator[Finding]:
    limits = table.limits
    if limits.header_s > limits.idle_s:
        yield Finding(
            FindingKind.CONFLICT,
            'limits',
            f'a head may take {limits.header_s} s, an idle connection is '
            f'closed after {limits.idle_s} s',
        )


def _check_accounts(accounts: AccountTable) -> Iterator[Finding]:
    with_keys = {account.name for account in accounts.by_digest.values()}
    for account in accounts.by_name.values():
        where = f'account {account.name}'
        if account.name not in with_keys:
            yield Finding(FindingKind.UNUSED, where, 'it has no API key')
        if account.burst and not account.rate_per_s:
            yield Finding(
                FindingKind.CONFLICT,
                where,
                f'burst {account.burst:g} without a rate is no limit',
            )


def _compare_accounts(
    new: AccountTable, old: AccountTable
) -> Iterator[Finding]:
    """Yield changes of accounts; keys are counted, never shown."""
    yield from _compare_entries(
        {f'account {name}': each for name, each in new.by_name.items()},
        {f'account {name}': each for name, each in old.by_name.items()},
    )
    added = _key_owners(new) - _key_owners(old)
    removed = _key_owners(old) - _key_owners(new)
    for changed, verb in ((added, 'added'), (removed, 'removed')):
        counts = Counter(name for name, _digest in changed)
        for name, count in sorted(counts.items()):
            yield Finding(
                FindingKind.CHANGE, f'account {name}', f'{count} keys {verb}'
            )


def _key_owners(accounts: AccountTable) -> set[tuple[str, bytes]]:
    return {
        (account.name, digest) for digest, account in accounts.by_digest.items()
    }


def _compare_entries(
    new: Mapping[str, NamedTuple], old: Mapping[str, NamedTuple]
) -> Iterator[Finding]:
    for key in sorted(new.keys() - old.keys()):
        yield Finding(FindingKind.CHANGE, key, 'is added')
    for key in sorted(old.keys() - new.keys()):
        yield Finding(FindingKind.CHANGE, key, 'is removed')
    for key in sorted(new.keys() & old.keys()):
        before, after = old[key]._asdict(), new[key]._asdict()
        for name, value in after.items():
            if before[name] != value:
                yield Finding(
                    FindingKind.CHANGE,
                    key,
                    f'{name}: {_format(before[name])} -> {_format(value)}',
                )


def _format(field: object) -> str:
    """Format the value of a field; weighted services as ``NAME*WEIGHT``."""
    if isinstance(field, tuple):
        return ', '.join(f'{each[0]}*{each[1]:g}' for each in field)
    return str(field)


def _where(route: Route) -> str:
    return f'route {route.name}'


def _unused(route: Route, text: str) -> Finding:
    return Finding(FindingKind.UNUSED, _where(route), text)


def _conflict(route: Route, text: str) -> Finding:
    return Finding(FindingKind.CONFLICT, _where(route), text)
