"""Poll the load report of the local target to detect its restarts."""

from dataclasses import dataclass
from typing import Final, TypedDict

import msgspec
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from marjoramlead.errors import DECODING_ERRORS, Fault
from marjoramlead.guard import Guard, apply_current_config
from marjoramlead.http_client import fetch
from marjoramlead.logs import guard_log
from marjoramlead.slow_start import (
    on_restart,
    on_restart_ruled_out,
    on_suspected_restart,
)

__all__ = (
    'RestartMonitor',
    'TargetLoadReport',
    'check_for_restart',
    'start_restart_monitor',
    'suspect_restart',
)

POLL_PERIOD_S: Final = 0.5
POLL_TIMEOUT_S: Final = 0.4


class TargetLoadReport(TypedDict):
    """The part of a target's load report that is used here.

    Attributes
    ----------
    started
        Identifies the run of the target; it changes with each restart.
    """

    started: str


DECODER: Final = msgspec.json.Decoder(TargetLoadReport)


@dataclass(slots=True)
class RestartMonitor:
    """State of the polls of the local target.

    Attributes
    ----------
    guard
        Guard of the target.
    last_started
        ``started`` of the last report; None before the first one.
    is_polling
        Whether a poll is in progress.
    """

    guard: Guard
    last_started: str | None = None
    is_polling: bool = False


def start_restart_monitor(monitor: RestartMonitor) -> LoopingCall:
    """Request the load report of the target periodically.

    Each poll also applies the current configuration to the guard.
    """
    poll_loop = LoopingCall(_start_poll, monitor)
    poll_loop.start(POLL_PERIOD_S)
    return poll_loop


def check_for_restart(
    monitor: RestartMonitor, report: TargetLoadReport
) -> bool:
    """Compare a load report with the last one, and update slow start.

    Returns
    -------
    Whether the target restarted; True for the first report as well.
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
    """Limit the load on a target that may have restarted, and poll it.

    Call this when a connection to the target closes, because a restart of the
    target closes its connections. The limit applies until the next load
    report.
    """
    monitor.guard.counters.add('target.suspected')
    on_suspected_restart(monitor.guard.admission.slow_start)
    if not monitor.is_polling:
        _start_poll(monitor)


def _start_poll(monitor: RestartMonitor) -> 'Deferred[None]':
    monitor.is_polling = True
    poll = Deferred.fromCoroutine(_poll_load_report(monitor))
    poll.addErrback(_on_unexpected_error)
    return poll.addBoth(lambda _end: setattr(monitor, 'is_polling', False))


async def _poll_load_report(monitor: RestartMonitor) -> None:
    guard = monitor.guard
    apply_current_config(guard)
    own = guard.target
    base = f'http://{own["address"]}:{own["port"]}'
    fetched = await fetch(
        guard.target_agent,
        guard.reactor,
        base + own['load_path'],
        guard.reactor.seconds() + POLL_TIMEOUT_S,
    )
    report = fetched.bind(_decode_report)
    if report.is_error():
        guard.counters.add('target.no_report')
        return
    if check_for_restart(monitor, report.ok):
        guard_log.warning('The target restarted; slow start begins again.')


def _decode_report(raw: bytes) -> Result[TargetLoadReport, Fault]:
    try:
        return Ok(DECODER.decode(raw))
    except DECODING_ERRORS as exc:
        return Error(Fault('', f'load report does not decode: {exc}'))


def _on_unexpected_error(failure: Failure) -> None:
    guard_log.error(
        'Unexpected error while polling the load report: %s',
        failure.getTraceback(),
    )
