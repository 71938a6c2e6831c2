"""The priority of a request, by which the queues of targets order it.

It is resolved once, at the node where the request enters, and travels with the
request and with the calls that it makes. This module does no I/O.
"""

from typing import Final

__all__ = ('DEFAULT_ACCOUNT_PRIORITY', 'resolve_priority')

# Priorities of routes are compared only within one priority of client accounts.
ROUTE_PRIORITIES: Final = 1000
# Where there are accounts: priority of those that have none, and of requests of
# no account.
DEFAULT_ACCOUNT_PRIORITY: Final = 1


def resolve_priority(
    route_priority: int,
    *,
    account_priority: int | None = None,
) -> int:
    """Return the priority of a client's request; the lowest is served first.

    Parameters
    ----------
    route_priority
        Priority of the route.
    account_priority
        Priority of the client account, which goes before the route's; None if
        there are no accounts.
    """
    if account_priority is None:
        return route_priority
    bounded = max(0, min(route_priority, ROUTE_PRIORITIES - 1))
    return account_priority * ROUTE_PRIORITIES + bounded
