"""What the scripts of the cases have in common: clients, record, result."""

import asyncio
import os
import sys
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Final, NamedTuple

from review.fleet.http import Address, Message, encode, exchange

__all__ = (
    'BROKEN',
    'HELD',
    'NOT_RUN',
    'Clients',
    'Record',
    'Sent',
    'has_trouble',
    'run_case',
    'start_clients',
    'stop_clients',
)

HELD: Final = 0
BROKEN: Final = 1
NOT_RUN: Final = 2
# Longest time that a case may take.
CASE_LIMIT_S: Final = 110.0
MS_PER_SECOND: Final = 1000
# A client waits this much longer than its deadline for a late answer.
PATIENCE_S: Final = 1.0
SERVICE_UNAVAILABLE: Final = 503


class Record:
    """What was sent, answered and run, in a file beside the script."""

    def __init__(self, path: Path) -> None:
        self.began_at = time.monotonic()
        self._path = path
        self._lines: list[str] = []

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line with its time since the start."""
        noted_at = time.monotonic() if at is None else at
        self._lines.append(f'{noted_at - self.began_at:8.3f} s  {text}')

    def write(self) -> None:
        """Write all lines in the order of their times."""
        self._path.write_text('\n'.join([*sorted(self._lines), '']))


class Sent(NamedTuple):
    """A client attempt and its answer.

    Attributes
    ----------
    status
        Status of the answer; 0 if there was none.
    """

    request_id: str
    at: float
    status: int
    retry_after_s: float = 0


@dataclass
class Clients:
    """Clients of one route, whose attempts each have an id of their own."""

    record: Record
    first_line: str
    deadline_ms: int
    fields: Mapping[str, str] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)
    is_stopped: bool = False
    numbers: 'count[int]' = field(default_factory=lambda: count(1))

    async def send(self, outbound: Address) -> Sent:
        """Send one attempt, and wait for its answer."""
        request_id = f'{next(self.numbers):016x}'
        request = encode(
            self.first_line,
            {
                'Host': 'orders.example',
                'X-Request-Id': request_id,
                'X-Deadline-Ms': str(self.deadline_ms),
                **self.fields,
            },
        )
        at = time.monotonic()
        deadline_s = self.deadline_ms / MS_PER_SECOND
        answer = await exchange(outbound, request, deadline_s + PATIENCE_S)
        attempt = Sent(request_id, at, _status(answer), _retry_after(answer))
        self.sent.append(attempt)
        self.record.note(f'sent {request_id} to {outbound[0]}', at)
        self.record.note(f'answered {request_id} {attempt.status}')
        return attempt

    async def repeat(self, outbound: Address, pause_s: float = 0) -> None:
        """Send one attempt after the other, with the pauses asked for."""
        longest_s = self.deadline_ms / MS_PER_SECOND / 3
        while not self.is_stopped:
            attempt = await self.send(outbound)  # noqa: WPS476
            wait_s = pause_s
            if attempt.status == SERVICE_UNAVAILABLE:
                wait_s += min(longest_s, attempt.retry_after_s)
            await asyncio.sleep(wait_s)  # noqa: WPS476


def start_clients(
    clients: Clients, outbounds: Iterable[Address], pause_s: float = 0
) -> list['asyncio.Task[None]']:
    """Let one client at each address send requests until they are stopped."""
    return [
        asyncio.create_task(clients.repeat(outbound, pause_s))
        for outbound in outbounds
    ]


async def stop_clients(
    clients: Clients, tasks: Iterable['asyncio.Task[None]']
) -> None:
    """Stop clients, and wait for the answers to what they have sent."""
    clients.is_stopped = True
    await asyncio.gather(*tasks)


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(
    script: str, case: Callable[[Record], Awaitable[int | None]]
) -> None:
    """Run a case, write its record, and exit with its result."""
    record = Record(Path(script).with_name('record.txt'))
    try:
        outcome = asyncio.run(_limited(case, record))
    except Exception as exc:  # the script has failed, not the rule
        record.note(f'the case could not run: {exc!r}')
        outcome = None
    outcome = NOT_RUN if outcome is None else outcome
    record.note(f'result {outcome}')
    record.write()
    sys.exit(outcome)


async def _limited(
    case: Callable[[Record], Awaitable[int | None]], record: Record
) -> int | None:
    return await asyncio.wait_for(case(record), CASE_LIMIT_S)


def _status(answer: Message | None) -> int:
    return answer.status() if answer else 0


def _retry_after(answer: Message | None) -> float:
    return float(answer.field('retry-after') or 0) if answer else 0
