"""Analyse the merged log of many nodes: trace a request or count refusals.

The file holds the lines of all nodes. Anything before the JSON object of a
line is skipped, so lines may be prefixed with a time or a host.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

from cyclopts import App

__all__ = ('app', 'read_events', 'refusal_totals', 'request_trace')

EVENT_PREFIX: Final = '{"kind"'
BAR_WIDTH: Final = 40
# Where the time, HH:MM:SS.mmm, is in an ISO 8601 timestamp.
TIME_OF_DAY: Final = slice(11, 23)
# Fields that start the printed line or are the same on every line.
UNLISTED_FIELDS: Final = frozenset(('kind', 'host', 'at', 'request_id'))
Event = dict[str, Any]

app = App(name='bench.day', help=__doc__)


def read_events(lines: Iterable[str]) -> Iterator[Event]:
    """Parse the log events in lines; skip lines that hold none."""
    for line in lines:
        start = line.find(EVENT_PREFIX)
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            sys.stderr.write(
                f'skipped an unreadable log line: {line[:BAR_WIDTH]}\n'
            )


def request_trace(events: Iterable[Event], request_id: str) -> list[Event]:
    """List the events logged for one request, in order of time."""
    found = [each for each in events if each.get('request_id') == request_id]
    return sorted(found, key=lambda each: str(each['at']))


def refusal_totals(
    events: Iterable[Event],
    field: str,
) -> Counter[tuple[str, str]]:
    """Count final answers other than 200 by reason and one more field."""
    totals: Counter[tuple[str, str]] = Counter()
    for each in events:
        if each['kind'] == 'request' and each['outcome'] != '200':
            totals[str(each['reason']), str(each[field])] += 1
    return totals


@app.command
def request(log: Path, request_id: str) -> int:
    """Show all events of one request, from all nodes.

    Parameters
    ----------
    log
        File with the log lines of all nodes.
    request_id
        Identifier of the request.
    """
    trace = request_trace(read_events(log.read_text().splitlines()), request_id)
    for event in trace:
        sys.stdout.write(f'{_format_event(event)}\n')
    return 0 if trace else 1


def _format_event(event: Event) -> str:
    words = [event['at'][TIME_OF_DAY], event['host'], event['kind']]
    fields = [name for name in event if name not in UNLISTED_FIELDS]
    words.extend(f'{name}={event[name]}' for name in fields)
    return ' '.join(words)


@app.command
def refusals(log: Path, *, by: str = 'service') -> int:
    """Count requests that were not answered with 200, by reason and a field.

    Parameters
    ----------
    log
        File with the log lines of all nodes.
    by
        Field to group by, such as ``service``, ``host``, ``route`` or
        ``version``.
    """
    totals = refusal_totals(read_events(log.read_text().splitlines()), by)
    most = max(totals.values(), default=1)
    for (reason, value), count in totals.most_common():
        bar = '#' * max(1, BAR_WIDTH * count // most)
        sys.stdout.write(f'{count:6} {reason:<16} {value:<20} {bar}\n')
    return 0


if __name__ == '__main__':
    sys.exit(app())
