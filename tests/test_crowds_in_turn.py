"""Clients whose requests are answered one after another, at small hosts.

What a node keeps of a request that has ended is bounded, whatever its size.
"""

import asyncio
import json

import pytest

from tests.crowds import (
    Limits,
    ask_all,
    ask_until_served,
    head_of,
    peak_mb,
    running_system,
)

FATE_PATH = '/-/marjoram/fate'
# Less than the 16,384 bytes that a head may have by default.
LONG = 'x' * 15_000


def long_ids():
    for number in range(3_000):
        yield head_of(f'{number}-{LONG}', path='/small/x', method='GET')


def long_uris_of_refused_requests():
    announced = 'Content-Length: 99999999999'
    for number in range(3_000):
        yield head_of(number, announced, path=f'/small/{number}-{LONG}')


def long_ids_of_fate_queries():
    for number in range(500):
        query = {
            'request_id': f'{number}-{"x" * 120_000}',
            'attempt': 1,
            'sent_ago_s': 0.1,
        }
        body = json.dumps(query).encode()
        length = f'Content-Length: {len(body)}'
        yield head_of(number, length, path=FATE_PATH) + body


def lengths_that_are_no_integers():
    for number in range(4_000):
        yield head_of(number, f'Content-Length: {"9" * 5_000}')


CROWDS = {
    'long_lengths': (lengths_that_are_no_integers, 'outbound'),
    'long_ids': (long_ids, 'outbound'),
    'long_uris': (long_uris_of_refused_requests, 'outbound'),
    'long_fate_queries': (long_ids_of_fate_queries, 'inbound'),
}


async def play(folder, requests, port, limits):
    async with running_system(folder, limits) as system:
        await ask_all(system.address(port), requests)
        served = [await ask_until_served(system, node) for node in system.nodes]
        returncodes = [node.process.returncode for node in system.nodes]
        return served, returncodes, max(map(peak_mb, system.nodes))


@pytest.mark.parametrize('name', CROWDS)
def test_requests_that_have_ended_take_no_memory_by_their_size(tmp_path, name):
    limits = Limits()
    requests, port = CROWDS[name]
    outcome = asyncio.run(play(tmp_path, requests(), port, limits))
    served, returncodes, peak = outcome
    assert returncodes == [None, None]
    assert peak <= limits.memory_mb
    assert all(served)
