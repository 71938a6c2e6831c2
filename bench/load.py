"""Open-loop load: calls start on schedule, without waiting for others."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, readBody
from twisted.web.iweb import IResponse

from marjoramlead.clock import Clock

__all__ = ('LoadRun', 'start_load')

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_SECOND = 1_000_000


@dataclass
class LoadRun:
    """State and results of one load run.

    Attributes
    ----------
    latency_us
        Microseconds from the time when a call was due to the end of its
        answer or its failure.
    calls_by_status
        Number of calls by HTTP status; 0 for calls without an answer.
    open_calls
        Number of calls in progress.
    """

    clock: Clock
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        ),
    )
    calls_by_status: Counter[int] = field(default_factory=Counter)
    open_calls: int = 0

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency, in milliseconds."""
        micros = self.latency_us.get_value_at_percentile(percentile)
        return round(micros / 1000, 2)


def start_load(
    run: LoadRun,
    agent: Agent,
    url: bytes,
    rate: float,
    seconds: float,
) -> Deferred[None]:
    """Make ``rate`` calls per second for some seconds.

    Returns
    -------
    A Deferred that fires when the last call has ended.
    """
    done: Deferred[None] = Deferred()
    started_at = run.clock.seconds()
    total = int(rate * seconds)

    def due_at(number: int) -> float:
        return started_at + number / rate

    def start_call(number: int) -> None:
        run.open_calls += 1
        pending = agent.request(b'GET', url)
        pending.addCallback(_read_status)
        pending.addCallbacks(
            lambda status: record_call(number, status),
            lambda _failure: record_call(number, 0),
        )
        schedule_call(number + 1)

    def schedule_call(number: int) -> None:
        if number < total:
            delay = max(0, due_at(number) - run.clock.seconds())
            run.clock.callLater(delay, start_call, number)

    def record_call(number: int, status: int) -> None:
        run.open_calls -= 1
        run.calls_by_status[status] += 1
        latency_s = run.clock.seconds() - due_at(number)
        run.latency_us.record_value(max(1, int(latency_s * US_PER_SECOND)))
        if sum(run.calls_by_status.values()) == total:
            done.callback(None)

    schedule_call(0)
    return done


def _read_status(response: IResponse) -> Deferred[int]:
    return readBody(response).addCallback(lambda _content: response.code)
