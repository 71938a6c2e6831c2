"""Limits on request heads and on idle connections, and their timers."""

from collections.abc import Callable
from typing import Final, NamedTuple

from marjoramlead.clock import Clock, Timer

__all__ = ('IDLE_TIMEOUT_S', 'ConnectionTimers', 'HeadLimits')

IDLE_TIMEOUT_S: Final = 75.0


class HeadLimits(NamedTuple):
    """Limits on request heads and on idle connections.

    Attributes
    ----------
    header_bytes
        Maximum size of all header lines together.
    header_s
        Maximum time from the first byte of a request to the end of its
        headers, in seconds.
    idle_s
        Keep-alive timeout: maximum time without a byte between two requests,
        in seconds.
    """

    header_bytes: int = 16_384
    header_s: float = 75.0
    idle_s: float = IDLE_TIMEOUT_S


class ConnectionTimers:
    """Timer of a connection that is idle or receives the head of a request.

    Parameters
    ----------
    clock
        Clock of the timer.
    limits
        Returns the limits in force.
    on_idle
        Called at the end of the keep-alive timeout.
    on_slow_head
        Called if the head of a request does not arrive in time.
    """

    def __init__(
        self,
        clock: Clock,
        limits: Callable[[], HeadLimits],
        on_idle: Callable[[], None],
        on_slow_head: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._on_idle = on_idle
        self._on_slow_head = on_slow_head
        self._timer: Timer | None = None
        self._is_reading_head = False
        self._idle_since = clock.seconds()

    def start_idle_period(self) -> None:
        """Start the keep-alive timeout."""
        self._idle_since = self._clock.seconds()
        self._set_timer(self._limits().idle_s, self._check_idle)

    def start_head(self) -> None:
        """Start the timeout of a head, unless it is running."""
        if not self._is_reading_head:
            self._set_timer(self._limits().header_s, self._on_slow_head)
            self._is_reading_head = True

    def cancel(self) -> None:
        """Cancel the timer."""
        self._is_reading_head = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _check_idle(self) -> None:
        """End the idle period, unless a longer limit has come into force."""
        idle_until = self._idle_since + self._limits().idle_s
        now = self._clock.seconds()
        if now < idle_until:
            self._set_timer(idle_until - now, self._check_idle)
        else:
            self._on_idle()

    def _set_timer(self, delay_s: float, call: Callable[[], None]) -> None:
        self.cancel()
        self._timer = self._clock.callLater(delay_s, call)
