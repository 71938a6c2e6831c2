"""Claim an idempotency key at its replicas before running its request."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from marjoramlead import headers as names
from marjoramlead.guard import Guard, apply_current_config, service_targets
from marjoramlead.http_client import HttpRequest, discard_body, send_request
from marjoramlead.http_server import StreamRequest
from marjoramlead.key_replicas import (
    ClaimOutcome,
    Vote,
    count_votes,
    release_key,
    replicas_of,
    vote_on_claim,
)
from marjoramlead.problems import BufferedResponse
from marjoramlead.snapshot import Target
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('KeyClaim', 'claim_key', 'handle_claim', 'release_claim')

CLAIM_TIMEOUT_S: Final = 1.0
NO_CONTENT: Final = 204


class KeyClaim(NamedTuple):
    """A request's claim to an idempotency key.

    Attributes
    ----------
    holder
        Identifies the request among the claims to the same key.
    deadline
        Deadline of the request, in seconds on the node's monotonic clock.
    """

    key: str
    holder: str
    deadline: float


def handle_claim(guard: Guard, req: StreamRequest) -> None:
    """Answer another guard that claims or releases a key."""
    fields = req.requestHeaders
    key = names.first_value(fields, names.CLAIM)
    holder = names.first_value(fields, names.HOLDER)
    if fields.hasHeader(names.RELEASE):
        release_key(guard.key_ledger, key, holder)
        req.send_response(BufferedResponse(NO_CONTENT, Headers(), b''))
        return
    vote = _cast_local_vote(guard, key, holder)
    response_headers = Headers({names.VOTE: [vote.encode()]})
    req.send_response(BufferedResponse(NO_CONTENT, response_headers, b''))


async def claim_key(guard: Guard, claim: KeyClaim) -> Refusal | None:
    """Claim a key at its replicas and wait for a majority to grant it.

    Returns
    -------
    None if the request may run, else the refusal; the claim is then released.
    """
    replicas = _replicas_of_key(guard, claim.key)
    decided: Deferred[ClaimOutcome] = Deferred()
    votes: list[Vote | None] = []

    def on_vote(vote: Vote | None) -> None:
        votes.append(vote)
        outcome = count_votes(votes, len(replicas))
        if outcome is not ClaimOutcome.UNDECIDED and not decided.called:
            decided.callback(outcome)

    for replica in replicas:
        voting = Deferred.fromCoroutine(_request_vote(guard, replica, claim))
        voting.addErrback(lambda _failure: None)
        voting.addCallback(on_vote)
    outcome = await decided
    if outcome is ClaimOutcome.GRANTED:
        return None
    release_claim(guard, claim)
    return _refusal_for(guard, outcome)


def release_claim(guard: Guard, claim: KeyClaim) -> None:
    """Release the key of a request that has not run and will not run."""
    for replica in _replicas_of_key(guard, claim.key):
        if replica.host == guard.host:
            release_key(guard.key_ledger, claim.key, claim.holder)
        else:
            fields = _claim_headers(claim)
            fields.setRawHeaders(names.RELEASE, [b'1'])
            sent = Deferred.fromCoroutine(
                _send_to_replica(guard, replica, fields)
            )
            sent.addErrback(lambda _failure: None)


def _replicas_of_key(guard: Guard, key: str) -> Sequence[Target]:
    by_host = {each.host: each for each in service_targets(guard)}
    return [by_host[host] for host in replicas_of(by_host, key)]


async def _request_vote(
    guard: Guard,
    replica: Target,
    claim: KeyClaim,
) -> Vote | None:
    if replica.host == guard.host:
        return _cast_local_vote(guard, claim.key, claim.holder)
    answer = await _send_to_replica(guard, replica, _claim_headers(claim))
    vote = names.first_value(answer, names.VOTE) if answer else ''
    return Vote(vote) if vote in set(Vote) else None


async def _send_to_replica(
    guard: Guard,
    replica: Target,
    fields: Headers,
) -> Headers | None:
    url = f'http://{replica.address}:{replica.guard_port}/'
    deadline = guard.reactor.seconds() + CLAIM_TIMEOUT_S
    outgoing = HttpRequest(b'POST', url.encode(), fields, None, deadline)
    sent = await send_request(guard.peer_agent, guard.reactor, outgoing)
    if sent.is_error():
        return None
    discard_body(sent.ok)
    return sent.ok.headers


def _cast_local_vote(guard: Guard, key: str, holder: str) -> Vote:
    contract = guard.current_snapshot().contracts.get(guard.target['customer'])
    if contract is None:
        return Vote.UNKNOWN
    apply_current_config(guard)
    now = guard.reactor.seconds()
    return vote_on_claim(
        guard.key_ledger, key, holder, now, contract.key_memory_s
    )


def _refusal_for(guard: Guard, outcome: ClaimOutcome) -> Refusal:
    if outcome is ClaimOutcome.HELD:
        return Refusal(Reason.DUPLICATE, Verdict.MAY_HAVE_RUN, 0)
    contract = guard.current_snapshot().contracts.get(guard.target['customer'])
    retry_after = int(contract.key_memory_s) if contract else 1
    return Refusal(
        Reason.KEY_UNKNOWN,
        Verdict.MAY_HAVE_RUN,
        max(1, retry_after),
    )


def _claim_headers(claim: KeyClaim) -> Headers:
    return Headers(
        {
            names.CLAIM: [claim.key.encode('latin-1')],
            names.HOLDER: [claim.holder.encode('latin-1')],
        }
    )
