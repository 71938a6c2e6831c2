"""Watch the local target's load report for signs of a restart."""

from dataclasses import dataclass
from typing import Final, TypedDict

import msgspec
from expression import Error, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from marjoramlead.admission import restart_cold
from marjoramlead.errors import Fault
from marjoramlead.guard import Guard, follow_service
from marjoramlead.http_client import fetch
from marjoramlead.logs import guard_log

__all__ = ('LoadReport', 'LoadWatch', 'note_report', 'start_load_watch')

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


def start_load_watch(guard: Guard) -> LoopingCall:
    """Ask the target for its load report now and then."""
    ticks = LoopingCall(_tick, LoadWatch(guard))
    ticks.start(PERIOD_S)
    return ticks


def note_report(watch: LoadWatch, report: LoadReport) -> bool:
    """Compare a report with the last one; say whether the target restarted."""
    restarted = watch.started not in {None, report['started']}
    watch.started = report['started']
    if restarted:
        restart_cold(watch.guard.admission)
        watch.guard.counters.add('target.restarted')
    return restarted


def _tick(watch: LoadWatch) -> 'Deferred[None]':
    return Deferred.fromCoroutine(_ask(watch)).addErrback(_on_bug)


async def _ask(watch: LoadWatch) -> None:
    guard = watch.guard
    follow_service(guard)
    own = guard.target
    base = f'http://{own["address"]}:{own["port"]}'
    fetched = await fetch(
        guard.agent,
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
