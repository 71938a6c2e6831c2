"""An instance turns cold while the store is down."""

import asyncio
import time
from collections.abc import Sequence
from itertools import chain, repeat
from typing import Final

from review.fleet.cases import (
    BROKEN,
    HELD,
    Clients,
    Record,
    has_trouble,
    run_case,
    start_clients,
    stop_clients,
)
from review.fleet.deployment import (
    WARMUP_PER_S,
    Deployment,
    Host,
    Route,
    loopback,
)
from review.fleet.instance import Instance

# Clients at each of the two machines, and their pauses: some 70 requests a
# second, where six slots serve 83, and 41 while the instance is cold.
CLIENTS: Final = 38
PAUSE_S: Final = 1.0
WORK_S: Final = 0.072
LOAD_S: Final = 5.0
DOWN_S: Final = 4.5
WARMUP_S: Final = 3.0
# The node gets this long to notice: windows of the rule that begin earlier
# are not judged, though the rule has no such excuse.
NOTICE_S: Final = 1.0
# FAILBACK: WarmupPerS x ColdOver + ColdSlack.
LIMIT_PER_S: Final = WARMUP_PER_S * 1.5 + 5
WINDOW_S: Final = 1.0


def main() -> None:
    """Run the case."""
    run_case(__file__, _play)


async def _play(record: Record) -> int | None:
    front = Host(loopback(2), 'zone-a', Instance('i-front', 'front', WORK_S))
    orders = Host(loopback(3), 'zone-b', Instance('i-orders', 'orders', WORK_S))
    deployment = Deployment((front, orders))
    try:
        return await _play_on(record, deployment, orders)
    finally:
        await deployment.close()


async def _play_on(
    record: Record, deployment: Deployment, orders: Host
) -> int | None:
    await deployment.open()
    await deployment.configure(1, [Route('book', '/book/', 'unsafe', 'orders')])
    if not await deployment.start_nodes():
        return None
    clients = Clients(record, 'DELETE /book/kit HTTP/1.1', 1000)
    loads = await _start_load(deployment, clients)
    cold_at = await _turn_cold(record, deployment, orders)
    await stop_clients(clients, loads)
    return _judge(record, clients, orders.instance, cold_at)


async def _start_load(
    deployment: Deployment, clients: Clients
) -> list['asyncio.Task[None]']:
    """Start the clients one after the other, and let them send for a while."""
    outbounds = [deployment.address(ip, 'Outbound') for ip in deployment.hosts]
    loads: list[asyncio.Task[None]] = []
    for outbound in chain.from_iterable(repeat(outbounds, CLIENTS)):
        loads.extend(start_clients(clients, [outbound], PAUSE_S))
        await asyncio.sleep(PAUSE_S / 2 / CLIENTS)  # noqa: WPS476
    await asyncio.sleep(LOAD_S)
    return loads


async def _turn_cold(
    record: Record, deployment: Deployment, orders: Host
) -> float:
    """Let the instance turn cold; return when it did."""
    if has_trouble():
        deployment.store.is_down = True
        record.note('the store is down')
        await asyncio.sleep(WINDOW_S / 2)
    cold_at = time.monotonic()
    orders.instance.cold_until = cold_at + WARMUP_S
    before = [
        each for each in orders.instance.arrivals if each.at > cold_at - 2
    ]
    record.note(f'requests a second before: {len(before) / 2}')
    record.note(f'{orders.instance.instance_id} turns cold', cold_at)
    acknowledged_at = await deployment.register(orders)
    record.note(f'its entry is acknowledged: {acknowledged_at is not None}')
    await asyncio.sleep(DOWN_S - WINDOW_S / 2)
    deployment.store.is_down = False
    await deployment.register(orders)
    record.note('the store is up')
    await asyncio.sleep(WINDOW_S)
    return cold_at


def _judge(
    record: Record, clients: Clients, instance: Instance, cold_at: float
) -> int:
    sent_at = {attempt.request_id: attempt.at for attempt in clients.sent}
    for each in instance.arrivals:
        record.note(f'{each.request_id} reaches the instance', each.at)
    cold = [
        (sent_at[arrival.request_id], arrival.at)
        for arrival in instance.arrivals
        if cold_at <= arrival.at < cold_at + WARMUP_S
    ]
    begins = [at for _sent, at in cold if at >= cold_at + NOTICE_S]
    most = max((_count_within(cold, begin) for begin in begins), default=0)
    record.note(f'most requests in a second, cold: {most} of {LIMIT_PER_S}')
    return BROKEN if most > LIMIT_PER_S else HELD


def _count_within(cold: Sequence[tuple[float, float]], begin: float) -> int:
    """Count the requests that were sent and arrived inside one second."""
    return sum(
        sent >= begin and arrived < begin + WINDOW_S for sent, arrived in cold
    )


if __name__ == '__main__':
    main()
