"""Decide which parts of incoming bodies may be sent to this host, and when.

All bodies that other nodes send to this host share its link. A node grants
them by bytes, at most ``MAX_BACKLOG_S`` of the link's rate at a time, the
oldest body first. This bounds the queueing delay of other traffic, such as the
close of a connection, for any number and size of uploads and any link rate.

The last ``FINAL_PART_BYTES`` of a body are not granted here. They are requested
once the request has a slot, which confirms that its sender still waits.

This module does no I/O.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

__all__ = (
    'FINAL_PART_BYTES',
    'MIN_WINDOW_BYTES',
    'BodyGrants',
    'add_body',
    'arrival_time',
    'grant_bytes',
    'link_window',
    'record_received',
    'record_stall',
    'remove_body',
)

# Longest time for which granted bytes may keep the link busy.
MAX_BACKLOG_S: Final = 0.05
# Smallest window of a link, and that of a sender that does not name its own.
MIN_WINDOW_BYTES: Final = 16_384
# Smaller grants wait until more of the window is free.
MIN_GRANT_BYTES: Final = 4_096
FINAL_PART_BYTES: Final = 1_024

# Called with the number of bytes from the start of the body that may be sent.
OnGranted = Callable[[int], None]


@dataclass(slots=True)
class _Body:
    length: int
    window: int
    on_granted: OnGranted
    granted: int = 0
    received: int = 0
    is_stalled: bool = False


@dataclass(slots=True)
class BodyGrants:
    """Incoming bodies of this host and how much of each may be sent.

    Attributes
    ----------
    link_bytes_per_s
        Rate of the host's link.
    bodies
        Bodies by number, without their final parts, in the order of arrival.
    """

    link_bytes_per_s: float
    bodies: dict[int, _Body] = field(default_factory=dict)


def link_window(bytes_per_s: float) -> int:
    """Return how many bytes may be on their way over a link at a time."""
    return max(MIN_WINDOW_BYTES, int(bytes_per_s * MAX_BACKLOG_S))


def add_body(
    grants: BodyGrants,
    number: int,
    length: int,
    window: int,
    on_granted: OnGranted,
) -> None:
    """Add a body of which nothing has been granted.

    Parameters
    ----------
    grants
        Grants of this host.
    number
        Unique number of the body.
    length
        Bytes to grant, without the final part.
    window
        Bytes of the body that may be on their way, for the sender's link.
    on_granted
        Called whenever more of the body may be sent.
    """
    grants.bodies[number] = _Body(length, window, on_granted)


def remove_body(grants: BodyGrants, number: int) -> None:
    """Remove a body that has arrived or whose request has ended."""
    grants.bodies.pop(number, None)


def record_received(grants: BodyGrants, number: int, received: int) -> None:
    """Record how many bytes of a body have arrived so far."""
    body = grants.bodies.get(number)
    if body is not None:
        body.is_stalled = False
        body.received = min(received, body.length)
        body.granted = max(body.granted, body.received)


def record_stall(grants: BodyGrants, number: int) -> None:
    """Record that the granted bytes of a body do not arrive."""
    body = grants.bodies.get(number)
    if body is not None:
        body.is_stalled = True


def grant_bytes(grants: BodyGrants) -> None:
    """Grant as many bytes as the link carries soon, the oldest body first."""
    for body in list(grants.bodies.values()):
        missing = body.length - body.granted
        own_window = body.received + body.window - body.granted
        allowed = min(missing, own_window, _free_bytes(grants))
        if missing and allowed >= min(missing, MIN_GRANT_BYTES):
            body.granted += allowed
            body.on_granted(body.granted)


def arrival_time(grants: BodyGrants, length: int, now: float) -> float:
    """Return when one more body would have arrived, after all others."""
    ahead = sum(body.length - body.received for body in grants.bodies.values())
    return now + (ahead + length) / grants.link_bytes_per_s


def _free_bytes(grants: BodyGrants) -> int:
    on_the_way = sum(
        body.granted - body.received
        for body in grants.bodies.values()
        if not body.is_stalled
    )
    return link_window(grants.link_bytes_per_s) - on_the_way
