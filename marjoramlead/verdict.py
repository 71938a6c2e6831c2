"""Whether a request may have run, and how a call ended."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ('Reason', 'Refusal', 'Verdict')


class Verdict(StrEnum):
    """Whether the work of a request may have happened."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class Reason(StrEnum):
    """Why a call was refused, failed or tried again."""

    BAD_ANSWER = 'bad_answer'
    BODY_CUT = 'body_cut'
    BODY_TOO_LARGE = 'body_too_large'
    CALLER_GONE = 'caller_gone'
    COLD = 'cold'
    CONNECT_FAILED = 'connect_failed'
    DATA_CENTRE_OUT = 'data_centre_out'
    DEADLINE = 'deadline'
    DRAINING = 'draining'
    DUPLICATE = 'duplicate'
    GATEWAY_FULL = 'gateway_full'
    KEY_UNKNOWN = 'key_unknown'
    NEVER_SEEN = 'never_seen'
    NO_CONTRACT = 'no_contract'
    NO_ROOM = 'no_room'
    NO_ROUTE = 'no_route'
    NO_TARGET = 'no_target'
    NOT_READY = 'not_ready'
    OVERLOAD = 'overload'
    SILENT = 'silent'
    TARGET_FAILED = 'target_failed'
    TARGET_FULL = 'target_full'
    TIMEOUT = 'timeout'
    UPLOAD_SLOTS = 'upload_slots'
    WRONG_TARGET = 'wrong_target'


class Refusal(NamedTuple):
    """The final answer to a call that got none from its target.

    Attributes
    ----------
    reason
        The cause, also the name of a counter.
    verdict
        Whether the work may have happened.
    retry_after
        Seconds until the caller should come back; 0 where it should not.
    reached
        Whether a target got the request, even if it turned it away.
    """

    reason: Reason
    verdict: Verdict
    retry_after: float = 1
    reached_target: bool = False
