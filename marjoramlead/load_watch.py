"""Watch the local target's load report for signs of a restart."""

from dataclasses import dataclass
from typing import Final, TypedDict

import msgspec
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from marjoramlead.errors import Fault
from marjoramlead.guard import Guard, apply_current_config
from marjoramlead.http_client import fetch
from marjoramlead.logs import guard_log
from marjoramlead.slow_start import (
    on_restart,
    on_restart_ruled_out,
    on_suspected_restart,
)

__all__ = (
    'LoadReport',
    'LoadWatch',
    'note_report',
    'start_load_watch',
    'suspect_restart',
)

PERIOD_S: Final = 0.5
LIMIT_S: Final = 0.4


class LoadReport(TypedDict):
    """What a target says of itself.

    Attributes
    ----------
    started
        Names its present run; another value means that it restarted.
    """

    started: str


DECODER: Final = msgspec.json.Decoder(LoadReport)


@dataclass(slots=True)
class LoadWatch:
    """The last run of the target that was heard of."""

    guard: Guard
    started: str | None = None
    is_asking: bool = False


def start_load_watch(watch: LoadWatch) -> LoopingCall:
    """Ask the target for its load report now and then."""
    ticks = LoopingCall(_tick, watch)
    ticks.start(PERIOD_S)
    return ticks


def note_report(watch: LoadWatch, report: LoadReport) -> bool:
    """Compare a report with the last one.

    Returns
    -------
    Whether the target restarted, or is met for the first time.
    """
    restarted = watch.started != report['started']
    watch.started = report['started']
    slow_start = watch.guard.admission.slow_start
    if restarted:
        on_restart(slow_start)
        watch.guard.counters.add('target.restarted')
    else:
        on_restart_ruled_out(slow_start)
    return restarted


def suspect_restart(watch: LoadWatch) -> None:
    """Spare the target, whose idle connection closed, until it reports."""
    watch.guard.counters.add('target.suspected')
    on_suspected_restart(watch.guard.admission.slow_start)
    if not watch.is_asking:
        _tick(watch)


def _tick(watch: LoadWatch) -> 'Deferred[None]':
    watch.is_asking = True
    asked = Deferred.fromCoroutine(_ask(watch))
    asked.addErrback(_on_bug)
    return asked.addBoth(lambda _end: setattr(watch, 'is_asking', False))


async def _ask(watch: LoadWatch) -> None:
    guard = watch.guard
    apply_current_config(guard)
    own = guard.target
    base = f'http://{own["address"]}:{own["port"]}'
    fetched = await fetch(
        guard.target_agent,
        guard.reactor,
        base + own['load_path'],
        guard.reactor.seconds() + LIMIT_S,
    )
    report = fetched.bind(_decode)
    if report.is_error():
        guard.counters.add('target.no_report')
        return
    if note_report(watch, report.ok):
        guard_log.warning('Target restarted. Load starts again from cold.')


def _decode(raw: bytes) -> Result[LoadReport, Fault]:
    try:
        return Ok(DECODER.decode(raw))
    except msgspec.MsgspecError as exc:
        return Error(Fault('', f'load report does not decode: {exc}'))


def _on_bug(failure: Failure) -> None:
    guard_log.error('Load watch failed inside: %s', failure.getTraceback())
