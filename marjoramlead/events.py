"""Structured event log on standard output: one line for each decision.

Each line is a JSON object with the event's ``kind``, the time, the host and
the fields of that kind. The number of lines per second is limited for each
kind. Lines over the limit are dropped; a ``left_out`` line reports their
number in the next second that has an event. Writing never blocks, so a reader
that stops reading cannot stall the node: lines that do not fit into the pipe
are dropped and counted, too.
"""

import logging
import os
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import msgspec
from pythonjsonlogger.msgspec import MsgspecFormatter

__all__ = ('EventCounts', 'configure_event_log', 'emit')

# Limit for each kind. Only kinds that are logged for each request reach it,
# under load; a sample and the number of dropped lines are sufficient then.
MAX_LINES_PER_S: Final = 100

events: Final = logging.getLogger('marjoramlead.events')


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


EVENT_COUNTS: Final = EventCounts()


def emit(kind: str, **fields: object) -> None:
    """Write one event line, or drop it if its kind is over its limit."""
    _reset_counts_if_new_second(EVENT_COUNTS)
    if EVENT_COUNTS.written[kind] >= MAX_LINES_PER_S:
        EVENT_COUNTS.dropped[kind] += 1
        return
    EVENT_COUNTS.written[kind] += 1
    events.info(kind, extra=fields)


def configure_event_log(host: str, descriptor: int = 1) -> None:
    """Send events to a file descriptor, by default standard output.

    Records carry no names of threads and processes: the node has one of each.
    """
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler = _DescriptorHandler(descriptor)
    handler.setFormatter(
        MsgspecFormatter(
            ['message'],
            rename_fields={'message': 'kind'},
            static_fields={'host': host},
            timestamp='at',
        ),
    )
    for old_handler in list(events.handlers):
        events.removeHandler(old_handler)
    events.addHandler(handler)
    events.setLevel(logging.INFO)
    events.propagate = False


def _reset_counts_if_new_second(counts: EventCounts) -> None:
    second = int(time.monotonic())
    if second == counts.second:
        return
    counts.second = second
    counts.written.clear()
    dropped = counts.dropped
    counts.dropped = Counter()
    for kind, count in dropped.items():
        events.info('left_out', extra={'of': kind, 'count': count})


class _DescriptorHandler(logging.Handler):
    """Write whole lines without blocking, and count lines that do not fit.

    The unwritten part of a line is kept in ``_unsent`` and written before the
    next line.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unsent = b''

    def emit(self, record: logging.LogRecord) -> None:
        line = self._encode(record)
        if self._unsent:
            self._unsent = self._write(self._unsent)
        if self._unsent:
            EVENT_COUNTS.dropped[record.getMessage()] += 1
            return
        self._unsent = self._write(line)

    def _encode(self, record: logging.LogRecord) -> bytes:
        """Return the line of an event, or one that says why it has none."""
        try:
            return f'{self.format(record)}\n'.encode()
        except Exception as exc:  # logging must not fail its caller
            unwritable = {
                'kind': 'unwritable',
                'of': record.getMessage(),
                'reason': type(exc).__name__,
            }
            return b'%b\n' % msgspec.json.encode(unwritable)

    def _write(self, raw: bytes) -> bytes:
        try:
            return raw[os.write(self._descriptor, raw) :]
        except BlockingIOError:
            return raw
        except OSError:  # the reader has closed the pipe
            return b''
