"""Queries for the outcomes of attempts, after a lost connection."""

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


def query(ledger, attempt='a/1', sent_at=5.0, now=10.0):
    results = []
    query_outcome(ledger, attempt, sent_at, now).addCallback(results.append)
    return results


def test_attempt_that_never_arrived_is_barred_and_did_not_run():
    ledger = AttemptLedger(0)
    assert query(ledger)[0].verdict is Verdict.NOT_RUN
    assert register_attempt(ledger, 'a/1', 11) is not None


def test_outcome_is_unknown_if_the_node_started_after_the_attempt():
    ledger = AttemptLedger(started_at=7)
    assert query(ledger)[0].verdict is Verdict.MAY_HAVE_RUN


def test_query_for_a_running_attempt_waits_for_its_end():
    ledger = AttemptLedger(0)
    register_attempt(ledger, 'a/1', 9)
    results = query(ledger)
    assert not results
    record_outcome(ledger, 'a/1', REPLY, 11)
    assert results == [REPLY]


def test_attempt_is_remembered_longer_than_its_answer():
    ledger = AttemptLedger(0)
    register_attempt(ledger, 'a/1', 9)
    record_outcome(ledger, 'a/1', REPLY, 10)
    assert query(ledger) == [REPLY]
    register_attempt(ledger, 'b/1', 11)
    record_outcome(ledger, 'b/1', REPLY, 10 + ANSWER_RETENTION_S + 1)
    assert query(ledger)[0].verdict is Verdict.MAY_HAVE_RUN


def test_refused_attempt_may_be_offered_again():
    ledger = AttemptLedger(0)
    register_attempt(ledger, 'a/1', 9)
    refusal = Refusal(Reason.OVERLOAD, Verdict.NOT_RUN)
    record_outcome(ledger, 'a/1', refusal, 9)
    assert register_attempt(ledger, 'a/1', 10) is None


def test_duplicate_attempt_is_refused():
    ledger = AttemptLedger(0)
    register_attempt(ledger, 'a/1', 9)
    duplicate = register_attempt(ledger, 'a/1', 10)
    assert duplicate.verdict is Verdict.MAY_HAVE_RUN
