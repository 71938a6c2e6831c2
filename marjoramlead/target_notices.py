"""Status that a target reports in the headers of its responses.

An overloaded target reports the request rate that it accepts; a target that is
about to stop reports that. Both hold until the target restarts.
"""

from typing import Final, NamedTuple

from marjoramlead.events import emit
from marjoramlead.header_names import HeaderNames
from marjoramlead.headers import parse_number
from marjoramlead.upstream import HeaderList, header_value

__all__ = ('TargetNotice', 'read_notice')

LEAVING: Final = '1'


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
    """

    rate_limit_per_s: float | None
    is_leaving: bool
    is_limit_valid: bool = True


def read_notice(
    headers: HeaderList, header_names: HeaderNames, target_id: str
) -> TargetNotice:
    """Read the notices of a target; an invalid limit is logged."""
    is_leaving = header_value(headers, header_names.leaving) == LEAVING
    raw = header_value(headers, header_names.rate_limit)
    if not raw:
        return TargetNotice(None, is_leaving)
    rate_limit = parse_number(raw)
    if rate_limit is None:
        emit('target_notice_refused', target=target_id, limit=raw)
    return TargetNotice(rate_limit, is_leaving, rate_limit is not None)
