"""Protocols for the parts of Twisted's reactor that this package uses."""

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred

__all__ = ('Clock', 'ListeningPort', 'Reactor', 'Timer')


class Timer(Protocol):
    """A delayed call, as returned by ``Clock.callLater``."""

    def active(self) -> bool:
        """Return whether the call has been neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call."""

    def getTime(self) -> float:
        """Return the time at which the call is due."""

    def reset(self, delay: float) -> None:
        """Make the call a delay in seconds from now."""


class Clock(Protocol):
    """A monotonic clock that can schedule delayed calls."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""

    def callLater(
        self,
        delay: float,
        function: Callable[..., object],
        *arguments: object,
    ) -> Timer:
        """Call a function after a delay in seconds."""


class ListeningPort(Protocol):
    """A TCP port that accepts connections."""

    def doRead(self) -> None:
        """Accept connections that wait."""

    def stopListening(self) -> Deferred[None] | None:
        """Stop accepting connections; open connections stay open.

        Returns
        -------
        Fires when the port is closed; None if it was closed before.
        """


class Reactor(Clock, Protocol):
    """An event loop: a clock that also listens for connections."""

    def listenTCP(
        self,
        port: int,
        factory: object,
        *,
        interface: str,
    ) -> ListeningPort:
        """Listen for TCP connections on an interface."""

    def callFromThread(
        self,
        function: Callable[..., object],
        *arguments: object,
    ) -> None:
        """Schedule a call in the loop's thread; safe from any thread."""

    def callWhenRunning(
        self,
        function: Callable[..., object],
        *arguments: object,
    ) -> None:
        """Call a function as soon as the loop is running."""

    def run(self, *, installSignalHandlers: bool) -> None:
        """Run the loop until ``stop`` is called."""

    def stop(self) -> None:
        """Stop the loop."""
