"""Carry out the effects of the config agent, and feed it what comes back."""

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
    Exchange,
    ReadSource,
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
    """What the agent's effects are carried out with."""

    agent: Agent
    port: ControlPort
    http_agent: HttpAgent
    reactor: Clock
    source_url: str


def start_periodic_ticks(driver: Driver) -> LoopingCall:
    """Let time pass for the agent."""
    ticks = LoopingCall(_on_timer_tick, driver)
    ticks.start(TICK_S)
    return ticks


def handle_peer_frame(driver: Driver, frame: Frame) -> Frame:
    """Answer a peer's frame."""
    before = driver.agent.store.root
    now = driver.reactor.seconds()
    reply, effects = on_request(driver.agent, frame, now)
    _log_revision_change(driver, before, f'peer {frame["host"]}')
    _run_effects(driver, effects)
    return reply


def _on_timer_tick(driver: Driver) -> None:
    _run_effects(driver, on_tick(driver.agent, driver.reactor.seconds()))


def _run_effects(driver: Driver, effects: Iterable[Effect]) -> None:
    for effect in effects:
        if isinstance(effect, Exchange):
            work = _exchange_frames(driver, effect)
        else:
            work = _read_source(driver, effect)
        Deferred.fromCoroutine(work).addErrback(_log_unexpected_failure)


async def _exchange_frames(driver: Driver, effect: Exchange) -> None:
    pending = driver.port.exchange(effect.address, effect.frame)
    reply = await Deferred.fromFuture(asyncio.ensure_future(pending))
    if reply is None:
        return
    before = driver.agent.store.root
    now = driver.reactor.seconds()
    effects = on_reply(driver.agent, effect, reply, now)
    _log_revision_change(driver, before, f'peer {reply["host"]}')
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
        config_log.warning('Source not read: %s.', listing.error)
        on_read_failed(driver.agent, now)
        return
    before = driver.agent.store.root
    effects = on_listing(driver.agent, listing.ok, now)
    _log_revision_change(driver, before, 'the source')
    _run_effects(driver, effects)


def _log_revision_change(driver: Driver, before: str, origin: str) -> None:
    store = driver.agent.store
    if store.root == before:
        return
    config_log.info('Revision %d held, from %s.', store.newest_revision, origin)
    for refused in store.refused.values():
        config_log.warning(
            'Refused %s at revision %d: %s.',
            refused.name,
            refused.revision,
            refused.reason,
        )


def _log_unexpected_failure(failure: Failure) -> None:
    config_log.error('Effect failed inside: %s', failure.getTraceback())
