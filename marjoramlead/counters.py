"""Counters of a node, kept in memory and optionally sent to statsd."""

from collections import Counter
from typing import Protocol

__all__ = ('Counters', 'StatsdClient')


class StatsdClient(Protocol):
    """The part of a statsd client's interface that ``Counters`` uses."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Increment a counter over UDP; lost datagrams are not detected."""


class Counters:
    """Counters with dotted names, such as ``refused.overload``."""

    def __init__(self, statsd: StatsdClient | None = None) -> None:
        self._counts: Counter[str] = Counter()
        self._statsd = statsd

    def add(self, name: str, count: int = 1) -> None:
        """Increment a counter."""
        self._counts[name] += count
        if self._statsd is not None:
            self._statsd.incr(name, count)

    def by_name(self) -> dict[str, int]:
        """Return a copy of all counts, sorted by name."""
        return dict(sorted(self._counts.items()))
