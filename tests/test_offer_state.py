"""Limits on the offers of one request, and its final outcome."""

import pytest

from marjoramlead.offer_state import (
    MAX_OFFERS,
    MAX_OVERLOAD_REFUSALS,
    OfferState,
    are_offers_exhausted,
    final_outcome,
    record_refused_offer,
    record_reply,
)
from marjoramlead.upstream import Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

OVERLOADED = Refusal(Reason.OVERLOAD, Verdict.NOT_RUN, 0.4)
UNCERTAIN = Refusal(Reason.SILENT, Verdict.MAY_HAVE_RUN, 0, reached_target=True)
FAILED = Reply(500, [], b'')


@pytest.mark.parametrize('limit', [1, MAX_OVERLOAD_REFUSALS])
def test_offers_end_after_some_refusals_for_overload(limit):
    offers = OfferState(limit)
    for number in range(limit):
        assert not are_offers_exhausted(offers)
        record_refused_offer(offers, f't{number}', OVERLOADED)
    assert are_offers_exhausted(offers)


def test_number_of_offers_is_limited():
    offers = OfferState(count=MAX_OFFERS)
    assert are_offers_exhausted(offers)


def test_response_takes_precedence_and_then_doubt():
    offers = OfferState()
    assert final_outcome(offers).reason is Reason.NO_TARGET
    record_refused_offer(offers, 't1', OVERLOADED)
    assert final_outcome(offers) == OVERLOADED
    record_refused_offer(offers, 't2', UNCERTAIN)
    record_refused_offer(offers, 't1', OVERLOADED)
    assert final_outcome(offers) is UNCERTAIN
    record_reply(offers, 't3', FAILED)
    assert final_outcome(offers) is FAILED
    assert offers.possible_runs == 2


def test_earliest_time_of_the_targets_is_passed_on():
    offers = OfferState()
    for after in (0.9, 0.3, 0.6):
        refusal = OVERLOADED._replace(retry_after=after)
        record_refused_offer(offers, 't1', refusal)
    assert final_outcome(offers).retry_after == 0.3


def test_target_that_had_no_room_may_be_offered_the_request_again():
    offers = OfferState()
    no_room = Refusal(Reason.NO_ROOM, Verdict.NOT_RUN, 0.05)
    record_refused_offer(offers, 't1', no_room)
    record_refused_offer(offers, 't2', OVERLOADED)
    assert offers.excluded_ids == {'t2'}
