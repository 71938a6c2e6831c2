"""Structured log lines on standard output: one for each decision.

Lines are JSON objects with a ``kind``, the time of day, the host and fields of
the kind. Each kind has a bound of lines a second; what goes beyond is counted
and told once a second. A reader that stops cannot stop the node: the output
does not block, and lines that find no room are counted too.
"""

import logging
import os
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

from pythonjsonlogger.json import JsonFormatter

__all__ = ('EventCounts', 'configure_event_log', 'emit')

# Lines of one kind a second. Rare kinds never reach it; requests do under
# load, where a sample and the count of the rest tell enough.
MAX_LINES_PER_S: Final = 100

events: Final = logging.getLogger('marjoramlead.events')


@dataclass(slots=True)
class EventCounts:
    """Lines written and left out in the present second.

    Attributes
    ----------
    written, left_out
        Lines by kind.
    """

    second: int = 0
    written: Counter[str] = field(default_factory=Counter)
    dropped: Counter[str] = field(default_factory=Counter)


EVENT_COUNTS: Final = EventCounts()


def emit(kind: str, **fields: object) -> None:
    """Write one line, unless its kind has had its share of this second."""
    _start_second(EVENT_COUNTS)
    if EVENT_COUNTS.written[kind] >= MAX_LINES_PER_S:
        EVENT_COUNTS.dropped[kind] += 1
        return
    EVENT_COUNTS.written[kind] += 1
    events.info(kind, extra=fields)


def configure_event_log(host: str, descriptor: int = 1) -> None:
    """Write events to a descriptor, standard output by default."""
    handler = _DescriptorHandler(descriptor)
    handler.setFormatter(
        JsonFormatter(
            ['message'],
            rename_fields={'message': 'kind'},
            static_fields={'host': host},
            timestamp='at',
        ),
    )
    for former in list(events.handlers):
        events.removeHandler(former)
    events.addHandler(handler)
    events.setLevel(logging.INFO)
    events.propagate = False


def _start_second(counts: EventCounts) -> None:
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
    """Writes whole lines without blocking; counts what finds no room."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b''

    def emit(self, record: logging.LogRecord) -> None:
        line = f'{self.format(record)}\n'.encode()
        if self._rest:
            self._rest = self._write(self._rest)
        if self._rest:
            EVENT_COUNTS.dropped[record.getMessage()] += 1
            return
        self._rest = self._write(line)

    def _write(self, raw: bytes) -> bytes:
        try:
            return raw[os.write(self._descriptor, raw) :]
        except BlockingIOError:
            return raw
        except OSError:  # the reader is gone: nobody is left to tell
            return b''
