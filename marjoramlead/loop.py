"""The one loop of a process: Twisted's reactor on asyncio."""

import asyncio
from typing import cast

from twisted.internet import asyncioreactor

from marjoramlead.clock import Reactor

__all__ = ('install_reactor',)


def install_reactor() -> Reactor:
    """Install the reactor; call once, before anything imports one."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    from twisted.internet import reactor  # after install

    return cast(Reactor, reactor)
