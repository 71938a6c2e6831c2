"""Service times of routes that a target has not reported yet, from its speed.

The targets of a service differ in speed. A target that is fast for some routes
is taken to be as fast for the others, compared with what all targets need.

This module does no I/O.
"""

from collections.abc import Mapping, MutableMapping
from statistics import fmean
from typing import Final

__all__ = ('expected_work_s', 'record_typical')

# Weight of the latest report in the typical service times.
SMOOTHING: Final = 0.1


def record_typical(
    typical: MutableMapping[str, float], route: str, work_s: float
) -> None:
    """Add a reported service time to the mean over all targets of a route."""
    mean = typical.get(route, work_s)
    typical[route] = mean + SMOOTHING * (work_s - mean)


def expected_work_s(
    service_times: Mapping[str, float], typical: Mapping[str, float], route: str
) -> float:
    """Return the service time in seconds of a route at one target.

    Parameters
    ----------
    service_times
        Service times that the target has reported, by route.
    typical
        Mean service times over all targets, by route.
    route
        Route of the request.

    Returns
    -------
    The reported time, else that of a target of its speed, or 0 if its speed or
    the route is not known, so that it gets a request.
    """
    known = service_times.get(route)
    if known is not None:
        return known
    usual = typical.get(route)
    if usual is None:
        return 0
    ratios = [
        work_s / typical[each]
        for each, work_s in service_times.items()
        if typical.get(each)
    ]
    return usual * fmean(ratios) if ratios else 0
