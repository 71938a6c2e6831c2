"""How long work takes on the target's machine now, compared with usually.

Targets share their machines with others. A target that reports the pace of its
machine does so in each response, as the time that work takes at the moment in
percent of the usual time. The pace changes many times a second: a single figure
says little about the next request. It is smoothed over the length of a short
request, and counts as usual once nothing has been heard for a while.

This module does no I/O. Times are in seconds on the node's monotonic clock.
"""

from dataclasses import dataclass
from math import exp
from typing import Final

__all__ = (
    'USUAL',
    'Pace',
    'aged_pace',
    'mean_pace',
    'pace_at',
    'record_pace',
    'work_until',
)

# Work takes as long as usually on the machine.
USUAL: Final = 1.0
# Time constant of the moving average.
TIME_CONSTANT_S: Final = 0.15
# The same for the usual figure, and the longest time for which a figure counts.
USUAL_TIME_CONSTANT_S: Final = 10.0
MAX_INTERVAL_S: Final = 0.5
# Time for which a pace holds while no figure arrives, and the half-life of its
# difference to the usual pace after that.
HOLD_S: Final = 0.2
HALF_LIFE_S: Final = 0.5
TIME_CONSTANT_OF_DECAY_S: Final = HALF_LIFE_S * 1.4427
# Figures beyond these bounds are cut, so that a wrong one does no lasting harm.
MIN_PACE: Final = 0.1
MAX_PACE: Final = 20.0


@dataclass(slots=True)
class Pace:
    """Pace of a machine.

    Attributes
    ----------
    level
        Moving average at ``updated_at``; 2 if work takes twice as long.
    integral
        Integral of the pace over time up to ``updated_at``.
    usual_figure
        Moving average of the figures over a longer time. The pace is relative
        to it, as the service times of a machine that is always slow tell that.
    """

    level: float = USUAL
    usual_figure: float = USUAL
    updated_at: float = 0
    integral: float = 0


def record_pace(pace: Pace, figure: float, now: float) -> None:
    """Add a figure that the target has reported now."""
    figure = min(MAX_PACE, max(MIN_PACE, figure))
    if not pace.updated_at:
        pace.usual_figure = figure
    elapsed = min(now - pace.updated_at, MAX_INTERVAL_S)
    weight = 1 - exp(-elapsed / TIME_CONSTANT_S)
    usual_weight = 1 - exp(-elapsed / USUAL_TIME_CONSTANT_S)
    pace.usual_figure += usual_weight * (figure - pace.usual_figure)
    pace.integral = work_until(pace, now)
    pace.level += weight * (figure / pace.usual_figure - pace.level)
    pace.updated_at = now


def pace_at(pace: Pace, now: float) -> float:
    """Return the pace; it returns to the usual one with its age."""
    return aged_pace(pace.level, now - pace.updated_at)


def aged_pace(level: float, age: float) -> float:
    """Return a pace some seconds after it was known."""
    if level == USUAL or age <= HOLD_S:
        return level
    return USUAL + (level - USUAL) * 0.5 ** ((age - HOLD_S) / HALF_LIFE_S)


def work_until(pace: Pace, now: float) -> float:
    """Return the integral of the pace over time up to now."""
    elapsed = now - pace.updated_at
    if pace.level == USUAL or elapsed <= HOLD_S:
        return pace.integral + elapsed * pace.level
    held = HOLD_S * (pace.level - USUAL)
    decayed = (pace.level - pace_at(pace, now)) * TIME_CONSTANT_OF_DECAY_S
    return pace.integral + elapsed + held + decayed


def mean_pace(pace: Pace, started_at: float, since: float, now: float) -> float:
    """Return the mean pace since a request was started.

    Parameters
    ----------
    pace
        Pace of the machine.
    started_at
        When the request was started.
    since
        ``work_until`` at that time.
    now
        Present time.
    """
    elapsed = now - started_at
    if not pace.updated_at:
        return USUAL
    if elapsed <= 0:
        return pace_at(pace, now)
    return max(MIN_PACE, (work_until(pace, now) - since) / elapsed)
