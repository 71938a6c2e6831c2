"""Wait for a result until a deadline.

A wait that times out returns None; one that the caller cancels raises
``CancelledError``.
"""

from collections.abc import Coroutine
from typing import Generic, TypeVar

from twisted.internet.defer import CancelledError, Deferred

from marjoramlead.clock import Clock, Timer

__all__ = ('TimedWait', 'wait_until')

Awaited = TypeVar('Awaited')


async def wait_until(
    reactor: Clock,
    coroutine: 'Coroutine[Deferred[object], object, Awaited]',
    deadline: float,
) -> Awaited | None:
    """Return a coroutine's result, or None if a deadline passes first.

    Raises
    ------
    CancelledError
        If the caller cancelled the wait.
    """
    wait = TimedWait(reactor, coroutine)
    if not wait.has_ended():
        wait.add_deadline(deadline)
    return await wait.result()


class TimedWait(Generic[Awaited]):
    """A coroutine that is cancelled when the first of its deadlines passes.

    Attributes
    ----------
    has_timed_out
        Whether a deadline has passed.
    """

    def __init__(
        self,
        reactor: Clock,
        coroutine: 'Coroutine[Deferred[object], object, Awaited]',
    ) -> None:
        self.has_timed_out = False
        self._reactor = reactor
        self._pending: Deferred[Awaited] = Deferred.fromCoroutine(coroutine)
        self._timers: list[Timer] = []

    def add_deadline(self, deadline: float) -> Timer:
        """Add a deadline, in seconds on the reactor's clock.

        Cancel the returned timer to remove the deadline.
        """
        left = max(0, deadline - self._reactor.seconds())
        timer = self._reactor.callLater(left, self._time_out)
        self._timers.append(timer)
        return timer

    def has_ended(self) -> bool:
        """Return whether the coroutine has ended, so needs no deadline."""
        return bool(self._pending.called)

    async def result(self) -> Awaited | None:
        """Return the coroutine's result, or None if a deadline passed first.

        Raises
        ------
        CancelledError
            If the caller cancelled the wait.
        """
        try:
            return await self._pending
        except CancelledError:
            if self.has_timed_out:
                return None
            raise
        finally:
            for timer in self._timers:
                if timer.active():
                    timer.cancel()

    def postpone(self, timer: Timer, deadline: float) -> None:
        """Move a deadline to a later time; an earlier one has no effect."""
        if timer.active() and deadline > timer.getTime():
            timer.reset(deadline - self._reactor.seconds())

    def _time_out(self) -> None:
        self.has_timed_out = True
        self._pending.cancel()
