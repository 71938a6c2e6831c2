"""A crowd that comes while its node stops, reloads or loses its target."""

import asyncio
import signal
from itertools import chain

from tests.crowds import (
    HANG_S,
    Limits,
    ask_until_served,
    descriptors,
    leave,
    peak_mb,
    reload_settings,
    running_system,
    send_crowd,
    stop_target,
)
from tests.test_crowds import CHUNK, CROWDS, chunked, with_length

# Memory of the smallest host, and the largest body.
LIMITS = Limits(150, 67_108_864, 4_100)


def mixed_crowd():
    return chain(
        chunked(40, CHUNK, 47),
        chunked(10, b'1\r\nx\r\n' * 10_000, 10),
        with_length(40, 60_000_000, 4_000_000),
        with_length(40, 900_000_000, 4_000_000),
        CROWDS['unread_answers'](),
        CROWDS['heads'](),
        CROWDS['refused_ahead'](),
    )


async def play(folder, change):
    """Let crowds come before and after a change of the first node."""
    async with running_system(folder, LIMITS) as system:
        first, others = system.nodes[0], system.nodes[1:]
        await send_crowd(system, mixed_crowd())
        crowd = asyncio.create_task(send_crowd(system, mixed_crowd()))
        await asyncio.sleep(0.2)
        change(first)
        await crowd
        if change is stop:
            returncode = await asyncio.wait_for(first.process.wait(), HANG_S)
            assert returncode == 0
            system.nodes.remove(first)
        served = [await ask_until_served(system, node) for node in system.nodes]
        leave(system)
        served += [
            await ask_until_served(system, node) for node in system.nodes
        ]
        assert all(served)
        for node in (first, *others) if first in system.nodes else others:
            assert node.process.returncode is None
            assert peak_mb(node) <= LIMITS.memory_mb
            assert descriptors(node) <= LIMITS.max_fds


def stop(node):
    node.process.send_signal(signal.SIGTERM)


def reload(node):
    reload_settings(node, max_fds=400, memory_mb=120, discard_s=5)


def test_crowd_at_a_node_that_stops(tmp_path):
    asyncio.run(play(tmp_path, stop))


def test_crowd_at_a_node_that_reads_lower_limits(tmp_path):
    asyncio.run(play(tmp_path, reload))


def test_crowd_at_a_node_that_loses_its_target(tmp_path):
    asyncio.run(play(tmp_path, stop_target))
