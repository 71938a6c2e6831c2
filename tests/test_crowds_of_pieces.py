"""Clients that send legal bodies piece by piece, more than a port takes.

They go on while an ordinary client asks for an answer.
"""

import asyncio
from contextlib import suppress

import pytest

from tests.crowds import (
    Limits,
    ask_until_served,
    descriptors,
    head_of,
    peak_mb,
    running_system,
)

# A port for clients has 50 connections, one for nodes has 60.
LIMITS = Limits(max_fds=400)
CLIENTS = 100
PIECE = bytes(200)
PAUSE_S = 0.2
LENGTH = 'Content-Length: 1000000'
# Refused long before the body is there, or only after 30 s.
FIELDS = {'refused': ('X-Deadline-Ms: 500',), 'in_progress': ()}


async def send_pieces(address, head, *, returns):
    """Send a body in pieces until the node closes; then perhaps once more."""
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(head)
            while not (writer.is_closing() or reader.at_eof()):
                writer.write(PIECE)
                await asyncio.sleep(PAUSE_S)
            writer.transport.abort()
        if not returns:
            return
        await asyncio.sleep(PAUSE_S)


async def play(folder, fields, port, *, returns):
    async with running_system(folder, LIMITS) as system:
        crowd = [
            asyncio.create_task(
                send_pieces(
                    system.address(port),
                    head_of(number, LENGTH, *fields),
                    returns=returns,
                )
            )
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(3)
        served = [await ask_until_served(system, node) for node in system.nodes]
        figures = [
            (node.process.returncode, peak_mb(node), descriptors(node))
            for node in system.nodes
        ]
        for task in crowd:
            task.cancel()
        await asyncio.wait(crowd)
        return served, figures


@pytest.mark.parametrize('returns', [False, True])
@pytest.mark.parametrize('port', ['outbound', 'inbound'])
@pytest.mark.parametrize('name', FIELDS)
def test_clients_that_send_pieces_do_not_shut_out_others(
    tmp_path, name, port, returns
):
    playing = play(tmp_path, FIELDS[name], port, returns=returns)
    served, figures = asyncio.run(playing)
    assert all(served)
    for returncode, peak, count in figures:
        assert returncode is None
        assert peak <= LIMITS.memory_mb
        assert count <= LIMITS.max_fds
