"""The platform's limit on memory: it kills a process that exceeds it."""

import asyncio
from collections import Counter
from pathlib import Path
from typing import Final

from review.standins.fleet import Node
from review.standins.record import Record

__all__ = ('Watchdog',)

POLL_INTERVAL_S: Final = 0.01
RESTART_DELAY_S: Final = 0.5
BYTES_PER_MB: Final = 1_000_000
BYTES_PER_KB: Final = 1_024


class Watchdog:
    """Kill the nodes that exceed their memory, and start them again.

    Attributes
    ----------
    kills
        Number of kills, by the name of the host.
    most_mb
        Largest memory seen, by the name of the host.
    """

    def __init__(self, record: Record, memory_mb: int) -> None:
        self.kills: Counter[str] = Counter()
        self.most_mb: Counter[str] = Counter()
        self._record = record
        self._memory_mb = memory_mb

    async def watch(self, node: Node) -> None:
        """Watch a node until cancelled."""
        name = node.host.name
        while True:  # noqa: WPS457  # until cancelled
            used_mb = _resident_mb(node)
            self.most_mb[name] = max(used_mb, self.most_mb[name])
            if used_mb > self._memory_mb:
                await self._restart(node, used_mb)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _restart(self, node: Node, used_mb: int) -> None:
        name = node.host.name
        self.kills[name] += 1
        self._record.add(f'{name} uses {used_mb} MB and is killed')
        await node.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        await node.start()
        self._record.add(f'{name} runs again')


def _resident_mb(node: Node) -> int:
    """Return the resident memory of a node's process, in megabytes."""
    if node.process is None:
        return 0
    status = Path(f'/proc/{node.process.pid}/status').read_text()
    for line in status.splitlines():
        name, _colon, text = line.partition(':')
        if name == 'VmRSS':
            return int(text.split()[0]) * BYTES_PER_KB // BYTES_PER_MB
    return 0
