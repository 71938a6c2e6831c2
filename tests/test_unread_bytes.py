"""What has been received and not been read counts as memory of the host."""

import asyncio

from tests.crowds import (
    Limits,
    peak_mb,
    running_system,
    send_crowd,
    unread_mb,
)
from tests.test_crowds import with_length

# Memory of the smallest host, and the largest body.
LIMITS = Limits(150, 67_108_864, 4_100)
CLIENTS = 900


async def play(folder):
    """Let clients of two ports send bodies that were refused."""
    async with running_system(folder, LIMITS) as system:
        node = system.nodes[0]
        crowds = [
            asyncio.create_task(
                send_crowd(
                    system, with_length(CLIENTS, 900_000_000, 20_000_000), port
                )
            )
            for port in ('outbound', 'inbound')
        ]
        most = 0
        while not all(crowd.done() for crowd in crowds):
            await asyncio.sleep(0.5)
            most = max(most, peak_mb(node) + unread_mb(system, node))
        return node.process.returncode, most


def test_received_bytes_that_are_not_read_fit_into_the_memory(tmp_path):
    returncode, most = asyncio.run(play(tmp_path))
    assert returncode is None
    assert most <= LIMITS.memory_mb
