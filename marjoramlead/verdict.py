"""Why a request was refused, and whether it may have run."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ('Reason', 'Refusal', 'Verdict')


class Verdict(StrEnum):
    """Whether a target has run a request."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class Reason(StrEnum):
    """Why a request was refused, failed or retried."""

    BAD_ANSWER = 'bad_answer'
    BODY_CUT = 'body_cut'
    BODY_STALLED = 'body_stalled'
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
    NEWS_TOO_OLD = 'news_too_old'
    NO_ACCOUNT = 'no_account'
    NO_CONTRACT = 'no_contract'
    NO_ROOM = 'no_room'
    NO_ROUTE = 'no_route'
    NO_TARGET = 'no_target'
    NOT_READY = 'not_ready'
    OVERLOAD = 'overload'
    QUOTA = 'quota'
    QUOTA_UNKNOWN = 'quota_unknown'
    RATE_LIMIT = 'rate_limit'
    ROUTE_CHANGED = 'route_changed'
    ROUTING_REFUSED = 'routing_refused'
    SERVICE_OVERLOAD = 'service_overload'
    SILENT = 'silent'
    TARGET_FAILED = 'target_failed'
    TARGET_FULL = 'target_full'
    TIMEOUT = 'timeout'
    UPLOAD_SLOTS = 'upload_slots'
    WRONG_TARGET = 'wrong_target'


class Refusal(NamedTuple):
    """The outcome of a request that got no answer from a target.

    Attributes
    ----------
    reason
        The cause; names of refusal counters end with its value.
    verdict
        Whether a target may have run the request.
    retry_after
        Seconds after which the client should retry; 0 if it should not.
    reached_target
        Whether a target received the request, even if it refused it.
    """

    reason: Reason
    verdict: Verdict
    retry_after: float = 1
    reached_target: bool = False
