"""The settings change while processes start."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Final

from review.fleet.cases import (
    BROKEN,
    HELD,
    Record,
    has_trouble,
    run_case,
)
from review.fleet.deployment import (
    Deployment,
    Host,
    Route,
    change_settings,
    loopback,
    wait_ready,
)
from review.fleet.instance import Instance

WORK_S: Final = 0.02
PLAYED_S: Final = 10.0
# The platform starts a process that has ended after this delay.
RESTART_DELAY_S: Final = 0.3
# The settings change this long after a start.
CHANGE_AFTER_S: Final = 0.2
CHANGES: Final = 6
# Machines whose settings do not change: half of them.
UNCHANGED: Final = (loopback(3), loopback(5))
# Ends this soon after a start by the platform's own doing do not count.
EXCUSED_S: Final = 1.0
POLL_S: Final = 0.02
READY_WAIT_S: Final = 10.0
# The day counts 0 if the processes of a tenth of the machines, two at least,
# end by themselves three times.
MACHINES: Final = 2
ENDS: Final = 3


@dataclass
class Machine:
    """The process of a machine, and how often it ended by itself."""

    ip: str
    began_at: float
    started_at: float
    changes_left: int
    ends: list[float] = field(default_factory=list)


def main() -> None:
    """Run the case."""
    run_case(__file__, _play)


async def _play(record: Record) -> int | None:
    hosts = [
        Host(loopback(number), 'zone-a', Instance(f'i-{number}', name, 0.02))
        for number, name in enumerate(('front', 'front', 'orders', 'orders'), 2)
    ]
    deployment = Deployment(hosts)
    try:
        return await _play_on(record, deployment)
    finally:
        await deployment.close()


async def _play_on(record: Record, deployment: Deployment) -> int | None:
    await deployment.open()
    await deployment.configure(1, [Route('book', '/book/', 'unsafe', 'orders')])
    await asyncio.gather(*map(deployment.start_node, deployment.hosts))
    now = time.monotonic()
    changes = CHANGES if has_trouble() else 0
    machines = [
        Machine(ip, now, now, 0 if ip in UNCHANGED else changes)
        for ip in deployment.hosts
    ]
    watching = [_watch(record, deployment, each) for each in machines]
    await asyncio.gather(*watching)
    for machine in machines:
        ready = deployment.address(machine.ip, 'Ready')
        if not await wait_ready(ready, READY_WAIT_S):  # noqa: WPS476
            record.note(f'{machine.ip} is not ready at the end')
    often = [each.ip for each in machines if len(each.ends) >= ENDS]
    record.note(f'processes that ended by themselves {ENDS} times: {often}')
    return BROKEN if len(often) >= MACHINES else HELD


async def _watch(
    record: Record, deployment: Deployment, machine: Machine
) -> None:
    """Change the settings of a machine, and restart what has ended."""
    while time.monotonic() < machine.began_at + PLAYED_S:
        await asyncio.sleep(POLL_S)  # noqa: WPS476
        now = time.monotonic()
        node = deployment.nodes[machine.ip]
        if node.returncode is not None:
            _note_end(record, machine, node.returncode)
            await asyncio.sleep(RESTART_DELAY_S)  # noqa: WPS476
            await deployment.start_node(machine.ip)  # noqa: WPS476
            machine.started_at = time.monotonic()
        elif machine.changes_left and (
            now >= machine.started_at + CHANGE_AFTER_S
        ):
            machine.changes_left -= 1
            machine.started_at = now
            deployment.memory_mb += 1
            change_settings(deployment, machine.ip)
            record.note(f'settings of {machine.ip} have changed: SIGHUP')


def _note_end(record: Record, machine: Machine, status: int) -> None:
    now = time.monotonic()
    record.note(f'the process of {machine.ip} has ended: {status}')
    if now >= machine.began_at + EXCUSED_S:
        machine.ends.append(now)


if __name__ == '__main__':
    main()
