"""Bound the share of a node's time that reading of many small parts takes.

A piece of data may hold thousands of chunks, or hundreds of requests that are
sent ahead of their answers. A connection that sends such pieces is read again
only after the time that they are charged, which all connections of a port
share. Others are read meanwhile.

This module does no I/O.
"""

from dataclasses import dataclass
from typing import Final

from marjoramlead.events import emit

__all__ = (
    'CHUNKS_PER_S',
    'DISCARDED_BYTES_PER_S',
    'REQUESTS_AHEAD_PER_S',
    'ReadPace',
    'charge_chunks',
    'charge_discarded',
    'charge_request',
)

# Decoding a chunk takes a few microseconds.
CHUNKS_PER_S: Final = 100_000.0
# Chunks in one piece of data of 64 KB that are never waited for: those of
# clients whose chunks have 1 KB or more.
FREE_CHUNKS: Final = 64
# Refusing a request takes less than a millisecond.
REQUESTS_AHEAD_PER_S: Final = 200.0
# Requests of all connections together that are never waited for.
FREE_REQUESTS: Final = 10
# Bytes of refused bodies, a link of 400 Mbit/s.
DISCARDED_BYTES_PER_S: Final = 50e6
# Time that such bytes may take without a wait.
FREE_DISCARD_S: Final = 0.1
# Time between two log lines of a pace.
LOG_INTERVAL_S: Final = 1.0


@dataclass(slots=True)
class ReadPace:
    """When the parts of all connections so far have been paid for.

    Attributes
    ----------
    of
        What is counted, for the log.
    paid_at
        Time in seconds; a deadline.
    waits
        Number of times that a connection had to wait.
    log_from
        Time from which the next wait is logged; a deadline in seconds.
    """

    of: str
    paid_at: float = 0
    waits: int = 0
    log_from: float = 0


def charge_chunks(
    pace: ReadPace,
    chunks: int,
    now: float,
    chunks_per_s: float = CHUNKS_PER_S,
) -> float | None:
    """Return until when a connection is not read; None if it need not wait.

    Parameters
    ----------
    pace
        Pace of all connections of a port.
    chunks
        Number of chunks in a piece of data.
    now
        Present time, in seconds.
    chunks_per_s
        Rate at which all connections may send small chunks.
    """
    if chunks <= FREE_CHUNKS:
        return None
    _charge(pace, chunks / chunks_per_s, now)
    return _wait(pace, now)


def charge_request(
    pace: ReadPace, requests_per_s: float, now: float
) -> float | None:
    """Return until when a request that was sent ahead waits, if it must.

    Parameters
    ----------
    pace
        Pace of all connections of a port.
    requests_per_s
        Rate at which all connections may send requests ahead.
    now
        Present time, in seconds.
    """
    _charge(pace, 1 / requests_per_s, now)
    is_free = pace.paid_at <= now + FREE_REQUESTS / requests_per_s
    return None if is_free else _wait(pace, now)


def charge_discarded(
    pace: ReadPace, size: int, bytes_per_s: float, now: float
) -> float | None:
    """Return until when a refused body is not read, if it must wait.

    Parameters
    ----------
    pace
        Pace of all connections of a port.
    size
        Bytes that have been read and discarded.
    bytes_per_s
        Rate at which refused bodies are read, all together.
    now
        Present time, in seconds.
    """
    _charge(pace, size / bytes_per_s, now)
    is_free = pace.paid_at <= now + FREE_DISCARD_S
    return None if is_free else _wait(pace, now)


def _charge(pace: ReadPace, cost_s: float, now: float) -> None:
    pace.paid_at = max(now, pace.paid_at) + cost_s


def _wait(pace: ReadPace, now: float) -> float:
    """Count and log a wait, and return its end."""
    pace.waits += 1
    if now >= pace.log_from:
        pace.log_from = now + LOG_INTERVAL_S
        wait_s = round(pace.paid_at - now, 3)
        emit('reading_delayed', of=pace.of, wait_s=wait_s, waits=pace.waits)
    return pace.paid_at
