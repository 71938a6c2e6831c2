"""Decide whether a client has stopped sending a body.

What counts is the bytes that have arrived over a while, and only while the node
reads: a client that is told to wait has not stopped.

This module does no I/O.
"""

from dataclasses import dataclass
from typing import Final

__all__ = (
    'DISCARD_S',
    'MIN_BODY_BYTES_PER_S',
    'PROGRESS_WINDOW_S',
    'BodyProgress',
    'has_stalled',
    'is_quiet',
    'start_window',
)

# Rate of a link of 2 kbit/s, over a while that outlasts a lost connection.
MIN_BODY_BYTES_PER_S: Final = 256.0
PROGRESS_WINDOW_S: Final = 10.0
# Time for which the rest of a refused body is read.
DISCARD_S: Final = 60.0
# Time without a byte after which a body makes way for a new connection, if the
# port has no connection left. A lost packet is sent again within 0.2 s.
QUIET_S: Final = 1.0
# A loop or a host that stood still this long has not read what has arrived.
MAX_DELAY_S: Final = 1.0


@dataclass(slots=True)
class BodyProgress:
    """How much of a body has arrived, and when that is judged.

    Attributes
    ----------
    received
        Bytes that have arrived so far.
    received_before
        Bytes that had arrived at the start of the present window.
    judge_at
        End of the window; a deadline in seconds.
    judged_at
        Time of the last look.
    quiet_since
        Time of the look since which nothing has arrived that was awaited.
    seen
        Bytes that had arrived then.
    since
        Time at which the body began, was asked for or was refused.
    window_since
        Begin of the window.
    discard_until
        Time until which the rest of a refused body is read; a deadline.
    """

    received: int
    received_before: int
    judge_at: float
    judged_at: float
    quiet_since: float
    seen: int = 0
    since: float = 0
    window_since: float = 0
    discard_until: float = float('inf')


def is_quiet(progress: BodyProgress) -> bool:
    """Return whether nothing has come for so long that others go first."""
    return progress.judged_at - progress.quiet_since >= QUIET_S


def start_window(
    progress: BodyProgress, now: float, window_s: float = PROGRESS_WINDOW_S
) -> None:
    """Judge by what arrives from now on."""
    progress.received_before = progress.received
    progress.window_since = now
    progress.judge_at = now + window_s
    progress.judged_at = now


def has_stalled(
    progress: BodyProgress,
    min_bytes_per_s: float,
    now: float,
    *,
    is_awaited: bool,
    window_s: float = PROGRESS_WINDOW_S,
) -> bool:
    """Return whether the client has stopped; call this several times a second.

    Parameters
    ----------
    progress
        What has arrived of the body.
    min_bytes_per_s
        Lowest rate, over a window.
    now
        Present time, in seconds.
    is_awaited
        Whether the client may send, and the node reads what it sends.
    window_s
        Length of the next window, in seconds.
    """
    was_delayed = now - progress.judged_at > MAX_DELAY_S
    progress.judged_at = now
    if progress.seen != progress.received or was_delayed or not is_awaited:
        progress.seen = progress.received
        progress.quiet_since = now
    if was_delayed or not is_awaited:
        start_window(progress, now, window_s)
        return False
    if now < progress.judge_at:
        return False
    arrived = progress.received - progress.received_before
    if arrived < min_bytes_per_s * (progress.judge_at - progress.window_since):
        return True
    start_window(progress, now, window_s)
    return False
