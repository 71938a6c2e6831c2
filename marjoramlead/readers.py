"""Which nodes read the source, and how often.

Nodes rank themselves within their data centre by rendezvous hashing over the
host list. The first ranks read all the time. Later ranks step in as the news
of the source grows old, so a dead reader needs no failure detector, and the
reads a second of a data centre stay bounded whatever its size.
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
PATIENCE_S: Final = 4.0
RANKS_PER_S: Final = 2.0
DOUBLING_S: Final = 8.0
MIN_PERIOD_S: Final = 1.0
MAX_DOUBLINGS: Final = 16
BOOTSTRAP_READS_PER_S: Final = 50.0
BOOTSTRAP_GROWTH: Final = 1.5


def rank_hosts(data_centre: str, hosts: Iterable[str]) -> list[str]:
    """Sort the hosts of a data centre by who reads the source first."""
    return sorted(hosts, key=lambda host: -_score(host, data_centre))


def allowed_readers(age: float) -> int:
    """How many ranks may read when the source was last seen ``age`` s ago."""
    late = max(0, age - PATIENCE_S)
    allowed = STEADY_READERS + int(late * RANKS_PER_S)
    if allowed <= FALLBACK_READERS:
        return allowed
    full_at = (FALLBACK_READERS - STEADY_READERS) / RANKS_PER_S
    doublings = min(MAX_DOUBLINGS, int((late - full_at) / DOUBLING_S))
    return FALLBACK_READERS << doublings


def read_period(allowed: int) -> float:
    """Space the tries of each reader, so that their total stays bounded.

    Parameters
    ----------
    allowed
        Hosts of the data centre that may read now.

    Returns
    -------
    Seconds between two tries of one host.
    """
    return max(MIN_PERIOD_S, allowed / FALLBACK_READERS)


def bootstrap_read_probability(
    expected_hosts: int,
    tick: float,
    bootstrap_ticks: int,
) -> float:
    """Odds that a node without a host list reads the source at this tick.

    Parameters
    ----------
    expected_hosts
        Rough size of the fleet, from the settings.
    tick
        Seconds between ticks.
    bootstrap_ticks
        Ticks since the node started or last failed to read.
    """
    base = BOOTSTRAP_READS_PER_S * tick / expected_hosts
    return min(1, base * BOOTSTRAP_GROWTH**bootstrap_ticks)


def _score(host: str, data_centre: str) -> int:
    return xxh3_64_intdigest(f'{data_centre}/{host}'.encode())
