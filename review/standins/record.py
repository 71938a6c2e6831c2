"""The record of a case: what was sent, answered and run."""

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from enum import IntEnum
from pathlib import Path

__all__ = ('Outcome', 'Record', 'play_case')

MAX_PLAY_S = 110.0


class Outcome(IntEnum):
    """Exit status of a case."""

    HELD = 0
    BROKEN = 1
    NOT_PLAYED = 2


class Record:
    """Lines with the seconds since the case began.

    Attributes
    ----------
    has_trouble
        Whether the case plays its disruption.
    """

    def __init__(self, *, has_trouble: bool) -> None:
        self.has_trouble = has_trouble
        self.lines: list[str] = []
        self._began_at = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line."""
        elapsed = time.monotonic() - self._began_at
        self.lines.append(f'{elapsed:9.3f} {text}')

    def conclude(self, text: str) -> None:
        """Add a line, and print it."""
        self.add(text)
        sys.stdout.write(f'{text}\n')


Play = Callable[[Record], Awaitable[Outcome]]


def play_case(case_file: str, play: Play) -> Outcome:
    """Play a case, and write its record beside its file."""
    record = Record(has_trouble=os.environ.get('TROUBLE') != '0')
    outcome = Outcome.NOT_PLAYED
    try:
        outcome = asyncio.run(_play_in_time(record, play))
    except Exception:
        record.conclude(traceback.format_exc())
    record.conclude(f'exit status {outcome.value}: {outcome.name.lower()}')
    path = Path(case_file).parent / 'record.txt'
    path.write_text('\n'.join([*record.lines, '']))
    return outcome


async def _play_in_time(record: Record, play: Play) -> Outcome:
    return await asyncio.wait_for(play(record), MAX_PLAY_S)
