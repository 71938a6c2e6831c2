"""Choose which bodies make way for new connections when a port is full.

Refused bodies go first, as their requests are answered. Among the others, and
among themselves, those of the host with most connections go first, then the
slowest. An address may stand for many clients, so it alone ends nothing: it
decides only when the port has no connection left, and not about a body that
arrives fast, unless its host has more than half of the connections.

This module does no I/O.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

__all__ = (
    'KEPT_BODY_BYTES_PER_S',
    'MIN_AGE_S',
    'OpenBody',
    'choose_bodies',
)

# Rate of a link of 131 kbit/s.
KEPT_BODY_BYTES_PER_S: Final = 16_384.0
# Time that a body has to arrive, or a refusal to be received.
MIN_AGE_S: Final = 1.0
# Share of the connections of a port above which a host has too many.
MAX_HOST_SHARE: Final = 0.5


class OpenBody(NamedTuple):
    """A body that arrives, or the rest of one that was refused.

    Attributes
    ----------
    number
        Identifies the body to the caller.
    host
        Address of the client.
    host_share
        Share of the port's connections that this host has.
    since
        Time at which the body began or was refused, in seconds.
    received
        Bytes that have arrived.
    is_quiet
        Whether nothing has come for a while, though it was awaited.
    is_refused
        Whether its request has been answered.
    """

    number: int
    host: str
    host_share: float
    since: float
    received: int
    is_quiet: bool
    is_refused: bool


def choose_bodies(
    bodies: Iterable[OpenBody], kept_bytes_per_s: float, now: float
) -> list[int]:
    """Return the numbers of the bodies that may be ended, the first one last.

    Parameters
    ----------
    bodies
        Bodies of all connections to a port.
    kept_bytes_per_s
        Rate from which a body is kept.
    now
        Present time, in seconds.
    """
    eligible = [
        body
        for body in bodies
        if body.is_quiet or _may_end(body, kept_bytes_per_s, now)
    ]
    eligible.sort(key=lambda body: _rank(body, now), reverse=True)
    return [body.number for body in eligible]


def _may_end(body: OpenBody, kept_bytes_per_s: float, now: float) -> bool:
    if now - body.since < MIN_AGE_S:
        return False
    is_slow = _bytes_per_s(body, now) < kept_bytes_per_s
    return body.is_refused or is_slow or body.host_share > MAX_HOST_SHARE


def _rank(body: OpenBody, now: float) -> tuple[bool, float, float]:
    rate = 0 if body.is_quiet else _bytes_per_s(body, now)
    return not body.is_refused, -body.host_share, rate


def _bytes_per_s(body: OpenBody, now: float) -> float:
    return body.received / max(MIN_AGE_S, now - body.since)
