"""The times that refused clients are told to return at.

A tenth of a target's slots is reserved for refused clients that return when
they were told to. A time after the client's deadline can't be used by anyone.
"""

from marjoramlead.offer_state import (
    OfferState,
    final_outcome,
    record_refused_offer,
)
from marjoramlead.queue_estimates import MIN_RETRY_AFTER_S
from marjoramlead.target_queue import (
    QueueEntry,
    TargetQueue,
    admit,
    remove_running,
    start_ready,
)
from marjoramlead.verdict import Reason, Refusal, Verdict

SLOTS = 6
WORK_S = 0.12
ARRIVALS_PER_S = 110
SECONDS = 4
OBJECTIVE_S = 0.4
TIMEOUT_S = 1.5


def refuse_under_overload():
    """Return the times and the Retry-After times of the refused clients."""
    queue = TargetQueue(slots=SLOTS)
    queue.statistics.service_times['book'] = WORK_S
    ends: list[tuple[float, int]] = []
    refused: list[tuple[float, float]] = []
    for number in range(SECONDS * ARRIVALS_PER_S):
        now = number / ARRIVALS_PER_S
        while ends and ends[0][0] <= now:
            remove_running(queue, ends.pop(0)[1])
        started, _dropped = start_ready(queue, now)
        ends.extend((now + WORK_S, entry.number) for entry in started)
        entry = QueueEntry(
            number, 'id', 'book', 1, now + OBJECTIVE_S, now + TIMEOUT_S
        )
        admitted = admit(queue, entry, now, may_wait=True)
        if isinstance(admitted, Refusal):
            refused.append((now, admitted.retry_after))
        elif admitted:
            ends.append((now + WORK_S, number))
    return refused


def test_some_refused_clients_can_return_in_each_second_of_an_overload():
    refused = refuse_under_overload()
    usable = [
        sum(
            second <= at < second + 1 and after + WORK_S <= TIMEOUT_S
            for at, after in refused
        )
        for second in range(SECONDS)
    ]
    assert all(usable), usable


def test_client_is_told_the_time_that_the_target_has_reserved():
    # A target without a free slot would have let the request wait, but has
    # refused it by the time it was asked to.
    offers = OfferState()
    no_room = Refusal(Reason.NO_ROOM, Verdict.NOT_RUN, MIN_RETRY_AFTER_S)
    overloaded = Refusal(Reason.OVERLOAD, Verdict.NOT_RUN, 1.2)
    record_refused_offer(offers, 't1', no_room)
    record_refused_offer(offers, 't1', overloaded)
    assert final_outcome(offers) == overloaded
