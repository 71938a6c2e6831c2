"""Outcomes of recent attempts, for duplicate suppression and lost answers.

A sender whose connection broke queries the outcome of its attempt over a new
connection. If the attempt has never arrived here, it is barred: a copy that
arrives later is refused. The sender may then safely offer the request to
another target, or answer its client that the request did not run.

That an attempt never arrived is only certain if this process would know of it.
A sender therefore names the last mark of the ledger that it had received when
it sent the attempt. Ages are not compared, because a query may wait for any
time in the buffers of a suspended node.
"""

import os
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from twisted.internet.defer import Deferred

from marjoramlead.bounded_keys import bounded_key
from marjoramlead.events import emit
from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'MAX_BARRED_ATTEMPTS',
    'AttemptLedger',
    'LedgerMark',
    'Outcome',
    'bar_attempt',
    'ledger_mark',
    'new_ledger',
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
# Most attempts that are barred at a time, of which only queries are known.
MAX_BARRED_ATTEMPTS: Final = 10_000
RUN_ID_BYTES: Final = 4

NEVER_SEEN: Final = Refusal(Reason.NEVER_SEEN, Verdict.NOT_RUN)
UNKNOWN_OUTCOME: Final = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN)


class LedgerMark(NamedTuple):
    """The position of a ledger at the time when its node sent the mark.

    Attributes
    ----------
    run
        Identifies the run of the node's process.
    number
        Number of attempts that it had registered.
    """

    run: str
    number: int


@dataclass(slots=True)
class _Attempt:
    number: int
    kept_until: float
    outcome: Outcome | None = None
    waiters: list[Deferred[Outcome]] = field(default_factory=list)


@dataclass(slots=True)
class AttemptLedger:
    """Recent attempts at requests and their outcomes.

    Times are seconds on the node's monotonic clock.

    Attributes
    ----------
    run
        Identifies the run of this process; it knows nothing of attempts that
        earlier ones have received.
    attempts
        Attempts by id, the oldest first; by a digest of a long id.
    answer_expiries
        Ids of attempts whose answers are kept, each with the time at which
        its answer is dropped, the earliest first.
    kept_bytes
        Total size of the kept answers.
    registered
        Number of attempts registered so far, which are numbered from 1.
    forgotten
        Highest number of an attempt that has expired.
    barred
        Number of attempts that have never arrived and are barred.
    max_barred
        Maximum of these.
    unbarred
        Number of attempts that were not barred, because of this limit.
    """

    run: str
    attempts: OrderedDict[str, _Attempt] = field(default_factory=OrderedDict)
    answer_expiries: deque[tuple[float, str]] = field(default_factory=deque)
    kept_bytes: int = 0
    registered: int = 0
    forgotten: int = 0
    barred: int = 0
    max_barred: float = MAX_BARRED_ATTEMPTS
    unbarred: int = 0


def new_ledger() -> AttemptLedger:
    """Return the ledger of a process that has just started.

    The identifier of the run holds the time, too, because a host that has just
    started may have little randomness.
    """
    random = os.urandom(RUN_ID_BYTES).hex()
    return AttemptLedger(f'{time.time_ns():x}.{random}')


def ledger_mark(ledger: AttemptLedger) -> LedgerMark:
    """Return the present position of the ledger."""
    return LedgerMark(ledger.run, ledger.registered)


def register_attempt(
    ledger: AttemptLedger, attempt_id: str, now: float
) -> Refusal | None:
    """Register an attempt on arrival; refuse a duplicate or barred one.

    Returns
    -------
    None if the attempt may run, else the refusal.
    """
    _drop_expired(ledger, now)
    key = bounded_key(attempt_id)
    attempt = ledger.attempts.get(key)
    if attempt is None:
        _add_attempt(ledger, key, now)
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
    key = bounded_key(attempt_id)
    attempt = ledger.attempts.get(key)
    if attempt is None:
        return
    attempt.outcome = outcome
    waiters = attempt.waiters
    attempt.waiters = []
    for waiter in waiters:
        waiter.callback(outcome)
    if isinstance(outcome, Reply):
        ledger.kept_bytes += _size(outcome)
        ledger.answer_expiries.append((now + ANSWER_RETENTION_S, key))
        _evict_answers(ledger, now)
    elif outcome.verdict is Verdict.NOT_RUN and not waiters:
        ledger.attempts.pop(key)


