"""Status that a target reports in the headers of its responses.

An overloaded target reports the request rate that it accepts; a target that is
about to stop reports that. Both hold until the target restarts. Some targets
report the pace of their machine, which changes many times a second.
"""

from typing import Final, NamedTuple

from marjoramlead.events import emit
from marjoramlead.header_names import HeaderNames
from marjoramlead.headers import parse_number
from marjoramlead.upstream import HeaderList, header_value

__all__ = ('TargetNotice', 'read_notice')

LEAVING: Final = '1'
# Position of the pace in the load header, after the requests running and
# waiting and the slots.
PACE_FIGURE: Final = 3
PERCENT: Final = 100


class TargetNotice(NamedTuple):
    """Notices in one response of a target.

    Attributes
    ----------
    rate_limit_per_s
        Requests per second that the target accepts from all nodes together;
        None if it reports no limit.
    is_leaving
        Whether the target is about to stop.
    is_limit_valid
        False if the limit could not be read. The limit known before holds.
    pace
        How long work takes on the target's machine now, as a multiple of the
        usual time; None if it reports no pace, or one that cannot be read.
    """

    rate_limit_per_s: float | None
    is_leaving: bool
    is_limit_valid: bool = True
    pace: float | None = None


def read_notice(
    headers: HeaderList, header_names: HeaderNames, target_id: str
) -> TargetNotice:
    """Read the notices of a target; an invalid limit is logged."""
    is_leaving = header_value(headers, header_names.leaving) == LEAVING
    raw = header_value(headers, header_names.rate_limit)
    pace = _read_pace(header_value(headers, header_names.load))
    if not raw:
        return TargetNotice(None, is_leaving, pace=pace)
    rate_limit = parse_number(raw)
    if rate_limit is None:
        emit('target_notice_refused', target=target_id, limit=raw)
    return TargetNotice(rate_limit, is_leaving, rate_limit is not None, pace)


def _read_pace(load: str) -> float | None:
    """Read the pace, the fourth figure of a load header, in percent."""
    figures = load.split(',', PACE_FIGURE + 1)
    if len(figures) <= PACE_FIGURE:
        return None
    percent = parse_number(figures[PACE_FIGURE])
    return percent / PERCENT if percent else None
