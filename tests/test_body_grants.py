"""How bodies of several senders share the link of a host."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from marjoramlead.body_grants import (
    MAX_BACKLOG_S,
    MIN_WINDOW_BYTES,
    BodyGrants,
    add_body,
    arrival_time,
    grant_bytes,
    link_window,
    record_received,
    remove_body,
)

NARROW_LINK = 625_000  # bytes a second, 5 Mbit/s
WIDE_LINK = 125_000_000


def add_recorded(grants, number, length, granted, window=MIN_WINDOW_BYTES):
    """Add a body, and record in ``granted`` how much of it may be sent."""

    def on_granted(end):
        granted[number] = end

    add_body(grants, number, length, window, on_granted)


def start_bodies(count, length=60_000, link=NARROW_LINK):
    grants, granted = BodyGrants(link), {}
    for number in range(count):
        add_recorded(grants, number, length, granted)
    grant_bytes(grants)
    return grants, granted


def test_bodies_on_the_way_do_not_fill_a_narrow_link():
    _grants, granted = start_bodies(9)
    assert sum(granted.values()) <= NARROW_LINK * MAX_BACKLOG_S


def test_oldest_body_is_granted_first():
    _grants, granted = start_bodies(9)
    assert granted[0] == MIN_WINDOW_BYTES
    assert 8 not in granted


def test_wide_link_is_shared_by_many_bodies():
    _grants, granted = start_bodies(9, link=WIDE_LINK)
    assert set(granted.values()) == {MIN_WINDOW_BYTES}
    assert len(granted) == 9


def test_body_of_a_sender_with_a_wide_link_is_granted_at_once():
    grants, granted = BodyGrants(WIDE_LINK), {}
    add_recorded(grants, 0, 300_000, granted, link_window(WIDE_LINK))
    grant_bytes(grants)
    assert granted[0] == 300_000


def test_bytes_of_a_body_that_ends_early_are_granted_to_the_next():
    grants, granted = start_bodies(3)
    remove_body(grants, 0)
    grant_bytes(grants)
    assert granted[2] > 0


def test_arrival_time_counts_the_bodies_ahead():
    grants, _granted = start_bodies(2, length=62_500)
    record_received(grants, 0, 31_250)
    assert arrival_time(grants, 62_500, 10) == 10 + 0.05 + 0.1 + 0.1


class SharedLink(RuleBasedStateMachine):
    """Bodies that arrive, end early or receive more than was granted."""

    def __init__(self):
        super().__init__()
        self.grants = BodyGrants(NARROW_LINK)
        self.lengths = {}
        self.granted = {}
        self.received = {}

    @rule(length=st.integers(0, 300_000))
    def accept(self, length):
        number = len(self.lengths)
        self.lengths[number] = length
        self.granted[number] = 0
        self.received[number] = 0
        add_recorded(self.grants, number, length, self.granted)
        grant_bytes(self.grants)

    @precondition(lambda self: self.grants.bodies)
    @rule(share=st.floats(0, 1), picked=st.randoms())
    def deliver(self, share, picked):
        number = picked.choice(list(self.grants.bodies))
        on_the_way = self.granted[number] - self.received[number]
        self.received[number] += round(on_the_way * share)
        record_received(self.grants, number, self.received[number])
        if self.received[number] == self.lengths[number]:
            remove_body(self.grants, number)
        grant_bytes(self.grants)

    @precondition(lambda self: self.grants.bodies)
    @rule(picked=st.randoms())
    def abandon(self, picked):
        remove_body(self.grants, picked.choice(list(self.grants.bodies)))
        grant_bytes(self.grants)

    @invariant()
    def link_is_not_filled(self):
        on_the_way = sum(
            self.granted[number] - self.received[number]
            for number in self.grants.bodies
        )
        assert on_the_way <= max(MIN_WINDOW_BYTES, NARROW_LINK * MAX_BACKLOG_S)

    @invariant()
    def no_body_is_granted_beyond_its_length(self):
        for number, end in self.granted.items():
            assert end <= self.lengths[number]

    def teardown(self):
        while self.grants.bodies:
            number = next(iter(self.grants.bodies))
            if self.granted[number] == self.received[number]:
                assert self.received[number] == self.lengths[number]
            self.received[number] = self.granted[number]
            record_received(self.grants, number, self.received[number])
            if self.received[number] == self.lengths[number]:
                remove_body(self.grants, number)
            grant_bytes(self.grants)


TestSharedLink = SharedLink.TestCase
