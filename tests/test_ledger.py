"""Queries for the outcomes of attempts, after a lost connection."""

import pytest

from marjoramlead.ledger import (
    ANSWER_RETENTION_S,
    DEDUPLICATION_WINDOW_S,
    AttemptLedger,
    LedgerMark,
    ledger_mark,
    query_outcome,
    record_outcome,
    register_attempt,
)
from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

REPLY = Reply(200, [], b'done')


EARLIEST = LedgerMark('run', 0)


def query(ledger, attempt='a/1', mark=EARLIEST, now=10.0):
    results = []
    query_outcome(ledger, attempt, mark, now).addCallback(results.append)
    return results


def test_attempt_that_never_arrived_is_barred_and_did_not_run():
    ledger = AttemptLedger('run')
    assert query(ledger)[0].verdict is Verdict.NOT_RUN
    assert register_attempt(ledger, 'a/1', 11) is not None


@pytest.mark.parametrize('mark', [None, LedgerMark('earlier run', 0)])
def test_outcome_is_unknown_if_an_earlier_run_may_have_got_the_attempt(mark):
    ledger = AttemptLedger('run')
    assert query(ledger, mark=mark)[0].verdict is Verdict.MAY_HAVE_RUN


# TWICE: the first answer was stored, and repeated to later queries.
def test_doubt_of_one_query_does_not_depend_on_an_earlier_one():
    ledger = AttemptLedger('run')
    assert query(ledger)[0].verdict is Verdict.NOT_RUN
    assert query(ledger, mark=None)[0].verdict is Verdict.MAY_HAVE_RUN


# TWICE: an attempt that had run was forgotten before its request had ended.
def test_attempt_that_has_run_is_not_denied_after_it_is_forgotten():
    ledger = AttemptLedger('run')
    mark = ledger_mark(ledger)
    register_attempt(ledger, 'a/1', 1)
    record_outcome(ledger, 'a/1', REPLY, 2)
    late = 1 + DEDUPLICATION_WINDOW_S
    register_attempt(ledger, 'b/1', late)
    assert 'a/1' not in ledger.attempts
    assert query(ledger, 'a/1', mark, late)[0].verdict is Verdict.MAY_HAVE_RUN


def test_attempt_sent_after_the_last_forgotten_one_is_denied():
    ledger = AttemptLedger('run')
    register_attempt(ledger, 'a/1', 1)
    record_outcome(ledger, 'a/1', REPLY, 2)
    mark = ledger_mark(ledger)
    late = 1 + DEDUPLICATION_WINDOW_S
    register_attempt(ledger, 'b/1', late)
    assert query(ledger, 'c/1', mark, late)[0].verdict is Verdict.NOT_RUN


def test_query_for_a_running_attempt_waits_for_its_end():
    ledger = AttemptLedger('run')
    register_attempt(ledger, 'a/1', 9)
    results = query(ledger)
    assert not results
    record_outcome(ledger, 'a/1', REPLY, 11)
    assert results == [REPLY]


def test_attempt_is_remembered_longer_than_its_answer():
    ledger = AttemptLedger('run')
    register_attempt(ledger, 'a/1', 9)
    record_outcome(ledger, 'a/1', REPLY, 10)
    assert query(ledger) == [REPLY]
    register_attempt(ledger, 'b/1', 11)
    record_outcome(ledger, 'b/1', REPLY, 10 + ANSWER_RETENTION_S + 1)
    assert query(ledger)[0].verdict is Verdict.MAY_HAVE_RUN


def test_refused_attempt_may_be_offered_again():
    ledger = AttemptLedger('run')
    register_attempt(ledger, 'a/1', 9)
    refusal = Refusal(Reason.OVERLOAD, Verdict.NOT_RUN)
    record_outcome(ledger, 'a/1', refusal, 9)
    assert register_attempt(ledger, 'a/1', 10) is None


def test_duplicate_attempt_is_refused():
    ledger = AttemptLedger('run')
    register_attempt(ledger, 'a/1', 9)
    duplicate = register_attempt(ledger, 'a/1', 10)
    assert duplicate.verdict is Verdict.MAY_HAVE_RUN


def test_number_of_barred_attempts_is_limited():
    ledger = AttemptLedger('run', max_barred=2)
    verdicts = [query(ledger, name)[0].verdict for name in ('a', 'b', 'c')]
    assert verdicts == [
        Verdict.NOT_RUN,
        Verdict.NOT_RUN,
        Verdict.MAY_HAVE_RUN,
    ]
    assert ledger.unbarred == 1
    assert query(ledger, 'a')[0].verdict is Verdict.NOT_RUN
    late = 10 + DEDUPLICATION_WINDOW_S
    register_attempt(ledger, 'd/1', late)
    mark = ledger_mark(ledger)
    assert query(ledger, 'e', mark, late)[0].verdict is Verdict.NOT_RUN


def test_queries_alone_let_barred_attempts_expire():
    ledger = AttemptLedger('run')
    for number in range(100):
        query(ledger, str(number), now=number)
    assert len(ledger.attempts) <= DEDUPLICATION_WINDOW_S


# Memory: 500 queries with ids of 120 KB took 60 MB for 30 s.
def test_long_ids_are_told_apart_but_not_kept():
    long = 'x' * 9_999
    ledger = AttemptLedger('run')
    for letter in 'ab':
        assert register_attempt(ledger, f'{long}{letter}', 1) is None
    assert register_attempt(ledger, f'{long}a', 1) is not None
    assert max(map(len, ledger.attempts)) < 200
