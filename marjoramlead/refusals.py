"""Recently refused requests, for ``marjoramlead explain``."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from marjoramlead.bounded_keys import bounded_key
from marjoramlead.reports import RefusedCall
from marjoramlead.verdict import Refusal

__all__ = ('RecentRefusals', 'record_refusal')

MAX_KEPT: Final = 1000


class RecentRefusals:
    """The latest ``MAX_KEPT`` refused requests, the oldest first.

    Attributes
    ----------
    by_id
        Refused requests by ``bounded_key`` of their ids.
    """

    def __init__(self) -> None:
        self.by_id: OrderedDict[str, RefusedCall] = OrderedDict()


def record_refusal(
    recent: RecentRefusals,
    request_id: str,
    refusal: Refusal,
    tried_hosts: Sequence[str],
) -> None:
    """Store a refused request; drop the oldest one beyond ``MAX_KEPT``.

    Parameters
    ----------
    recent
        Refused requests to add to.
    request_id
        Id of the refused request; of a long one, the key is stored.
    refusal
        Why it was refused.
    tried_hosts
        Hosts to which the request was sent.
    """
    key = bounded_key(request_id)
    recent.by_id[key] = {
        'request_id': key,
        'reason': refusal.reason.value,
        'verdict': refusal.verdict.value,
        'retry_after': refusal.retry_after,
        'tried': list(tried_hosts),
    }
    recent.by_id.move_to_end(key)
    if len(recent.by_id) > MAX_KEPT:
        recent.by_id.popitem(last=False)
