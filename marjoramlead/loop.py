"""Install Twisted's reactor on an asyncio event loop."""

import asyncio
from typing import cast

from twisted.internet import asyncioreactor

from marjoramlead.clock import Reactor

__all__ = ('install_reactor',)


def install_reactor() -> Reactor:
    """Install the process's reactor.

    Call this once, before any module imports ``twisted.internet.reactor``.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor  # exists only after install()

    return cast(Reactor, reactor)
