"""The meaning of each reason of a refusal, with advice for operators."""

from typing import Final

from marjoramlead.verdict import Reason

__all__ = ('explain_reason',)

EXPLANATIONS: Final = {  # noqa: WPS407  # never mutated
    Reason.BAD_ANSWER: (
        "The response lacked the target's seal, belonged to another request, "
        'or was not valid HTTP.',
        'Check the target. A request that may run only once is not retried.',
    ),
    Reason.BODY_CUT: (
        'The client closed the connection before it had sent the whole body.',
        'No action is needed here; check the client.',
    ),
    Reason.BODY_STALLED: (
        'The client stopped sending the body: fewer bytes came in ten seconds '
        'than min_body_bytes_per_s of the settings allows.',
        'Check the client and its connection; send the request again.',
    ),
    Reason.BODY_TOO_LARGE: (
        'The request body is larger than the limits in force allow.',
        'Send a smaller body, or raise the limit.',
    ),
    Reason.CALLER_GONE: (
        'The client closed the connection before the response.',
        'No action is needed here; check the latency of the service.',
    ),
    Reason.COLD: (
        'The target has started recently and accepts requests only at the '
        'rate granted to cold targets.',
        'Wait until the target is warm, or start fewer targets at the same '
        'time.',
    ),
    Reason.CONNECT_FAILED: (
        'No connection to the target, or to its node, could be established.',
        'Check whether the target is running and whether the host list is up '
        'to date.',
    ),
    Reason.DATA_CENTRE_OUT: (
        'Operators have taken the data centre out of service.',
        'Run "marjoramlead bring-back" once the data centre is healthy.',
    ),
    Reason.DEADLINE: (
        'The wait limit expired before the request could start.',
        'Check the load of the service, and wait_limit_ms of the route.',
    ),
    Reason.DRAINING: (
        'The node or its target is draining before it stops.',
        'No action is needed: other targets serve the requests.',
    ),
    Reason.DUPLICATE: (
        'Another request holds the same Idempotency-Key.',
        'The first request remains valid; query the service for its outcome.',
    ),
    Reason.GATEWAY_FULL: (
        'The gateway has as many requests in flight as its memory allows.',
        'Distribute the clients over more nodes.',
    ),
    Reason.KEY_UNKNOWN: (
        'Two of the three replicas of the key do not respond or have started '
        'recently, so it is unknown whether a request with this key has run.',
        'Retry after key_memory_ms of the contract.',
    ),
    Reason.NEVER_SEEN: (
        'The node of the target never received the request: a connection '
        'between nodes had stopped responding.',
        'Check the network between the two hosts.',
    ),
    Reason.NOT_READY: (
        'The node lacks data: it has no routing table, no entry for its own '
        'target, or data too old to decide that a route does not exist.',
        'Run "marjoramlead targets" to see the age of its data, and check the'
        ' store.',
    ),
    Reason.NEWS_TOO_OLD: (
        'The node has not been able to confirm for most of the bound on '
        'revoked keys that the API key of the request is still in force.',
        'Check why neither the store nor another node reaches this node; '
        'send the request to another node.',
    ),
    Reason.NO_ACCOUNT: (
        'The request has no API key, or one that belongs to no client account '
        'in force.',
        'Send one key, as "Authorization: Bearer KEY"; publish a version that '
        'holds it.',
    ),
    Reason.NO_CONTRACT: (
        'No contract of this customer is in force on the node.',
        'Run "marjoramlead status" to see which documents are in force and '
        'which were refused.',
    ),
    Reason.NO_ROOM: (
        'The target could not start the request immediately, and the sender '
        'did not allow the request to wait.',
        'No action is needed: the request is offered to other targets and '
        'then waits.',
    ),
    Reason.NO_ROUTE: (
        'No route of the contract matches the method and path.',
        'Add the route to the contract and submit it.',
    ),
    Reason.NO_TARGET: (
        'No target of the service is available.',
        'Run "marjoramlead status": all targets are leaving, out of service, '
        'or missing from the host list.',
    ),
    Reason.OVERLOAD: (
        'The target has reached the concurrency limit of its contract, and '
        'its queue is full or too slow for the wait limit.',
        'Add targets; raise slots only if the targets can sustain more.',
    ),
    Reason.QUOTA: (
        'The client account has used its quota, over all nodes together.',
        'Return after the time in Retry-After, or raise the quota.',
    ),
    Reason.QUOTA_UNKNOWN: (
        'No node that grants the quota of the client account answers, so it is '
        'unknown whether the quota is used up.',
        'Check why this node does not reach the nodes in quota_holder_lost.',
    ),
    Reason.RATE_LIMIT: (
        'The target accepts only the request rate that it reports in its '
        'responses.',
        'Check the target, or add targets.',
    ),
    Reason.ROUTE_CHANGED: (
        'The sender chose the target by an old routing table. In that of the '
        "target's node, the route is gone or leads to other services.",
        'No action is needed if the version has just changed; otherwise check '
        'the connection of the sender to the store and to other nodes.',
    ),
    Reason.ROUTING_REFUSED: (
        'The node has not accepted any version of the routing table: the '
        'newest one has a value that the node does not know.',
        'Read refused_routing in the status, and publish a version without '
        'that value or update the node.',
    ),
    Reason.SERVICE_OVERLOAD: (
        'The service serves less than half of the requests of this route and '
        'priority, so this one was refused without an offer to a target.',
        'Add targets; marjoramlead_offers_total shows how many were offered.',
    ),
    Reason.SILENT: (
        'No response arrived within the wait limit.',
        'Check the target: it may be hung or unreachable.',
    ),
    Reason.TARGET_FAILED: (
        'The connection to the target was lost, or its response was '
        'incomplete.',
        'Check the target: it may have crashed.',
    ),
    Reason.TARGET_FULL: (
        'The target itself rejected the request.',
        'Check the target: it rejects load below its slots, or also serves '
        'requests from elsewhere.',
    ),
    Reason.TIMEOUT: (
        'The target did not respond within the timeout of the route.',
        'Check the target, and the timeout of the route.',
    ),
    Reason.UPLOAD_SLOTS: (
        'All upload slots of the target are in use.',
        'Add targets, or raise upload_slots if the targets can sustain more.',
    ),
    Reason.WRONG_TARGET: (
        'A request reached the guard of another customer or service.',
        'Check for an error in the host list, or a port that was reassigned '
        'to another node.',
    ),
}


def explain_reason(reason: Reason) -> tuple[str, str]:
    """Return the meaning of a reason, and advice for operators."""
    return EXPLANATIONS[reason]
