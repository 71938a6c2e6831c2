"""One crowd after another, on the smallest host."""

import asyncio
import time
from itertools import repeat

from tests.crowds import (
    Limits,
    ask_until_served,
    head_of,
    leave,
    peak_mb,
    read_slowly,
    running_system,
    send_crowd,
)
from tests.test_crowds import CROWDS, PEER_CROWDS, PROBE_CROWDS

# Memory of the smallest host, and the largest body.
LIMITS = Limits(150, 67_108_864, 4_100)
ROUNDS = 3
CLIENTS = 80
READ_S = 4


def large_answer(number):
    path = '/small/size/10000000'
    return head_of(number, path=path, method='GET')


async def read_slowly_and_leave(system):
    until = time.monotonic() + READ_S
    reading = [
        read_slowly(system.address(), large_answer(number), 20_000, 0.05, until)
        for number in range(CLIENTS)
    ]
    await asyncio.gather(*reading)


async def read_nothing(system):
    crowd = [repeat(large_answer(number), 2) for number in range(CLIENTS)]
    await send_crowd(system, crowd)


async def play(folder, crowds):
    async with running_system(folder, LIMITS) as system:
        for crowd in crowds:
            await crowd(system)
        served = [await ask_until_served(system, node) for node in system.nodes]
        leave(system)
        served += [
            await ask_until_served(system, node) for node in system.nodes
        ]
        returncodes = [node.process.returncode for node in system.nodes]
        return served, returncodes, max(map(peak_mb, system.nodes))


def check(outcome):
    served, returncodes, peak = outcome
    assert returncodes == [None, None]
    assert peak <= LIMITS.memory_mb
    assert all(served)


def crowd_by_name(name):
    async def send(system):
        leave(system)
        await send_crowd(system, CROWDS[name]())

    return send


async def at_all_nodes_and_ports(system):
    crowds = [
        *((name, 'outbound') for name in CROWDS),
        *((name, 'inbound') for name in PEER_CROWDS),
        *((name, 'ready') for name in PROBE_CROWDS),
    ]
    sending = [
        send_crowd(system, CROWDS[name](), port, index)
        for name, port in crowds
        for index in range(len(system.nodes))
    ]
    await asyncio.gather(*sending)


# Closed connections kept what they had not sent.
def test_each_crowd_after_another_one_that_has_left(tmp_path):
    crowds = [crowd_by_name(name) for name in CROWDS]
    check(asyncio.run(play(tmp_path, crowds)))


def test_all_crowds_at_all_nodes_and_ports_at_once(tmp_path):
    check(asyncio.run(play(tmp_path, [at_all_nodes_and_ports])))


# Closed connections kept what they had not sent, until garbage was collected.
def test_unread_answers_after_clients_that_read_slowly_and_left(tmp_path):
    crowds = ROUNDS * [read_slowly_and_leave] + ROUNDS * [read_nothing]
    check(asyncio.run(play(tmp_path, crowds)))
