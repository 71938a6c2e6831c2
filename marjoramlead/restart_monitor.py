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
    'RestartMonitor',
    'record_load_report',
    'start_restart_monitor',
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
class RestartMonitor:
    """The last run of the target that was heard of."""

    guard: Guard
    last_started: str | None = None
    is_polling: bool = False


def start_restart_monitor(monitor: RestartMonitor) -> LoopingCall:
    """Ask the target for its load report now and then."""
    ticks = LoopingCall(_tick, monitor)
    ticks.start(PERIOD_S)
    return ticks


def record_load_report(monitor: RestartMonitor, report: LoadReport) -> bool:
    """Compare a report with the last one.

    Returns
    -------
    Whether the target restarted, or is met for the first time.
    """
    restarted = monitor.last_started != report['started']
    monitor.last_started = report['started']
    slow_start = monitor.guard.admission.slow_start
    if restarted:
        on_restart(slow_start)
        monitor.guard.counters.add('target.restarted')
    else:
        on_restart_ruled_out(slow_start)
    return restarted


def suspect_restart(monitor: RestartMonitor) -> None:
    """Spare the target, whose idle connection closed, until it reports."""
    monitor.guard.counters.add('target.suspected')
    on_suspected_restart(monitor.guard.admission.slow_start)
    if not monitor.is_polling:
        _tick(monitor)


def _tick(monitor: RestartMonitor) -> 'Deferred[None]':
    monitor.is_polling = True
    asked = Deferred.fromCoroutine(_ask(monitor))
    asked.addErrback(_on_bug)
    return asked.addBoth(lambda _end: setattr(monitor, 'is_polling', False))


async def _ask(monitor: RestartMonitor) -> None:
    guard = monitor.guard
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
    if record_load_report(monitor, report.ok):
        guard_log.warning('Target restarted. Load starts again from cold.')


def _decode(raw: bytes) -> Result[LoadReport, Fault]:
    try:
        return Ok(DECODER.decode(raw))
    except msgspec.MsgspecError as exc:
        return Error(Fault('', f'load report does not decode: {exc}'))


def _on_bug(failure: Failure) -> None:
    guard_log.error('Load watch failed inside: %s', failure.getTraceback())
