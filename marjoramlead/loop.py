"""Install the event loop of a process."""

import time
from functools import partial
from typing import Final, cast

from marjoramlead.clock import Reactor

__all__ = (
    'count_suspended_time',
    'install_asyncio_reactor',
    'install_reactor',
)

# Clock that goes on while the host is suspended; only Linux has it.
BOOT_CLOCK: Final = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


def install_asyncio_reactor() -> Reactor:
    """Install Twisted's reactor on an asyncio event loop, for pynng.

    Call this once, before any module imports ``twisted.internet.reactor``.
    """
    import asyncio  # nodes on the platform start without it

    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    return _installed_reactor()


def install_reactor() -> Reactor:
    """Install the fastest reactor of the operating system.

    Call this once, before any module imports ``twisted.internet.reactor``.
    """
    from twisted.internet import default

    default.install()
    reactor = _installed_reactor()
    count_suspended_time(reactor)
    return reactor


def count_suspended_time(reactor: Reactor) -> None:
    """Let the clock of a loop count the time in which its host is suspended.

    Deadlines and ages are compared with those of other hosts, whose clocks go
    on.
    """
    # Called for each timer, so not a function of Python.
    boot_seconds = partial(time.clock_gettime, BOOT_CLOCK)
    reactor.seconds = boot_seconds  # type: ignore[method-assign]


def _installed_reactor() -> Reactor:
    from twisted.internet import reactor  # exists only after install()

    return cast(Reactor, reactor)
