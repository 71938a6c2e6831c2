from random import Random

from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.readers import (
    FALLBACK_READERS,
    allowed_readers,
    bootstrap_read_probability,
    rank_hosts,
    read_period,
)

SHARE_OF_READS_S = 2000
DATA_CENTRES = 6
HOSTS = 6200
TICK_S = 0.25
GOSSIP_S = 2.0


@given(st.floats(0, 1e6), st.integers(1, HOSTS))
def test_tries_a_second_stay_bounded(age, hosts):
    allowed = min(allowed_readers(age), hosts)
    assert allowed / read_period(allowed) <= FALLBACK_READERS
    total = DATA_CENTRES * allowed / read_period(allowed)
    assert total <= SHARE_OF_READS_S


@given(st.floats(0, 1e6), st.floats(0, 100))
def test_more_may_read_as_news_grows_old(age, more):
    assert allowed_readers(age + more) >= allowed_readers(age)


def test_all_hosts_of_a_data_centre_may_read_in_the_end():
    assert allowed_readers(120) >= HOSTS


def test_third_host_steps_in_within_six_seconds():
    assert allowed_readers(6) > 2


@given(st.sets(st.text('abc0-', min_size=1), min_size=2))
def test_losing_a_host_moves_no_other_ahead_of_another(hosts):
    order = rank_hosts('walsall', hosts)
    gone = order.pop(0)
    assert rank_hosts('walsall', hosts - {gone}) == order


def herd_reads(hosts):
    """Reads a tick of hosts that start at once, with the source up."""
    rng = Random(1)
    cold = hosts
    reads = []
    for tick in range(1, 200):
        odds = bootstrap_read_probability(hosts, TICK_S, tick)
        reads.append(sum(rng.random() < odds for _host in range(cold)))
        if reads[-1]:
            cold -= min(cold, max(reads[-1], cold // 2))
        if not cold:
            break
    return reads


def test_herd_stays_within_its_share():
    for hosts in (12, 1000, HOSTS):
        reads = herd_reads(hosts)
        per_second = [sum(reads[at : at + 4]) for at in range(len(reads))]
        assert max(per_second) <= SHARE_OF_READS_S
        assert len(reads) * TICK_S <= 6


def test_herd_that_finds_the_source_down_stays_within_its_share():
    assert (
        HOSTS * bootstrap_read_probability(HOSTS, TICK_S, 1) / TICK_S
        <= SHARE_OF_READS_S
    )


def test_lone_host_reads_within_its_time():
    ticks = next(
        tick
        for tick in range(100)
        if bootstrap_read_probability(HOSTS, TICK_S, tick) >= 1
    )
    assert ticks * TICK_S <= 6
