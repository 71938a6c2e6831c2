"""What each reason means to an operator, and what to do about it."""

from typing import Final

from marjoramlead.verdict import Reason

__all__ = ('explain_reason',)

EXPLANATIONS: Final = {  # noqa: WPS407  # a table that nothing changes
    Reason.BAD_ANSWER: (
        'What came back was not the answer of the target to this request: '
        'without its proof, of another request, or no HTTP.',
        'Look at the target; a request that may run once is not sent again.',
    ),
    Reason.BODY_CUT: (
        'The caller hung up before its body was whole.',
        'Nothing to do here; look at the caller.',
    ),
    Reason.BODY_TOO_LARGE: (
        'The body has more bytes than the limits in force allow.',
        'Send less, or raise the limit.',
    ),
    Reason.CALLER_GONE: (
        'The caller hung up before the answer.',
        'Nothing to do here; look at the latency of the service.',
    ),
    Reason.COLD: (
        'The target has just started and gets its granted rate only.',
        'Wait until it is warm, or start fewer targets at once.',
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
        'Two of the three replicas of the key are down or started of late, so '
        'nobody can say whether it ran.',
        'Ask again after the key memory of the contract.',
    ),
    Reason.NEVER_SEEN: (
        'The node of the target never saw the request: a connection between '
        'nodes had gone silent.',
        'Look at the network between the two hosts.',
    ),
    Reason.NOT_READY: (
        'The node does not know enough yet: no routing, no entry of its own '
        'target, or news too old to deny a route.',
        'See "marjoramlead targets" for the age of its news, and the store.',
    ),
    Reason.NO_CONTRACT: (
        'No contract of this customer is in force on the node.',
        'See "marjoramlead status" for what is, and what was refused.',
    ),
    Reason.NO_ROOM: (
        'The target could not start the request at once, and was not asked '
        'to let it wait.',
        'Nothing to do: it is offered to other targets, then waits.',
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
    Reason.TARGET_FULL: (
        'The target turned the request away by itself.',
        'Look at the target: it sheds load below its slots, or others use it.',
    ),
    Reason.TIMEOUT: (
        'The target did not answer within the time of the route.',
        'Look at the target, and at the timeout of the route.',
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
    return EXPLANATIONS[reason]
