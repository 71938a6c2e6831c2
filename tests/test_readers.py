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

MAX_READS_PER_S = 2000
DATA_CENTRES = 6
HOSTS = 6200
TICK_S = 0.25
GOSSIP_S = 2.0


@given(st.floats(0, 1e6), st.integers(1, HOSTS))
def test_read_rate_is_bounded(source_age, hosts):
    readers = min(allowed_readers(source_age), hosts)
    assert readers / read_period(readers) <= FALLBACK_READERS
    total = DATA_CENTRES * readers / read_period(readers)
    assert total <= MAX_READS_PER_S


@given(st.floats(0, 1e6), st.floats(0, 100))
def test_number_of_readers_does_not_fall_as_source_age_grows(
    source_age, increase
):
    assert allowed_readers(source_age + increase) >= allowed_readers(source_age)


def test_all_hosts_of_a_data_centre_may_read_within_two_minutes():
    assert allowed_readers(120) >= HOSTS


def test_third_host_may_read_within_six_seconds():
    assert allowed_readers(6) > 2


@given(st.sets(st.text('abc0-', min_size=1), min_size=2))
def test_losing_a_host_keeps_the_order_of_the_others(hosts):
    ranking = rank_hosts('walsall', hosts)
    lost_host = ranking.pop(0)
    assert rank_hosts('walsall', hosts - {lost_host}) == ranking


def reads_at_fleet_start(hosts):
    """Return the reads per tick of hosts that start together; the source is up.

    The model assumes that in each tick with a read, at least half of the hosts
    without a host list get it, from the source or from peers.
    """
    rng = Random(1)
    without_list = hosts
    reads = []
    for tick in range(1, 200):
        probability = bootstrap_read_probability(hosts, TICK_S, tick)
        reads.append(
            sum(rng.random() < probability for _host in range(without_list))
        )
        if reads[-1]:
            without_list -= min(without_list, max(reads[-1], without_list // 2))
        if not without_list:
            break
    return reads


def test_simultaneous_start_stays_within_the_read_limit():
    for hosts in (12, 1000, HOSTS):
        reads = reads_at_fleet_start(hosts)
        per_second = [sum(reads[at : at + 4]) for at in range(len(reads))]
        assert max(per_second) <= MAX_READS_PER_S
        assert len(reads) * TICK_S <= 6


def test_simultaneous_start_with_source_down_stays_within_the_read_limit():
    assert (
        HOSTS * bootstrap_read_probability(HOSTS, TICK_S, 1) / TICK_S
        <= MAX_READS_PER_S
    )


def test_single_host_reads_within_six_seconds():
    ticks = next(
        tick
        for tick in range(100)
        if bootstrap_read_probability(HOSTS, TICK_S, tick) >= 1
    )
    assert ticks * TICK_S <= 6
