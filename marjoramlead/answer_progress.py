"""Decide whether a client reads its answers slowly.

An answer that is not read takes memory that others need, so it gives way to
them. What counts is what the operating system accepts. It does so in parts of a
megabyte or more, so that a client is judged over several seconds.

This module does no I/O.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from marjoramlead.memory_budget import Hold, set_read, set_unread

__all__ = (
    'ANSWER_WINDOW_S',
    'KEPT_ANSWER_BYTES_PER_S',
    'AnswerProgress',
    'judge_reading',
    'mark_slow_answers',
)

# Rate of a link of 131 kbit/s.
KEPT_ANSWER_BYTES_PER_S: Final = 16_384.0
ANSWER_WINDOW_S: Final = 5.0
# A loop or a host that stood still this long has sent nothing.
MAX_DELAY_S: Final = 1.0


@dataclass(slots=True)
class AnswerProgress:
    """How much of its answers a client has read, and when that is judged.

    Attributes
    ----------
    sent
        Bytes that the operating system has accepted so far.
    sent_before
        Bytes that it had accepted at the start of the present window.
    window_since
        Begin of the window, in seconds.
    judge_at
        End of the window; a deadline in seconds.
    judged_at
        Time of the last look.
    is_slow
        Whether the client was slow in the window before.
    """

    sent: int = 0
    sent_before: int = 0
    window_since: float = 0
    judge_at: float = 0
    judged_at: float = 0
    is_slow: bool = False


def judge_reading(
    progress: AnswerProgress,
    unsent: int,
    kept_bytes_per_s: float,
    window_s: float,
    now: float,
) -> None:
    """Judge how a client reads; call this several times a second.

    Parameters
    ----------
    progress
        What has been sent on a connection.
    unsent
        Bytes that wait to be sent.
    kept_bytes_per_s
        Rate below which a client is slow.
    window_s
        Length of the next window, in seconds.
    now
        Present time, in seconds.
    """
    was_delayed = now - progress.judged_at > MAX_DELAY_S
    progress.judged_at = now
    sent = progress.sent - progress.sent_before
    if was_delayed or not unsent:
        progress.is_slow = False
    elif now >= progress.judge_at:
        elapsed = now - progress.window_since
        progress.is_slow = sent < kept_bytes_per_s * elapsed
    else:
        return
    progress.sent_before = progress.sent
    progress.window_since = now
    progress.judge_at = now + window_s


def mark_slow_answers(
    progress: AnswerProgress, answers: Iterable[Hold], end: Callable[[], None]
) -> None:
    """Let the answers of a client give way as long as it reads slowly.

    Parameters
    ----------
    progress
        How the client reads.
    answers
        Holds of its answers that are not sent.
    end
        Ends the connection.
    """
    for hold in answers:
        if progress.is_slow:
            set_unread(hold, end)
        else:
            set_read(hold)
