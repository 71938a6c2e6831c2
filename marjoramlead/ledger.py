"""Which at-most-once requests the guard has let go, by request id.

An id is entered before the request goes to the target. While it is held, the
same id never runs again. An id that was asked about before it arrived is
barred, so that the answer "never seen" stays true.
"""

from collections import OrderedDict
from enum import StrEnum
from typing import Final

__all__ = ('Fate', 'Ledger', 'ask_fate', 'begin_once', 'end_once')

MAX_HELD: Final = 100_000
KEEP_S: Final = 600.0


class Fate(StrEnum):
    """What is known of a request id."""

    BARRED = 'barred'
    RUNNING = 'running'
    DONE = 'done'


class Ledger:
    """Fates by request id, with the time until which each is kept."""

    def __init__(self) -> None:
        self.fates: OrderedDict[str, tuple[Fate, float]] = OrderedDict()


def begin_once(ledger: Ledger, request_id: str, now: float) -> Fate | None:
    """Enter an id before its request runs.

    Returns
    -------
    None if the request may run; else the fate that forbids it.
    """
    _forget(ledger, now)
    held = ledger.fates.get(request_id)
    if held is not None:
        return held[0]
    ledger.fates[request_id] = (Fate.RUNNING, now + KEEP_S)
    return None


def end_once(
    ledger: Ledger,
    request_id: str,
    now: float,
    *,
    has_run: bool,
) -> None:
    """Record how a request ended; one that did not run may come again."""
    if has_run:
        ledger.fates[request_id] = (Fate.DONE, now + KEEP_S)
        ledger.fates.move_to_end(request_id)
    else:
        ledger.fates.pop(request_id, None)


def ask_fate(ledger: Ledger, request_id: str, now: float) -> Fate:
    """Answer what became of an id, and bar it if it was never seen."""
    _forget(ledger, now)
    held = ledger.fates.get(request_id)
    if held is not None:
        return held[0]
    ledger.fates[request_id] = (Fate.BARRED, now + KEEP_S)
    return Fate.BARRED


def _forget(ledger: Ledger, now: float) -> None:
    while ledger.fates:
        oldest = next(iter(ledger.fates))
        _fate, keep_until = ledger.fates[oldest]
        if keep_until > now and len(ledger.fates) < MAX_HELD:
            return
        ledger.fates.pop(oldest)
