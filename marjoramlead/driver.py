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

__all__ = ('Driver', 'answer_frame', 'start_ticks')


@dataclass(slots=True)
class Driver:
    """What the agent's effects are carried out with."""

    agent: Agent
    port: ControlPort
    http: HttpAgent
    reactor: Clock
    source: str


def start_ticks(driver: Driver) -> LoopingCall:
    """Let time pass for the agent."""
    ticks = LoopingCall(_tick, driver)
    ticks.start(TICK_S)
    return ticks


def answer_frame(driver: Driver, frame: Frame) -> Frame:
    """Answer a peer's frame."""
    before = driver.agent.store.root
    now = driver.reactor.seconds()
    reply, effects = on_request(driver.agent, frame, now)
    _log_change(driver, before, f'peer {frame["host"]}')
    _carry_out(driver, effects)
    return reply


def _tick(driver: Driver) -> None:
    _carry_out(driver, on_tick(driver.agent, driver.reactor.seconds()))


def _carry_out(driver: Driver, effects: Iterable[Effect]) -> None:
    for effect in effects:
        if isinstance(effect, SendFrame):
            work = _exchange(driver, effect)
        else:
            work = _read(driver, effect)
        Deferred.fromCoroutine(work).addErrback(_on_bug)


async def _exchange(driver: Driver, effect: SendFrame) -> None:
    pending = driver.port.exchange(effect.address, effect.frame)
    reply = await Deferred.fromFuture(asyncio.ensure_future(pending))
    if reply is None:
        return
    before = driver.agent.store.root
    now = driver.reactor.seconds()
    effects = on_reply(driver.agent, effect, reply, now)
    _log_change(driver, before, f'peer {reply["host"]}')
    _carry_out(driver, effects)


async def _read(driver: Driver, effect: ReadSource) -> None:
    listing = await read_listing(
        driver.http,
        driver.reactor,
        driver.source,
        effect.after,
    )
    now = driver.reactor.seconds()
    if listing.is_error():
        config_log.warning('Source not read: %s.', listing.error)
        on_read_failed(driver.agent, now)
        return
    before = driver.agent.store.root
    effects = on_listing(driver.agent, listing.ok, now)
    _log_change(driver, before, 'the source')
    _carry_out(driver, effects)


def _log_change(driver: Driver, before: str, origin: str) -> None:
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


def _on_bug(failure: Failure) -> None:
    config_log.error('Effect failed inside: %s', failure.getTraceback())
