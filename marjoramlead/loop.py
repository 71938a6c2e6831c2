"""Install the event loop of a process."""

from typing import cast

from marjoramlead.clock import Reactor

__all__ = ('install_asyncio_reactor', 'install_reactor')


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
    return _installed_reactor()


def _installed_reactor() -> Reactor:
    from twisted.internet import reactor  # exists only after install()

    return cast(Reactor, reactor)
