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

KEY_MEMORY_S = 60.0
ALL_HOSTS = tuple(f'h-{number}' for number in range(6))
LISTED_COUNT = 4

host = st.sampled_from(ALL_HOSTS)
keys = st.sampled_from(['a', 'b'])


class ReplicaMachine(RuleBasedStateMachine):
    """Hosts claim keys while replicas are unreachable or restart.

    Each host may receive a new host list late. A list differs from the one
    before by one host, and lists change at most once per key memory.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = KEY_MEMORY_S * 2
        self.listed = ALL_HOSTS[:LISTED_COUNT]
        self.changed_at = 0
        self.ledgers = {}
        self.last_runs = {}
        self.count = 0
        for each in ALL_HOSTS:
            self.ledgers[each] = KeyLedger(each)
            self.update_list(each, 0)

    def update_list(self, each, now):
        update_hosts(self.ledgers[each], tuple(sorted(self.listed)), now)

    @rule(
        key=keys,
        claimant=host,
        unreachable=st.sets(host, max_size=2),
        fails=st.booleans(),
    )
    def claim(self, key, claimant, unreachable, fails):
        self.count += 1
        holder = f'{claimant}/{self.count}'
        replicas = replicas_of(self.ledgers[claimant].hosts, key)
        votes = []
        for each in replicas:
            reached = each == claimant or each not in unreachable
            ledger = self.ledgers[each]
            vote = vote_on_claim(ledger, key, holder, self.now, KEY_MEMORY_S)
            votes.append(vote if reached else None)
            if not reached:
                release_key(ledger, key, holder)
        outcome = count_votes(votes, len(replicas))
        if outcome is ClaimOutcome.GRANTED and not fails:
            self.record_run(key)
            return
        for each in replicas:
            release_key(self.ledgers[each], key, holder)

    def record_run(self, key):
        last_run = self.last_runs.get(key)
        assert last_run is None or last_run + KEY_MEMORY_S <= self.now
        self.last_runs[key] = self.now

    @rule(each=host)
    def restart(self, each):
        self.ledgers[each] = KeyLedger(each)
        self.update_list(each, self.now)

    @rule(each=host)
    def receive_list(self, each):
        self.update_list(each, self.now)

    @rule(removed=host, added=host)
    def change_listed_hosts(self, removed, added):
        if self.changed_at + KEY_MEMORY_S > self.now:
            return
        for each in ALL_HOSTS:
            self.update_list(each, self.now)
        self.now += KEY_MEMORY_S
        listed = set(self.listed) - {removed} | {added}
        if (
            len(listed) >= LISTED_COUNT - 1
            and len(listed ^ set(self.listed)) == 1
        ):
            self.listed = tuple(listed)
            self.changed_at = self.now

    @rule(seconds=st.sampled_from([0.1, 1.0, 20.0, 61.0]))
    def advance_clock(self, seconds):
        self.now += seconds


TestReplicas = ReplicaMachine.TestCase


def test_majority_of_three_is_two():
    assert count_votes([Vote.GRANTED], 3) is ClaimOutcome.UNDECIDED
    assert count_votes([Vote.GRANTED, Vote.GRANTED], 3) is ClaimOutcome.GRANTED
    assert count_votes([None, Vote.UNKNOWN], 3) is ClaimOutcome.NO_MAJORITY
    assert count_votes([Vote.GRANTED, Vote.HELD], 3) is ClaimOutcome.HELD
    assert count_votes([Vote.GRANTED], 1) is ClaimOutcome.GRANTED


def test_replica_without_history_records_claims_but_does_not_grant():
    ledger = KeyLedger('h-0')
    update_hosts(ledger, ('h-0',), 100)
    assert vote_on_claim(ledger, 'k', 'x', 101, KEY_MEMORY_S) is Vote.UNKNOWN
    assert vote_on_claim(ledger, 'k', 'y', 102, KEY_MEMORY_S) is Vote.HELD


def test_only_the_holder_can_release_a_key():
    ledger = KeyLedger('h-0')
    update_hosts(ledger, ('h-0',), 0)
    assert vote_on_claim(ledger, 'k', 'x', 100, KEY_MEMORY_S) is Vote.GRANTED
    release_key(ledger, 'k', 'y')
    assert vote_on_claim(ledger, 'k', 'y', 100, KEY_MEMORY_S) is Vote.HELD
    release_key(ledger, 'k', 'x')
    assert vote_on_claim(ledger, 'k', 'y', 100, KEY_MEMORY_S) is Vote.GRANTED


def test_key_record_expires_after_the_key_memory():
    ledger = KeyLedger('h-0')
    update_hosts(ledger, ('h-0',), 0)
    assert vote_on_claim(ledger, 'k', 'x', 100, KEY_MEMORY_S) is Vote.GRANTED
    assert vote_on_claim(ledger, 'k', 'y', 159, KEY_MEMORY_S) is Vote.HELD
    assert vote_on_claim(ledger, 'k', 'z', 160, KEY_MEMORY_S) is Vote.GRANTED
