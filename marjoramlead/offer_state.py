"""The offers of one request to targets: what is known and when to stop.

This module does no I/O.
"""

from dataclasses import dataclass, field
from typing import Final

from marjoramlead.ledger import Outcome
from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'MAX_REFUSALS_IN_OVERLOAD',
    'OVERLOAD_REASONS',
    'OfferState',
    'are_offers_exhausted',
    'final_outcome',
    'record_refused_offer',
    'record_reply',
)

# Maximum number of offers of one request. Each takes about a millisecond;
# after this many refusals the service is considered full.
MAX_OFFERS: Final = 8
# Number of targets that may refuse a request because they expect to answer too
# late. Further targets are ranked as slower, and under overload the offers to
# them would take more processor time than the requests that are served.
MAX_OVERLOAD_REFUSALS: Final = 3
# The same while the service is known to be overloaded.
MAX_REFUSALS_IN_OVERLOAD: Final = 1
# Retry-After value if no target has reported when it expects a free slot.
DEFAULT_RETRY_AFTER_S: Final = 0.2
# Refusal reasons after which the request may be offered to the same target
# once more.
TRANSIENT_REASONS: Final = frozenset(
    (Reason.NO_ROOM, Reason.NEVER_SEEN),
)
# Refusal reasons of a target that expects to answer too late.
OVERLOAD_REASONS: Final = frozenset(
    (Reason.OVERLOAD, Reason.COLD, Reason.RATE_LIMIT),
)


@dataclass(slots=True)
class OfferState:
    """The offers of one request made so far.

    Attributes
    ----------
    has_reached_target
        Whether any target has received the request.
    possible_runs
        Number of offers after which a target ran or may have run the request.
    count
        Number of offers made so far.
    max_overload_refusals
        Number of targets that may refuse the request because they expect to
        answer too late.
    overload_refusals
        Number of targets that have done so.
    offered_ids
        Ids of the targets that have been offered the request.
    excluded_ids
        Ids of the targets that must not be offered the request again.
    last_reply
        Last response of a target, returned if no later offer succeeds.
    uncertain_refusal
        Last refusal after which the request may have run.
    retry_after
        Seconds until the targets that refused expect a free slot.
    last_refusal
        Last refusal of any kind.
    """

    max_overload_refusals: int = MAX_OVERLOAD_REFUSALS
    has_reached_target: bool = False
    possible_runs: int = 0
    count: int = 0
    overload_refusals: int = 0
    offered_ids: set[str] = field(default_factory=set)
    excluded_ids: set[str] = field(default_factory=set)
    last_reply: Reply | None = None
    uncertain_refusal: Refusal | None = None
    retry_after: list[float] = field(default_factory=list)
    last_refusal: Refusal | None = None


def are_offers_exhausted(offers: OfferState) -> bool:
    """Return whether no further offer may be made."""
    return (
        offers.count >= MAX_OFFERS
        or offers.overload_refusals >= offers.max_overload_refusals
    )


def record_reply(offers: OfferState, target_id: str, reply: Reply) -> None:
    """Record that a target responded."""
    offers.last_reply = reply
    offers.has_reached_target = True
    offers.possible_runs += 1
    offers.excluded_ids.add(target_id)


def record_refused_offer(
    offers: OfferState, target_id: str, refusal: Refusal
) -> None:
    """Record that an offer ended without a response of the target."""
    offers.last_refusal = refusal
    offers.has_reached_target |= refusal.reached_target
    if refusal.retry_after:
        offers.retry_after.append(refusal.retry_after)
    offers.overload_refusals += refusal.reason in OVERLOAD_REASONS
    if refusal.reason not in TRANSIENT_REASONS:
        offers.excluded_ids.add(target_id)
    if refusal.verdict is not Verdict.NOT_RUN:
        offers.possible_runs += 1
        offers.uncertain_refusal = refusal


def final_outcome(offers: OfferState) -> Outcome:
    """Choose the outcome once no further offer is made.

    A response of a target takes precedence over a refusal, and a refusal
    after which the request may have run over one after which it did not.
    """
    if offers.last_reply is not None:
        return offers.last_reply
    if offers.uncertain_refusal is not None:
        return offers.uncertain_refusal
    last_refusal = offers.last_refusal or Refusal(
        Reason.NO_TARGET, Verdict.NOT_RUN
    )
    after = min(offers.retry_after, default=DEFAULT_RETRY_AFTER_S)
    return Refusal(last_refusal.reason, Verdict.NOT_RUN, after)
