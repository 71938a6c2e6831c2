"""Crowds of clients that nobody controls, against nodes as real processes."""

import asyncio
from itertools import chain, repeat

import pytest

from tests.crowds import (
    Limits,
    ask,
    ask_until_served,
    descriptors,
    head_of,
    leave,
    peak_mb,
    running_system,
    send_crowd,
)

LIMITS = Limits()
CHUNK = b'fa00\r\n%s\r\n' % bytes(64_000)
CHUNKED = 'Transfer-Encoding: chunked'
FATE_PATH = '/-/marjoram/fate'
# A read that waits until there is something new.
FEED_PATH = '/-/marjoram/feed?after=999999&wait_ms=60000'
HEADERS = [f'x{number:03d}-of-many: value' for number in range(480)]
PIECE = bytes(50_000)
# Clients that begin at the same time.
WAVE = 50


def with_length(count, size, sent, path='/up/x'):
    """Return clients that announce a body and send a part of it."""
    pieces, rest = divmod(sent, len(PIECE))
    for number in range(count):
        head = head_of(number, f'Content-Length: {size}', path=path)
        yield chain([head], repeat(PIECE, pieces), [bytes(rest)])


def chunked(count, part, parts, port_path='/up/x'):
    """Return clients that send chunks, but not the last one."""
    for number in range(count):
        yield chain(
            [head_of(number, CHUNKED, path=port_path)], repeat(part, parts)
        )


def byte_by_byte(count, size):
    """Return clients that send a chunk in reads of one byte."""
    for number in range(count):
        yield chain([head_of(number, CHUNKED), b'fa00\r\n'], repeat(b'x', size))


CROWDS = {
    'with_length': lambda: with_length(40, 2_000_000, 1_999_999),
    'chunked': lambda: chunked(150, CHUNK, 47),
    'tiny_chunks': lambda: chunked(20, b'1\r\nx\r\n' * 10_000, 10),
    'extensions': lambda: chunked(20, b'1;%s\r\nx\r\n' % (b'e' * 900), 3_000),
    'byte_by_byte': lambda: byte_by_byte(20, 3_000),
    'announced_too_large': lambda: with_length(40, 900_000_000, 4_000_000),
    'too_large': lambda: chunked(40, CHUNK, 250),
    'heads': lambda: (
        [head_of(number)[:-2], b'X-Long: %s' % (b'x' * 12_000)]
        for number in range(300)
    ),
    'requests_ahead': lambda: (
        repeat(head_of(number, path='/small/large', method='GET'), 500)
        for number in range(40)
    ),
    'refused_ahead': lambda: (
        repeat(b'GET /none HTTP/1.1\r\nHost: a\r\n\r\n' * 1_000, 20)
        for _client in range(40)
    ),
    'unread_answers': lambda: (
        repeat(head_of(number, path='/small/large', method='GET'), 2)
        for number in range(100)
    ),
    'mixture': lambda: chain(
        chunked(40, CHUNK, 47),
        chunked(10, b'1\r\nx\r\n' * 10_000, 10),
        with_length(20, 4_000_000, 3_999_999),
        chunked(20, CHUNK, 250),
    ),
}
# What only other nodes send, but anybody can.
NODE_CROWDS = {
    'queries': lambda: with_length(700, 131_000, 130_999, FATE_PATH),
    'queries_in_chunks': lambda: chunked(700, CHUNK, 2, FATE_PATH),
    'reads_with_bodies': lambda: with_length(700, 200_000, 150_000, FEED_PATH),
}
PEER_CROWDS = (
    'with_length',
    'chunked',
    'tiny_chunks',
    'too_large',
    'heads',
    'refused_ahead',
)
PROBE_CROWDS = ('announced_too_large', 'too_large', 'heads', 'refused_ahead')


async def play(folder, crowd, port, limits=LIMITS):
    async with running_system(folder, limits) as system:
        clients = list(crowd)
        for start in range(0, len(clients), WAVE):
            await send_crowd(system, clients[start : start + WAVE], port)
        figures = [
            (node.process.returncode, peak_mb(node), descriptors(node))
            for node in system.nodes
        ]
        served_meanwhile = [
            await ask_until_served(system, node) for node in system.nodes
        ]
        leave(system)
        served = [await ask_until_served(system, node) for node in system.nodes]
        figures += [
            (node.process.returncode, peak_mb(node), descriptors(node))
            for node in system.nodes
        ]
    for returncode, peak, count in figures:
        assert returncode is None
        assert peak <= limits.memory_mb
        assert count <= limits.max_fds
    assert all(served_meanwhile)
    assert all(served)


@pytest.mark.parametrize('name', CROWDS)
def test_crowd_of_clients_ends_no_process(tmp_path, name):
    asyncio.run(play(tmp_path, CROWDS[name](), 'outbound'))


@pytest.mark.parametrize('name', PEER_CROWDS)
def test_crowd_at_the_port_of_other_nodes_ends_no_process(tmp_path, name):
    asyncio.run(play(tmp_path, CROWDS[name](), 'inbound'))


@pytest.mark.parametrize('name', PROBE_CROWDS)
def test_crowd_at_the_port_of_probes_ends_no_process(tmp_path, name):
    asyncio.run(play(tmp_path, CROWDS[name](), 'ready'))


@pytest.mark.parametrize('name', NODE_CROWDS)
def test_crowd_of_queries_and_reads_ends_no_process(tmp_path, name):
    limits = Limits(max_fds=4_100)
    asyncio.run(play(tmp_path, NODE_CROWDS[name](), 'inbound', limits))


@pytest.mark.parametrize('port', ['outbound', 'inbound'])
def test_connections_left_open_do_not_take_all_descriptors(tmp_path, port):
    limits = Limits(max_fds=400)
    asyncio.run(play(tmp_path, repeat([b''], 600), port, limits))


def test_many_headers_of_open_requests_are_bounded(tmp_path):
    crowd = [
        [head_of(number, CHUNKED, *HEADERS), b'1\r\nx\r\n']
        for number in range(500)
    ]
    asyncio.run(play(tmp_path, crowd, 'outbound', Limits(max_fds=4_100)))


async def play_single(folder, limits, request):
    async with running_system(folder, limits) as system:
        status = await ask(*system.address(), request)
        return status, system.received[-1], max(map(peak_mb, system.nodes))


# A single request of the largest size, on the smallest host.
@pytest.mark.parametrize('has_local_target', [False, True])
@pytest.mark.parametrize('is_chunked', [False, True])
def test_single_request_of_the_largest_size_is_served(
    tmp_path, is_chunked, has_local_target
):
    limits = Limits(150, 67_108_864, has_local_target=has_local_target)
    if is_chunked:
        chunk = b'%x\r\n%s\r\n' % (1 << 20, bytes(1 << 20))
        head = head_of('large', CHUNKED)
        request = b''.join([head, *repeat(chunk, 64), b'0\r\n\r\n'])
    else:
        request = head_of('large', 'Content-Length: 67108864')
        request += bytes(67_108_864)
    status, length, peak = asyncio.run(play_single(tmp_path, limits, request))
    assert (status, length) == (200, 67_108_864)
    assert peak <= limits.memory_mb
