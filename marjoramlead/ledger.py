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

__all__ = ('Ledger', 'Outcome', 'ask', 'begin', 'settle')

Outcome = Reply | Refusal

# Longer than any request lives: a late copy of a barred one is still known.
MEMORY_S: Final = 30.0
# Bytes of answers kept for senders that ask again.
MAX_KEPT_BYTES: Final = 4_000_000
# How long an answer is kept: a sender asks within its connect limit.
ANSWER_LIFE_S: Final = 3.0

NEVER_SEEN: Final = Refusal(Reason.NEVER_SEEN, Verdict.NOT_RUN)
UNKNOWN: Final = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN)


@dataclass(slots=True)
class _Page:
    until: float
    outcome: Outcome | None = None
    askers: list[Deferred[Outcome]] = field(default_factory=list)


@dataclass(slots=True)
class Ledger:
    """Attempts of requests by id, the oldest first.

    Attributes
    ----------
    started_at
        When this process began to remember.
    answers
        Ids of requests whose answers are kept, with the time until when.
    """

    started_at: float
    pages: OrderedDict[str, _Page] = field(default_factory=OrderedDict)
    answers: deque[tuple[float, str]] = field(default_factory=deque)
    kept_bytes: int = 0


def begin(ledger: Ledger, attempt_id: str, now: float) -> Refusal | None:
    """Note that a request has arrived; refuse one that must not run."""
    _drop_old(ledger, now)
    page = ledger.pages.get(attempt_id)
    if page is None:
        ledger.pages[attempt_id] = _Page(now + MEMORY_S)
        return None
    if page.outcome is NEVER_SEEN:
        return Refusal(Reason.DUPLICATE, Verdict.NOT_RUN, 0)
    return Refusal(Reason.DUPLICATE, Verdict.MAY_HAVE_RUN, 0)


def settle(
    ledger: Ledger,
    attempt_id: str,
    outcome: Outcome,
    now: float,
) -> None:
    """Note how a request ended, and tell those who asked.

    One that was refused unrun is forgotten, so that its sender may offer it
    here again.
    """
    page = ledger.pages.get(attempt_id)
    if page is None:
        return
    page.outcome = outcome
    askers = page.askers
    page.askers = []
    for asker in askers:
        asker.callback(outcome)
    if isinstance(outcome, Reply):
        ledger.kept_bytes += len(outcome.body)
        ledger.answers.append((now + ANSWER_LIFE_S, attempt_id))
        _drop_answers(ledger, now)
    elif outcome.verdict is Verdict.NOT_RUN and not askers:
        ledger.pages.pop(attempt_id)


def ask(
    ledger: Ledger,
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
    fate: Deferred[Outcome] = Deferred()
    page = ledger.pages.get(attempt_id)
    if page is None:
        knows = sent_at > ledger.started_at
        page = _Page(now + MEMORY_S, NEVER_SEEN if knows else UNKNOWN)
        ledger.pages[attempt_id] = page
    if page.outcome is None:
        page.askers.append(fate)
    else:
        fate.callback(page.outcome)
    return fate


def _drop_old(ledger: Ledger, now: float) -> None:
    while ledger.pages:
        attempt_id, page = next(iter(ledger.pages.items()))
        if page.until > now or page.outcome is None:
            return
        ledger.pages.pop(attempt_id)


def _drop_answers(ledger: Ledger, now: float) -> None:
    """Forget answers that are old or too many; their fate stays known."""
    while ledger.answers:
        until, attempt_id = ledger.answers[0]
        if until > now and ledger.kept_bytes <= MAX_KEPT_BYTES:
            return
        ledger.answers.popleft()
        page = ledger.pages.get(attempt_id)
        if page is not None and isinstance(page.outcome, Reply):
            ledger.kept_bytes -= len(page.outcome.body)
            page.outcome = UNKNOWN
