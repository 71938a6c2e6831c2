"""The fate of attempts, for senders that lost touch."""

from marjoramlead.ledger import ANSWER_LIFE_S, Ledger, ask, begin, settle
from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

REPLY = Reply(200, [], b'done')


def fate(ledger, attempt='a/1', sent_at=5.0, now=10.0):
    told = []
    ask(ledger, attempt, sent_at, now).addCallback(told.append)
    return told


def test_attempt_never_seen_is_barred_and_did_not_run():
    ledger = Ledger(0)
    assert fate(ledger)[0].verdict is Verdict.NOT_RUN
    assert begin(ledger, 'a/1', 11) is not None


def test_node_that_started_later_cannot_tell():
    ledger = Ledger(started_at=7)
    assert fate(ledger)[0].verdict is Verdict.MAY_HAVE_RUN


def test_running_attempt_is_told_when_it_ends():
    ledger = Ledger(0)
    begin(ledger, 'a/1', 9)
    told = fate(ledger)
    assert not told
    settle(ledger, 'a/1', REPLY, 11)
    assert told == [REPLY]


def test_answer_is_kept_for_a_while_and_its_fate_for_longer():
    ledger = Ledger(0)
    begin(ledger, 'a/1', 9)
    settle(ledger, 'a/1', REPLY, 10)
    assert fate(ledger) == [REPLY]
    begin(ledger, 'b/1', 11)
    settle(ledger, 'b/1', REPLY, 10 + ANSWER_LIFE_S + 1)
    assert fate(ledger)[0].verdict is Verdict.MAY_HAVE_RUN


def test_refused_attempt_is_forgotten():
    ledger = Ledger(0)
    begin(ledger, 'a/1', 9)
    refusal = Refusal(Reason.OVERLOAD, Verdict.NOT_RUN)
    settle(ledger, 'a/1', refusal, 9)
    assert begin(ledger, 'a/1', 10) is None


def test_attempt_that_is_known_does_not_begin_again():
    ledger = Ledger(0)
    begin(ledger, 'a/1', 9)
    again = begin(ledger, 'a/1', 10)
    assert again.verdict is Verdict.MAY_HAVE_RUN
