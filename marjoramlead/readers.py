"""Decide which nodes read the source, and how often.

Nodes rank themselves within their data centre by rendezvous hashing over the
host list. The first ranks always read. Further ranks start to read as the
time since the last known read grows, so no failure detector is needed to
replace a dead reader. The read rate of a data centre is bounded regardless of
its size.
"""

from collections.abc import Iterable
from typing import Final

from xxhash import xxh3_64_intdigest

__all__ = (
    'allowed_readers',
    'bootstrap_read_probability',
    'rank_hosts',
    'read_period',
)

STEADY_READERS: Final = 2
FALLBACK_READERS: Final = 16
FALLBACK_DELAY_S: Final = 4.0
RANKS_ADDED_PER_S: Final = 2.0
DOUBLING_PERIOD_S: Final = 8.0
MIN_READ_PERIOD_S: Final = 1.0
MAX_DOUBLINGS: Final = 16
BOOTSTRAP_READS_PER_S: Final = 50.0
BOOTSTRAP_GROWTH: Final = 1.5


def rank_hosts(data_centre: str, hosts: Iterable[str]) -> list[str]:
    """Sort hosts in the order in which they become readers of the source."""
    return sorted(hosts, key=lambda host: -_score(host, data_centre))


def allowed_readers(source_age: float) -> int:
    """Return how many ranks of a data centre may read the source.

    The number grows linearly up to ``FALLBACK_READERS``, then doubles at
    regular intervals.

    Parameters
    ----------
    source_age
        Seconds since any node is known to have read the source.
    """
    overdue_s = max(0, source_age - FALLBACK_DELAY_S)
    readers = STEADY_READERS + int(overdue_s * RANKS_ADDED_PER_S)
    if readers <= FALLBACK_READERS:
        return readers
    linear_phase_s = (FALLBACK_READERS - STEADY_READERS) / RANKS_ADDED_PER_S
    doublings = min(
        MAX_DOUBLINGS,
        int((overdue_s - linear_phase_s) / DOUBLING_PERIOD_S),
    )
    return FALLBACK_READERS << doublings


def read_period(readers: int) -> float:
    """Return the interval between the reads of one host after a failure.

    It grows with the number of readers, so that together they make at most
    ``FALLBACK_READERS`` reads a second.

    Parameters
    ----------
    readers
        Number of hosts of the data centre that may read.

    Returns
    -------
    Seconds between two reads of one host.
    """
    return max(MIN_READ_PERIOD_S, readers / FALLBACK_READERS)


def bootstrap_read_probability(
    expected_hosts: int,
    tick_s: float,
    bootstrap_ticks: int,
) -> float:
    """Return the probability that a node without a host list reads now.

    If the whole fleet starts at once, it makes about ``BOOTSTRAP_READS_PER_S``
    reads a second at first. The probability grows exponentially with each
    tick, so that a node that starts alone doesn't wait long.

    Parameters
    ----------
    expected_hosts
        Approximate number of hosts in the fleet, from the settings.
    tick_s
        Seconds between ticks.
    bootstrap_ticks
        Ticks since the node started or last failed to read.
    """
    base = BOOTSTRAP_READS_PER_S * tick_s / expected_hosts
    return min(1, base * BOOTSTRAP_GROWTH**bootstrap_ticks)


def _score(host: str, data_centre: str) -> int:
    return xxh3_64_intdigest(f'{data_centre}/{host}'.encode())
