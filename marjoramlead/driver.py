"""Run the I/O of the config agent, which does none itself.

The agent's functions return effects: frames to exchange with peers, and reads
of the configuration source. This module runs them and passes the results back
to the agent.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure
from twisted.web.client import Agent as HttpAgent

from marjoramlead.agent import (
    TICK_S,
    Agent,
    Effect,
    ReadSource,
    SendFrame,
    on_listing,
    on_read_failed,
    on_tick,
)
from marjoramlead.clock import Clock
from marjoramlead.control import ControlPort
from marjoramlead.exchanges import on_reply, on_request
from marjoramlead.generated.frame_types import Frame
from marjoramlead.logs import config_log
from marjoramlead.source import read_listing

__all__ = ('Driver', 'handle_peer_frame', 'start_periodic_ticks')


@dataclass(slots=True)
class Driver:
    """A config agent, and the connections that its effects use.

    Attributes
    ----------
    port
        Sends and receives control frames.
    source_url
        Base URL of the configuration source.
    """

    agent: Agent
    port: ControlPort
    http_agent: HttpAgent
    reactor: Clock
    source_url: str


def start_periodic_ticks(driver: Driver) -> LoopingCall:
    """Call the agent every ``TICK_S`` seconds."""
    ticks = LoopingCall(_on_timer_tick, driver)
    ticks.start(TICK_S)
    return ticks


def handle_peer_frame(driver: Driver, frame: Frame) -> Frame:
    """Handle a frame from a peer and return the reply to it."""
    root_before = driver.agent.store.root
    now = driver.reactor.seconds()
    reply, effects = on_request(driver.agent, frame, now)
    _log_revision_change(driver, root_before, f'peer {frame["host"]}')
    _run_effects(driver, effects)
    return reply


def _on_timer_tick(driver: Driver) -> None:
    _run_effects(driver, on_tick(driver.agent, driver.reactor.seconds()))


def _run_effects(driver: Driver, effects: Iterable[Effect]) -> None:
    for effect in effects:
        if isinstance(effect, SendFrame):
            pending = _exchange_frames(driver, effect)
        else:
            pending = _read_source(driver, effect)
        Deferred.fromCoroutine(pending).addErrback(_log_unexpected_failure)


async def _exchange_frames(driver: Driver, effect: SendFrame) -> None:
    pending = driver.port.exchange(effect.address, effect.frame)
    reply = await Deferred.fromFuture(asyncio.ensure_future(pending))
    if reply is None:
        return
    root_before = driver.agent.store.root
    now = driver.reactor.seconds()
    effects = on_reply(driver.agent, effect, reply, now)
    _log_revision_change(driver, root_before, f'peer {reply["host"]}')
    _run_effects(driver, effects)


async def _read_source(driver: Driver, effect: ReadSource) -> None:
    listing = await read_listing(
        driver.http_agent,
        driver.reactor,
        driver.source_url,
        effect.after,
    )
    now = driver.reactor.seconds()
    if listing.is_error():
        config_log.warning(
            'Failed to read the configuration source: %s.',
            listing.error,
        )
        on_read_failed(driver.agent, now)
        return
    root_before = driver.agent.store.root
    effects = on_listing(driver.agent, listing.ok, now)
    _log_revision_change(driver, root_before, 'the configuration source')
    _run_effects(driver, effects)


def _log_revision_change(driver: Driver, root_before: str, origin: str) -> None:
    store = driver.agent.store
    if store.root == root_before:
        return
    config_log.info(
        'Configuration changed: newest revision %d, received from %s.',
        store.newest_revision,
        origin,
    )
    for refused in store.refused.values():
        config_log.warning(
            'Rejected %s at revision %d: %s.',
            refused.name,
            refused.revision,
            refused.reason,
        )


def _log_unexpected_failure(failure: Failure) -> None:
    config_log.error(
        'Unexpected error in an effect of the config agent: %s',
        failure.getTraceback(),
    )
