"""Placing by reports that are old, of targets of unlike speed."""

from random import Random

from marjoramlead.mesh_state import TargetEntry
from marjoramlead.placement import (
    Offer,
    Outlooks,
    note_failure,
    note_outcome,
    note_report,
    note_sent,
    rank_targets,
)
from marjoramlead.target_queue import LoadReport

NEAR = Offer('a', 't0', 0)


def target(name, data_centre='a'):
    return TargetEntry(
        name, 'web', (f'10.0.0.{name[1:]}', 1), data_centre, 4, False, 0, 0, 0
    )  # fmt: skip


def ranked(outlooks, targets, offer=NEAR, now=1.0):
    return [
        each.target_id for each in rank_targets(outlooks, targets, offer, now)
    ]


def test_target_that_never_reported_gets_work():
    outlooks = Outlooks(Random(1))
    note_report(outlooks.of('t1'), LoadReport(0, 0.5, 0.2), 1.0)
    assert ranked(outlooks, [target('t1'), target('t2')])[0] == 't2'


def test_target_that_joined_is_tried_though_others_are_quick():
    outlooks = Outlooks(Random(1))
    both = [target('t1'), target('t2')]
    note_report(outlooks.of('t1'), LoadReport(4, 0, 0.03), 1.0)
    assert ranked(outlooks, both)[0] == 't2'
    note_sent(outlooks.of('t2'))
    assert ranked(outlooks, both)[0] == 't1'
    note_report(outlooks.of('t2'), LoadReport(4, 0, 0), 1.0)
    assert ranked(outlooks, both)[0] == 't2'
    note_report(outlooks.of('t2'), LoadReport(0, 0.2, 0), 1.0)
    assert ranked(outlooks, both)[0] == 't1'


def test_host_that_cannot_be_reached_comes_last_for_a_while():
    outlooks = Outlooks(Random(1))
    note_failure(outlooks.of('t1'), 1.0)
    note_report(outlooks.of('t2'), LoadReport(0, 0.9, 0.2), 1.0)
    both = [target('t1'), target('t2')]
    assert ranked(outlooks, both)[0] == 't2'
    assert ranked(outlooks, both, now=5.0)[0] == 't1'


def test_large_body_stays_in_its_data_centre_unless_the_wait_is_long():
    outlooks = Outlooks(Random(1))
    upload = Offer('a', 't0', 60_000)
    far = target('t2', 'b')
    note_report(outlooks.of('t2'), LoadReport(4, 0, 0.1), 1.0)
    note_report(outlooks.of('t1'), LoadReport(0, 0.3, 0.1), 1.0)
    assert ranked(outlooks, [target('t1'), far], upload)[0] == 't1'
    note_report(outlooks.of('t1'), LoadReport(0, 2.0, 0.1), 1.0)
    assert ranked(outlooks, [target('t1'), far], upload)[0] == 't2'


def test_senders_spread_what_they_send_between_reports():
    outlooks = Outlooks(Random(1))
    targets = [target(f't{number}') for number in range(1, 5)]
    for each in targets:
        note_report(outlooks.of(each.target_id), LoadReport(2, 0, 0.1), 1.0)
    counts = dict.fromkeys((each.target_id for each in targets), 0)
    for _each in range(40):
        first = ranked(outlooks, targets)[0]
        note_sent(outlooks.of(first))
        counts[first] += 1
    assert max(counts.values()) - min(counts.values()) <= 4


def test_target_that_turns_requests_away_is_avoided_then_tried_again():
    outlooks = Outlooks(Random(1))
    both = [target('t1'), target('t2')]
    for each in both:
        note_report(outlooks.of(each.target_id), LoadReport(2, 0, 0.1), 1.0)
    for number in range(20):
        shed = outlooks.of('t1')
        note_outcome(shed, 1.0, has_failed=bool(number % 2))
    note_report(outlooks.of('t2'), LoadReport(0, 0.2, 0.1), 1.0)
    assert ranked(outlooks, both)[0] == 't2'
    for each in both:
        note_report(outlooks.of(each.target_id), LoadReport(2, 0, 0.1), 12.0)
    note_sent(outlooks.of('t2'))
    note_sent(outlooks.of('t2'))
    assert ranked(outlooks, both, now=12.0)[0] == 't1'
