"""Whether the answer to a request would leave the host's link in time.

The sizes of a route's answers are learned as a mean with its error. The link
carries first what is being sent, and the answers of the requests ahead. A
request whose answer cannot leave the link in time is refused before it runs;
requests of routes with short answers are not concerned.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from dataclasses import dataclass, field
from math import sqrt
from typing import Final

from marjoramlead.link_schedule import (
    SHORT_ANSWER_BYTES,
    LinkSchedule,
    backlog_s,
    transfer_s,
)

__all__ = (
    'AnswerSize',
    'LinkLoad',
    'answer_transfer_s',
    'expect_answer',
    'is_link_in_time',
    'link_wait_s',
    'next_return',
    'record_answer_size',
)

# Weight of a new answer in the mean sizes; they reflect about a dozen answers.
SMOOTHING: Final = 0.15
# An answer must be expected to leave the link within this share of the time
# that is left, and for an answer with a deadline only, also if it is longer
# than the mean by its standard deviation.
OBJECTIVE_SHARE: Final = 0.9
DEADLINE_SHARE: Final = 0.8
# Share of the link for refused clients that return when they were told to.
RESERVED_SHARE: Final = 0.2
MAX_RETRY_AFTER_S: Final = 2.0


@dataclass(slots=True)
class AnswerSize:
    """Moving average and variance of the bytes of a route's answers."""

    mean: float
    variance: float = 0


@dataclass(slots=True)
class LinkLoad:
    """What the link of a host has to carry.

    Attributes
    ----------
    schedule
        Transfers over the link.
    sizes
        Sizes of the answers, by route.
    long_routes
        Routes whose answers are not short.
    expected
        Expected bytes of the answers to other nodes of requests that were
        accepted, by the number of the request.
    reserved_until
        Time up to which the link is reserved for refused clients that were
        told to return.
    """

    schedule: LinkSchedule
    sizes: dict[str, AnswerSize] = field(default_factory=dict)
    long_routes: set[str] = field(default_factory=set)
    expected: dict[int, float] = field(default_factory=dict)
    reserved_until: float = 0


def record_answer_size(load: LinkLoad, route: str, size: int) -> None:
    """Add an answer to the mean size of its route."""
    known = load.sizes.get(route)
    if known is None:
        known = AnswerSize(size)
        load.sizes[route] = known
    deviation = size - known.mean
    known.mean += SMOOTHING * deviation
    known.variance = (1 - SMOOTHING) * (
        known.variance + SMOOTHING * deviation**2
    )
    if known.mean > SHORT_ANSWER_BYTES:
        load.long_routes.add(route)
    else:
        load.long_routes.discard(route)


def expect_answer(load: LinkLoad, number: int, route: str) -> None:
    """Count the answer to an accepted request of another node."""
    if route in load.long_routes:
        load.expected[number] = load.sizes[route].mean


def answer_transfer_s(load: LinkLoad, route: str) -> float:
    """Return how long the link takes for a mean answer; 0 if it is short."""
    if route not in load.long_routes:
        return 0
    return transfer_s(load.schedule, load.sizes[route].mean)


def link_wait_s(load: LinkLoad, now: float) -> float:
    """Return when the link has carried what is sent and expected.

    Returns
    -------
    Seconds from now; 0 if no route has long answers.
    """
    if not load.long_routes:
        return 0
    expected_s = transfer_s(load.schedule, sum(load.expected.values()))
    return backlog_s(load.schedule, now) + expected_s


def is_link_in_time(
    load: LinkLoad,
    route: str,
    service_s: float,
    left: tuple[float, float],
    now: float,
) -> bool:
    """Return whether an answer of a route would leave the link in time.

    It must meet its latency objective if it could on an idle link, and else
    its deadline.

    Parameters
    ----------
    load
        Load of the link.
    route
        A route with long answers.
    service_s
        Time until the target is expected to answer.
    left
        Time until the objective, negative if only the deadline counts, and
        until the deadline.
    now
        Present time.
    """
    own_s = answer_transfer_s(load, route)
    duration = max(service_s, link_wait_s(load, now)) + own_s
    objective_left, deadline_left = left
    if service_s + own_s <= OBJECTIVE_SHARE * objective_left:
        return duration <= OBJECTIVE_SHARE * objective_left
    error_s = transfer_s(load.schedule, sqrt(load.sizes[route].variance))
    return duration + error_s <= DEADLINE_SHARE * deadline_left


def next_return(load: LinkLoad, route: str, now: float) -> float:
    """Return when a refused client may return, and reserve that time.

    Each client gets a time of its own, once the link has carried what is ahead.
    """
    return_at = max(now + link_wait_s(load, now), load.reserved_until)
    share_s = answer_transfer_s(load, route) / RESERVED_SHARE
    load.reserved_until = min(now + MAX_RETRY_AFTER_S, return_at + share_s)
    return min(return_at, now + MAX_RETRY_AFTER_S)
