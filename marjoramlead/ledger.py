"""Outcomes of recent attempts, for duplicate suppression and lost answers.

A sender whose connection broke queries the outcome of its attempt over a new
connection. If the attempt has never arrived here, it is barred: a copy that
arrives later is refused. The sender may then safely offer the request to
another target, or answer its client that the request did not run.
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

# Longer than the lifetime of any request, so that a late copy of a barred
# attempt is still recognised.
DEDUPLICATION_WINDOW_S: Final = 30.0
# Limit on the total size of the answers kept for later queries.
MAX_KEPT_BYTES: Final = 4_000_000
# A sender that has lost its connection queries the outcome within its connect
# timeout.
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
    """Recent attempts at requests and their outcomes.

    Times are seconds on the node's monotonic clock.

    Attributes
    ----------
    started_at
        When this process started; it knows nothing of earlier attempts.
    attempts
        Attempts by id, the oldest first.
    answer_expiries
        Ids of attempts whose answers are kept, each with the time at which
        its answer is dropped, the earliest first.
    kept_bytes
        Total size of the kept answers.
    """

    started_at: float
    attempts: OrderedDict[str, _Attempt] = field(default_factory=OrderedDict)
    answer_expiries: deque[tuple[float, str]] = field(default_factory=deque)
    kept_bytes: int = 0


def register_attempt(
    ledger: AttemptLedger, attempt_id: str, now: float
) -> Refusal | None:
    """Register an attempt on arrival; refuse a duplicate or barred one.

    Returns
    -------
    None if the attempt may run, else the refusal.
    """
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
    """Store the outcome of an attempt, and answer pending queries for it.

    An attempt that was refused without running is dropped, so that its sender
    may offer it to this node again, unless its outcome was queried before.
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
    """Return the outcome of an attempt; bar one that has never arrived.

    Parameters
    ----------
    ledger
        Ledger of this node.
    attempt_id
        Identifies the request and the attempt at it.
    sent_at
        When the attempt was first sent, on this node's monotonic clock. For
        one sent before this process started, the outcome is unknown.
    now
        Current time on the node's monotonic clock.

    Returns
    -------
    A Deferred that fires once the outcome is known.
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
    """Drop expired answers, and the oldest beyond ``MAX_KEPT_BYTES``.

    A later query for such an attempt returns ``UNKNOWN_OUTCOME``.
    """
    while ledger.answer_expiries:
        kept_until, attempt_id = ledger.answer_expiries[0]
        if kept_until > now and ledger.kept_bytes <= MAX_KEPT_BYTES:
            return
        ledger.answer_expiries.popleft()
        attempt = ledger.attempts.get(attempt_id)
        if attempt is not None and isinstance(attempt.outcome, Reply):
            ledger.kept_bytes -= len(attempt.outcome.body)
            attempt.outcome = UNKNOWN_OUTCOME
