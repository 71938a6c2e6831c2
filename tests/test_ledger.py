"""The fate of attempts, for senders that lost touch."""

from marjoramlead.ledger import (
    ANSWER_RETENTION_S,
    AttemptLedger,
    query_outcome,
    record_outcome,
    register_attempt,
)
from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

REPLY = Reply(200, [], b'done')


def queried(ledger, attempt='a/1', sent_at=5.0, now=10.0):
    results = []
    query_outcome(ledger, attempt, sent_at, now).addCallback(results.append)
    return results


def test_attempt_never_seen_is_barred_and_did_not_run():
    ledger = AttemptLedger(0)
    assert queried(ledger)[0].verdict is Verdict.NOT_RUN
    assert register_attempt(ledger, 'a/1', 11) is not None


def test_node_that_started_later_cannot_tell():
    ledger = AttemptLedger(started_at=7)
    assert queried(ledger)[0].verdict is Verdict.MAY_HAVE_RUN


def test_running_attempt_is_told_when_it_ends():
    ledger = AttemptLedger(0)
    register_attempt(ledger, 'a/1', 9)
    results = queried(ledger)
    assert not results
    record_outcome(ledger, 'a/1', REPLY, 11)
    assert results == [REPLY]


def test_answer_is_kept_for_a_while_and_its_fate_for_longer():
    ledger = AttemptLedger(0)
    register_attempt(ledger, 'a/1', 9)
    record_outcome(ledger, 'a/1', REPLY, 10)
    assert queried(ledger) == [REPLY]
    register_attempt(ledger, 'b/1', 11)
    record_outcome(ledger, 'b/1', REPLY, 10 + ANSWER_RETENTION_S + 1)
    assert queried(ledger)[0].verdict is Verdict.MAY_HAVE_RUN


def test_refused_attempt_is_forgotten():
    ledger = AttemptLedger(0)
    register_attempt(ledger, 'a/1', 9)
    refusal = Refusal(Reason.OVERLOAD, Verdict.NOT_RUN)
    record_outcome(ledger, 'a/1', refusal, 9)
    assert register_attempt(ledger, 'a/1', 10) is None


def test_attempt_that_is_known_does_not_begin_again():
    ledger = AttemptLedger(0)
    register_attempt(ledger, 'a/1', 9)
    again = register_attempt(ledger, 'a/1', 10)
    assert again.verdict is Verdict.MAY_HAVE_RUN
