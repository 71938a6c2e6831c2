from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from marjoramlead.key_replicas import (
    ClaimOutcome,
    KeyLedger,
    Vote,
    count_votes,
    release_key,
    replicas_of,
    update_hosts,
    vote_on_claim,
)

MEMORY_S = 60.0
ALL = tuple(f'h-{number}' for number in range(6))
LISTED = 4

host = st.sampled_from(ALL)
keys = st.sampled_from(['a', 'b'])


class ReplicaMachine(RuleBasedStateMachine):
    """Claims by any host, cut off from some, while hosts come and go.

    Hosts hear of a list late, and in any order; one list follows the next
    only after a key's memory, and differs by one host.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = MEMORY_S * 2
        self.listed = ALL[:LISTED]
        self.changed_at = 0
        self.ledgers = {}
        self.granted = {}
        self.count = 0
        for each in ALL:
            self.ledgers[each] = KeyLedger(each)
            self.hear(each, 0)

    def hear(self, each, now):
        update_hosts(self.ledgers[each], tuple(sorted(self.listed)), now)

    @rule(
        key=keys,
        runner=host,
        cut=st.sets(host, max_size=2),
        fails=st.booleans(),
    )
    def claim(self, key, runner, cut, fails):
        self.count += 1
        holder = f'{runner}/{self.count}'
        replicas = replicas_of(self.ledgers[runner].hosts, key)
        votes = []
        for each in replicas:
            reached = each == runner or each not in cut
            ledger = self.ledgers[each]
            answer = vote_on_claim(ledger, key, holder, self.now, MEMORY_S)
            votes.append(answer if reached else None)
            if not reached:
                release_key(ledger, key, holder)
        outcome = count_votes(votes, len(replicas))
        if outcome is ClaimOutcome.GRANTED and not fails:
            self.note_run(key)
            return
        for each in replicas:
            release_key(self.ledgers[each], key, holder)

    def note_run(self, key):
        last = self.granted.get(key)
        assert last is None or last + MEMORY_S <= self.now
        self.granted[key] = self.now

    @rule(each=host)
    def restart(self, each):
        self.ledgers[each] = KeyLedger(each)
        self.hear(each, self.now)

    @rule(each=host)
    def hear_list(self, each):
        self.hear(each, self.now)

    @rule(gone=host, new=host)
    def change_list(self, gone, new):
        if self.changed_at + MEMORY_S > self.now:
            return
        for each in ALL:
            self.hear(each, self.now)
        self.now += MEMORY_S
        listed = set(self.listed) - {gone} | {new}
        if len(listed) >= LISTED - 1 and len(listed ^ set(self.listed)) == 1:
            self.listed = tuple(listed)
            self.changed_at = self.now

    @rule(seconds=st.sampled_from([0.1, 1.0, 20.0, 61.0]))
    def wait(self, seconds):
        self.now += seconds


TestReplicas = ReplicaMachine.TestCase


def test_majority_of_three_is_two():
    assert count_votes([Vote.GRANTED], 3) is ClaimOutcome.UNDECIDED
    assert count_votes([Vote.GRANTED, Vote.GRANTED], 3) is ClaimOutcome.GRANTED
    assert count_votes([None, Vote.UNKNOWN], 3) is ClaimOutcome.NO_MAJORITY
    assert count_votes([Vote.GRANTED, Vote.HELD], 3) is ClaimOutcome.HELD
    assert count_votes([Vote.GRANTED], 1) is ClaimOutcome.GRANTED


def test_fresh_keeper_does_not_vote_but_records():
    ledger = KeyLedger('h-0')
    update_hosts(ledger, ('h-0',), 100)
    assert vote_on_claim(ledger, 'k', 'x', 101, MEMORY_S) is Vote.UNKNOWN
    assert vote_on_claim(ledger, 'k', 'y', 102, MEMORY_S) is Vote.HELD


def test_released_key_is_free_and_no_other():
    ledger = KeyLedger('h-0')
    update_hosts(ledger, ('h-0',), 0)
    assert vote_on_claim(ledger, 'k', 'x', 100, MEMORY_S) is Vote.GRANTED
    release_key(ledger, 'k', 'y')
    assert vote_on_claim(ledger, 'k', 'y', 100, MEMORY_S) is Vote.HELD
    release_key(ledger, 'k', 'x')
    assert vote_on_claim(ledger, 'k', 'y', 100, MEMORY_S) is Vote.GRANTED


def test_key_is_forgotten_after_its_memory():
    ledger = KeyLedger('h-0')
    update_hosts(ledger, ('h-0',), 0)
    assert vote_on_claim(ledger, 'k', 'x', 100, MEMORY_S) is Vote.GRANTED
    assert vote_on_claim(ledger, 'k', 'y', 159, MEMORY_S) is Vote.HELD
    assert vote_on_claim(ledger, 'k', 'z', 160, MEMORY_S) is Vote.GRANTED
