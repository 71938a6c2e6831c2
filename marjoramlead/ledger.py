"""What became of each request at this node, for senders that lost touch.

A sender whose connection died asks over a new one. A request that was never
seen is barred, so that it cannot run later; its sender may then offer it to
another target, or truly say that it did not run.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final

from twisted.internet.defer import Deferred

from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'AttemptLedger',
    'Outcome',
    'query_outcome',
    'record_outcome',
    'register_attempt',
)

Outcome = Reply | Refusal

# Longer than any request lives: a late copy of a barred one is still known.
DEDUPLICATION_WINDOW_S: Final = 30.0
# Bytes of answers kept for senders that ask again.
MAX_KEPT_BYTES: Final = 4_000_000
# How long an answer is kept: a sender asks within its connect limit.
ANSWER_RETENTION_S: Final = 3.0

NEVER_SEEN: Final = Refusal(Reason.NEVER_SEEN, Verdict.NOT_RUN)
UNKNOWN_OUTCOME: Final = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN)


@dataclass(slots=True)
class _Attempt:
    kept_until: float
    outcome: Outcome | None = None
    waiters: list[Deferred[Outcome]] = field(default_factory=list)


@dataclass(slots=True)
class AttemptLedger:
    """Attempts of requests by id, the oldest first.

    Attributes
    ----------
    started_at
        When this process began to remember.
    answers
        Ids of requests whose answers are kept, with the time until when.
    """

    started_at: float
    attempts: OrderedDict[str, _Attempt] = field(default_factory=OrderedDict)
    answer_expiries: deque[tuple[float, str]] = field(default_factory=deque)
    kept_bytes: int = 0


def register_attempt(
    ledger: AttemptLedger, attempt_id: str, now: float
) -> Refusal | None:
    """Note that a request has arrived; refuse one that must not run."""
    _drop_expired(ledger, now)
    attempt = ledger.attempts.get(attempt_id)
    if attempt is None:
        ledger.attempts[attempt_id] = _Attempt(now + DEDUPLICATION_WINDOW_S)
        return None
    if attempt.outcome is NEVER_SEEN:
        return Refusal(Reason.DUPLICATE, Verdict.NOT_RUN, 0)
    return Refusal(Reason.DUPLICATE, Verdict.MAY_HAVE_RUN, 0)


def record_outcome(
    ledger: AttemptLedger,
    attempt_id: str,
    outcome: Outcome,
    now: float,
) -> None:
    """Note how a request ended, and tell those who asked.

    One that was refused unrun is forgotten, so that its sender may offer it
    here again.
    """
    attempt = ledger.attempts.get(attempt_id)
    if attempt is None:
        return
    attempt.outcome = outcome
    waiters = attempt.waiters
    attempt.waiters = []
    for waiter in waiters:
        waiter.callback(outcome)
    if isinstance(outcome, Reply):
        ledger.kept_bytes += len(outcome.body)
        ledger.answer_expiries.append((now + ANSWER_RETENTION_S, attempt_id))
        _evict_answers(ledger, now)
    elif outcome.verdict is Verdict.NOT_RUN and not waiters:
        ledger.attempts.pop(attempt_id)


def query_outcome(
    ledger: AttemptLedger,
    attempt_id: str,
    sent_at: float,
    now: float,
) -> Deferred[Outcome]:
    """Tell the fate of a request once it is known; bar one never seen.

    Parameters
    ----------
    ledger
        Of this node.
    attempt_id
        Of the request and the attempt at it.
    sent_at
        When its sender sent it first, on this node's clock.
    now
        Seconds on the node's monotonic clock.
    """
    pending: Deferred[Outcome] = Deferred()
    attempt = ledger.attempts.get(attempt_id)
    if attempt is None:
        would_have_seen = sent_at > ledger.started_at
        attempt = _Attempt(
            now + DEDUPLICATION_WINDOW_S,
            NEVER_SEEN if would_have_seen else UNKNOWN_OUTCOME,
        )
        ledger.attempts[attempt_id] = attempt
    if attempt.outcome is None:
        attempt.waiters.append(pending)
    else:
        pending.callback(attempt.outcome)
    return pending


def _drop_expired(ledger: AttemptLedger, now: float) -> None:
    while ledger.attempts:
        attempt_id, attempt = next(iter(ledger.attempts.items()))
        if attempt.kept_until > now or attempt.outcome is None:
            return
        ledger.attempts.pop(attempt_id)


def _evict_answers(ledger: AttemptLedger, now: float) -> None:
    """Forget answers that are old or too many; their fate stays known."""
    while ledger.answer_expiries:
        kept_until, attempt_id = ledger.answer_expiries[0]
        if kept_until > now and ledger.kept_bytes <= MAX_KEPT_BYTES:
            return
        ledger.answer_expiries.popleft()
        attempt = ledger.attempts.get(attempt_id)
        if attempt is not None and isinstance(attempt.outcome, Reply):
            ledger.kept_bytes -= len(attempt.outcome.body)
            attempt.outcome = UNKNOWN_OUTCOME
