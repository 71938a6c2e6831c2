"""Open-loop load: calls start when they are due, whatever came of others."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, readBody
from twisted.web.iweb import IResponse

from marjoramlead.clock import Clock

__all__ = ('LoadRun', 'start_load')

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
MICROSECONDS = 1_000_000


@dataclass
class LoadRun:
    """What has come of the calls of one load.

    Attributes
    ----------
    latency
        Microseconds from when a call was due to its whole answer.
    ends
        Calls by status; 0 where there was no answer.
    open_calls
        Calls that have not ended.
    """

    clock: Clock
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS),
    )
    calls_by_status: Counter[int] = field(default_factory=Counter)
    open_calls: int = 0

    def percentile_ms(self, percentile: float) -> float:
        """Latency below which so many in a hundred calls were."""
        micros = self.latency_us.get_value_at_percentile(percentile)
        return round(micros / 1000, 2)


def start_load(
    load: LoadRun,
    agent: Agent,
    url: bytes,
    rate: float,
    seconds: float,
) -> Deferred[None]:
    """Make ``rate`` calls a second for some seconds.

    Returns
    -------
    Fires when the last call has ended.
    """
    done: Deferred[None] = Deferred()
    began = load.clock.seconds()
    total = int(rate * seconds)

    def due_at(number: int) -> float:
        return began + number / rate

    def make(number: int) -> None:
        load.open_calls += 1
        pending = agent.request(b'GET', url)
        pending.addCallback(_read)
        pending.addCallbacks(
            lambda status: end(number, status),
            lambda _failure: end(number, 0),
        )
        plan(number + 1)

    def plan(number: int) -> None:
        if number < total:
            delay = max(0, due_at(number) - load.clock.seconds())
            load.clock.callLater(delay, make, number)

    def end(number: int, status: int) -> None:
        load.open_calls -= 1
        load.calls_by_status[status] += 1
        taken = load.clock.seconds() - due_at(number)
        load.latency_us.record_value(max(1, int(taken * MICROSECONDS)))
        if sum(load.calls_by_status.values()) == total:
            done.callback(None)

    plan(0)
    return done


def _read(response: IResponse) -> Deferred[int]:
    return readBody(response).addCallback(lambda _content: response.code)
