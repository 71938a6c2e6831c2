"""Structured event log on standard output: one line for each decision.

Each line is a JSON object with the event's ``kind``, the time, the host and
the fields of that kind. The number of lines per second is limited for each
kind. Lines over the limit are dropped; a ``left_out`` line reports their
number in the next second that has an event. Writing never blocks, so a reader
that stops reading cannot stall the node: lines that do not fit into the pipe
are dropped and counted, too.
"""

import os
import time
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Final

import msgspec

__all__ = ('EventCounts', 'configure_event_log', 'emit')

# Limit for each kind. Only kinds that are logged for each request reach it,
# under load; a sample and the number of dropped lines are sufficient then.
MAX_LINES_PER_S: Final = 100

# What has no form in JSON is written as text.
ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


@dataclass(slots=True)
class EventCounts:
    """Numbers of event lines in the current second.

    Attributes
    ----------
    second
        The current second, on the monotonic clock.
    written, dropped
        Numbers of lines by kind.
    """

    second: int = 0
    written: Counter[str] = field(default_factory=Counter)
    dropped: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class _EventLog:
    """Where lines are written.

    Attributes
    ----------
    descriptor
        File descriptor; None before it is configured.
    unsent
        The rest of a line, which is written before the next one.
    """

    host: str = ''
    descriptor: int | None = None
    unsent: bytes = b''


EVENT_COUNTS: Final = EventCounts()
EVENT_LOG: Final = _EventLog()


def emit(kind: str, **fields: object) -> None:
    """Write one event line, or drop it if its kind is over its limit."""
    _reset_counts_if_new_second(EVENT_COUNTS)
    written = EVENT_COUNTS.written
    if written[kind] >= MAX_LINES_PER_S:
        EVENT_COUNTS.dropped[kind] += 1
        return
    written[kind] += 1
    _write_line(EVENT_LOG, kind, fields)


def configure_event_log(host: str, descriptor: int = 1) -> None:
    """Send events to a file descriptor, by default standard output."""
    os.set_blocking(descriptor, False)
    EVENT_LOG.host = host
    EVENT_LOG.descriptor = descriptor
    EVENT_LOG.unsent = b''


def _reset_counts_if_new_second(counts: EventCounts) -> None:
    second = int(time.monotonic())
    if second == counts.second:
        return
    counts.second = second
    counts.written.clear()
    dropped = counts.dropped
    counts.dropped = Counter()
    for kind, count in dropped.items():
        _write_line(EVENT_LOG, 'left_out', {'of': kind, 'count': count})


def _write_line(log: _EventLog, kind: str, fields: dict[str, object]) -> None:
    if log.descriptor is None:
        return
    line = _encode(log, kind, fields)
    if log.unsent:
        log.unsent = _write(log.descriptor, log.unsent)
    if log.unsent:
        EVENT_COUNTS.dropped[kind] += 1
        return
    log.unsent = _write(log.descriptor, line)


def _encode(log: _EventLog, kind: str, fields: dict[str, object]) -> bytes:
    """Return the line of an event, or one that says why it has none."""
    line = {'kind': kind, 'host': log.host, **fields, 'at': datetime.now(UTC)}
    try:
        return b'%b\n' % ENCODER.encode(line)
    except Exception as exc:  # logging must not fail its caller
        unwritable = {
            'kind': 'unwritable',
            'of': kind,
            'reason': type(exc).__name__,
        }
        return b'%b\n' % ENCODER.encode(unwritable)


def _write(descriptor: int, raw: bytes) -> bytes:
    try:
        return raw[os.write(descriptor, raw) :]
    except BlockingIOError:
        return raw
    except OSError:  # the reader has closed the pipe
        return b''
