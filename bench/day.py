"""Read the log lines of many nodes: one request's way, or what was refused.

The file holds the lines of all nodes; anything before the JSON object of a
line is skipped, so that lines with a time or a host in front can be read.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, Final

from cyclopts import App

__all__ = ('app', 'read_events', 'refusal_totals', 'request_trace')

START: Final = '{"kind"'
BAR_WIDTH: Final = 40
CLOCK: Final = slice(11, 23)
SHOWN_FIRST: Final = frozenset(('kind', 'host', 'at', 'request_id'))
Event = dict[str, Any]

app = App(name='bench.day', help=__doc__)


def read_events(lines: Iterable[str]) -> Iterator[Event]:
    """Read the events in lines; others are skipped."""
    for line in lines:
        start = line.find(START)
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            sys.stderr.write(f'unreadable: {line[:BAR_WIDTH]}\n')


def request_trace(events: Iterable[Event], request_id: str) -> list[Event]:
    """List what was logged of one request, in order of time."""
    found = [each for each in events if each.get('request_id') == request_id]
    return sorted(found, key=lambda each: str(each['at']))


def refusal_totals(
    events: Iterable[Event],
    field: str,
) -> Counter[tuple[str, str]]:
    """Count final answers other than 200 by reason and another field."""
    totals: Counter[tuple[str, str]] = Counter()
    for each in events:
        if each['kind'] == 'request' and each['outcome'] != '200':
            totals[str(each['reason']), str(each[field])] += 1
    return totals


@app.command
def request(log: Path, request_id: str) -> int:
    """Show the way of one request over the nodes.

    Parameters
    ----------
    log
        Lines of all nodes.
    request_id
        Of the request.
    """
    way = request_trace(read_events(log.read_text().splitlines()), request_id)
    for event in way:
        sys.stdout.write(f'{_line_of(event)}\n')
    return 0 if way else 1


def _line_of(event: Event) -> str:
    words = [event['at'][CLOCK], event['host'], event['kind']]
    fields = [name for name in event if name not in SHOWN_FIRST]
    words.extend(f'{name}={event[name]}' for name in fields)
    return ' '.join(words)


@app.command
def refusals(log: Path, *, by: str = 'service') -> int:
    """Count what was not answered, by reason and another field.

    Parameters
    ----------
    log
        Lines of all nodes.
    by
        Such as ``service``, ``host``, ``route`` or ``version``.
    """
    totals = refusal_totals(read_events(log.read_text().splitlines()), by)
    most = max(totals.values(), default=1)
    for (reason, value), count in totals.most_common():
        bar = '#' * max(1, BAR_WIDTH * count // most)
        sys.stdout.write(f'{count:6} {reason:<16} {value:<20} {bar}\n')
    return 0


if __name__ == '__main__':
    sys.exit(app())
