"""What this package needs of a reactor, as types that can be checked."""

from collections.abc import Callable
from typing import Protocol

__all__ = ('Clock', 'ListeningPort', 'Reactor', 'Timer')


class Timer(Protocol):
    """A call that will be made later."""

    def active(self) -> bool:
        """Whether it has neither been made nor cancelled."""

    def cancel(self) -> None:
        """Do not make it."""


class Clock(Protocol):
    """Monotonic time, and calls to be made later."""

    def seconds(self) -> float:
        """Seconds since some fixed point."""

    def callLater(
        self,
        delay: float,
        function: Callable[..., object],
        *arguments: object,
    ) -> Timer:
        """Call a function after so many seconds."""


class ListeningPort(Protocol):
    """A port that accepts connections."""

    def stopListening(self) -> object:
        """Accept no more; open connections stay."""


class Reactor(Clock, Protocol):
    """A clock that also serves connections."""

    def listenTCP(
        self,
        port: int,
        factory: object,
        *,
        interface: str,
    ) -> ListeningPort:
        """Accept connections."""

    def callFromThread(
        self,
        function: Callable[..., object],
        *arguments: object,
    ) -> None:
        """Call a function soon, from the loop."""

    def callWhenRunning(
        self,
        function: Callable[..., object],
        *arguments: object,
    ) -> None:
        """Call a function once the loop runs."""

    def run(self, *, installSignalHandlers: bool) -> None:
        """Run the loop until it is stopped."""

    def stop(self) -> None:
        """End the loop."""
