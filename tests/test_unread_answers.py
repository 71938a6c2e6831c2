"""Clients that ask for large answers, and read none or a little of them.

They stay while an ordinary client asks for a large answer.
"""

import asyncio
import time
from itertools import repeat

import pytest

from tests.crowds import (
    Limits,
    ask_until_served,
    descriptors,
    head_of,
    peak_mb,
    read_slowly,
    running_system,
    send_crowd,
)

LIMITS = Limits()
CLIENTS = 60
# Most of an answer waits in the node, as the system takes 4 MB of each.
PATH = '/small/size/6000000'
# Fits into the budget of 8 MB, but not beside one of the others.
ORDINARY_PATH = '/small/size/3000000'
HELD_S = 60


def request(number, *fields):
    return head_of(number, *fields, path=PATH, method='GET')


async def read_none(system, *fields):
    crowd = ([request(number, *fields)] for number in range(CLIENTS))
    await send_crowd(system, crowd)


async def read_none_and_close(system):
    await read_none(system, 'Connection: close')


async def read_none_of_several(system):
    crowd = (repeat(request(number), 3) for number in range(CLIENTS))
    await send_crowd(system, crowd)


async def read_little(system):
    until = time.monotonic() + HELD_S
    readers = [
        asyncio.create_task(
            read_slowly(system.address(), request(number), 1_000, 0.25, until)
        )
        for number in range(CLIENTS)
    ]
    await asyncio.wait(readers, timeout=5)


async def play(folder, crowd):
    async with running_system(folder, LIMITS) as system:
        for _round in range(2):
            await crowd(system)
        served = [
            await ask_until_served(system, node, ORDINARY_PATH)
            for node in system.nodes
        ]
        figures = [
            (node.process.returncode, peak_mb(node), descriptors(node))
            for node in system.nodes
        ]
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        return served, figures


@pytest.mark.parametrize(
    'crowd', [read_none, read_none_and_close, read_none_of_several, read_little]
)
def test_unread_answers_do_not_keep_the_memory_from_others(tmp_path, crowd):
    served, figures = asyncio.run(play(tmp_path, crowd))
    assert all(served)
    for returncode, peak, count in figures:
        assert returncode is None
        assert peak <= LIMITS.memory_mb
        assert count <= LIMITS.max_fds
