"""What each reason means to an operator, and what to do about it."""

from typing import Final

from marjoramlead.verdict import Reason

__all__ = ('explain_reason',)

MEANINGS: Final = {  # noqa: WPS407  # a table that nothing changes
    Reason.BODY_CUT: (
        'The caller hung up before its body was whole.',
        'Nothing to do here; look at the caller.',
    ),
    Reason.CONNECT_FAILED: (
        'No connection to the target or its node could be made.',
        'See whether the target runs, and whether the host list lags.',
    ),
    Reason.DATA_CENTRE_OUT: (
        'Operators have taken the data centre out.',
        'Bring it back with "marjoramlead bring-back" when it is well.',
    ),
    Reason.DEADLINE: (
        'The wait limit was over before the work could begin.',
        'Look at the load of the service, and at wait_limit_ms of the route.',
    ),
    Reason.DRAINING: (
        'The node or its target is leaving.',
        'Nothing to do: other targets take the work.',
    ),
    Reason.DUPLICATE: (
        'Another request holds the same Idempotency-Key.',
        'The first request stands; ask the service for its outcome.',
    ),
    Reason.GATEWAY_FULL: (
        'The gateway has as many calls in flight as its memory allows.',
        'Spread the callers over more nodes.',
    ),
    Reason.KEY_UNKNOWN: (
        'Two of the three keepers of the key are down or started of late, so '
        'nobody can say whether it ran.',
        'Ask again after the key memory of the contract.',
    ),
    Reason.NO_CONTRACT: (
        'No contract of this customer is in force on the node.',
        'See "marjoramlead status" for what is, and what was refused.',
    ),
    Reason.NO_ROUTE: (
        'No route of the contract covers the method and path.',
        'Add the route to the contract and submit it.',
    ),
    Reason.NO_TARGET: (
        'No target of the service may take work.',
        'See "marjoramlead status": all leaving, out, or none listed.',
    ),
    Reason.OVERLOAD: (
        'The target has all that its contract grants, and its queue is full '
        'or too slow for the wait limit.',
        'Add targets; raise slots only if the targets bear more.',
    ),
    Reason.SILENT: (
        'No answer came within the wait limit.',
        'Look at the target: it may be frozen or cut off.',
    ),
    Reason.TARGET_FAILED: (
        'The connection broke, or the answer was cut.',
        'Look at the target: it may have died.',
    ),
    Reason.UPLOAD_SLOTS: (
        'All upload slots of the target are taken.',
        'Add targets, or raise upload_slots if the targets bear more.',
    ),
    Reason.WRONG_TARGET: (
        'A request came to a guard of another customer or service.',
        'The host list is wrong, or a port was given to another node.',
    ),
}


def explain_reason(reason: Reason) -> tuple[str, str]:
    """Return what a reason means, and what to do."""
    return MEANINGS[reason]
