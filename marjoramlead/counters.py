"""Counters of a node, kept in memory and sent to statsd where one is set."""

from collections import Counter
from typing import Protocol

__all__ = ('Counters', 'StatsdClient')


class StatsdClient(Protocol):
    """The one call that is used of a statsd client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter; a lost datagram is not noticed."""


class Counters:
    """Counts by dotted name, such as ``refused.overload``."""

    def __init__(self, statsd: StatsdClient | None = None) -> None:
        self._counts: Counter[str] = Counter()
        self._statsd = statsd

    def add(self, name: str, count: int = 1) -> None:
        """Add to one counter."""
        self._counts[name] += count
        if self._statsd is not None:
            self._statsd.incr(name, count)

    def by_name(self) -> dict[str, int]:
        """Copy all counts, sorted by name."""
        return dict(sorted(self._counts.items()))