def query_outcome(
    ledger: AttemptLedger,
    attempt_id: str,
    mark: LedgerMark | None,
    now: float,
) -> Deferred[Outcome]:
    """Return the outcome of an attempt; bar one that has never arrived.

    An attempt that is not known here may have run if an earlier process may
    have received it, if this one may have forgotten it, or if it is not barred.

    Parameters
    ----------
    ledger
        Ledger of this node.
    attempt_id
        Identifies the request and the attempt at it.
    mark
        Last mark of this node that the sender had received when it sent the
        attempt, or that acknowledged it; None if it had received none.
    now
        Current time on the node's monotonic clock.

    Returns
    -------
    A Deferred that fires once the outcome is known.
    """
    bar_attempt(ledger, attempt_id, now)
    pending: Deferred[Outcome] = Deferred()
    attempt = ledger.attempts.get(bounded_key(attempt_id))
    if attempt is None:
        pending.callback(UNKNOWN_OUTCOME)
    elif attempt.outcome is None:
        attempt.waiters.append(pending)
    elif attempt.outcome is NEVER_SEEN and not _would_know(ledger, mark):
        pending.callback(UNKNOWN_OUTCOME)
    else:
        pending.callback(attempt.outcome)
    return pending


def bar_attempt(ledger: AttemptLedger, attempt_id: str, now: float) -> None:
    """Refuse an attempt if it arrives later; one that has arrived goes on.

    Beyond ``max_barred`` attempts, it is not barred.
    """
    _drop_expired(ledger, now)
    key = bounded_key(attempt_id)
    if key in ledger.attempts:
        return
    if ledger.barred >= ledger.max_barred:
        ledger.unbarred += 1
        emit('attempt_not_barred', attempt=key, barred=ledger.barred)
        return
    ledger.barred += 1
    _add_attempt(ledger, key, now).outcome = NEVER_SEEN


def _would_know(ledger: AttemptLedger, mark: LedgerMark | None) -> bool:
    """Return whether all attempts sent after a mark are still known."""
    if mark is None or mark.run != ledger.run:
        return False
    return mark.number >= ledger.forgotten


def _add_attempt(ledger: AttemptLedger, key: str, now: float) -> _Attempt:
    ledger.registered += 1
    attempt = _Attempt(ledger.registered, now + DEDUPLICATION_WINDOW_S)
    ledger.attempts[key] = attempt
    return attempt


def _drop_expired(ledger: AttemptLedger, now: float) -> None:
    while ledger.attempts:
        key, attempt = next(iter(ledger.attempts.items()))
        if attempt.kept_until > now or attempt.outcome is None:
            return
        ledger.attempts.pop(key)
        ledger.barred -= attempt.outcome is NEVER_SEEN
        ledger.forgotten = max(ledger.forgotten, attempt.number)


def _size(reply: Reply) -> int:
    names = sum(len(name) for name, _raw in reply.headers)
    values = sum(len(raw) for _name, raw in reply.headers)
    return names + values + len(reply.body)


def _evict_answers(ledger: AttemptLedger, now: float) -> None:
    """Drop expired answers, and the oldest beyond ``MAX_KEPT_BYTES``.

    A later query for such an attempt returns ``UNKNOWN_OUTCOME``.
    """
    while ledger.answer_expiries:
        kept_until, key = ledger.answer_expiries[0]
        if kept_until > now and ledger.kept_bytes <= MAX_KEPT_BYTES:
            return
        ledger.answer_expiries.popleft()
        attempt = ledger.attempts.get(key)
        if attempt is not None and isinstance(attempt.outcome, Reply):
            ledger.kept_bytes -= _size(attempt.outcome)
            attempt.outcome = UNKNOWN_OUTCOME
