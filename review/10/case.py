"""A version of the configuration allows longer headers."""

import asyncio
from typing import Final

from review.fleet.cases import (
    BROKEN,
    HELD,
    Clients,
    Record,
    has_trouble,
    run_case,
)
from review.fleet.deployment import Deployment, Host, Route, loopback
from review.fleet.instance import Instance

WORK_S: Final = 0.02
CALM_S: Final = 2.0
# Bound ``ConfigApply``, and a second more.
APPLIED_S: Final = 3.0
REQUESTS: Final = 10
OK: Final = 200
# Limits on heads before and after, and the length of one header of the
# clients, which is within the limit of the version in force.
OLD_HEADER_BYTES: Final = 16_384
NEW_HEADER_BYTES: Final = 65_536
SHORT_HEADER_BYTES: Final = 12_000
LONG_HEADER_BYTES: Final = 20_000


def main() -> None:
    """Run the case."""
    run_case(__file__, _play)


async def _play(record: Record) -> int | None:
    hosts = [
        Host(loopback(2), 'zone-a', Instance('i-front', 'front', WORK_S)),
        Host(loopback(3), 'zone-b', Instance('i-orders', 'orders', WORK_S)),
    ]
    deployment = Deployment(hosts)
    try:
        return await _play_on(record, deployment)
    finally:
        await deployment.close()


async def _play_on(record: Record, deployment: Deployment) -> int | None:
    routes = [Route('book', '/book/', 'unsafe', 'orders')]
    await deployment.open()
    await deployment.configure(1, routes, OLD_HEADER_BYTES)
    if not await deployment.start_nodes():
        return None
    await asyncio.sleep(CALM_S)
    length = SHORT_HEADER_BYTES
    if has_trouble():
        length = LONG_HEADER_BYTES
        await deployment.configure(2, routes, NEW_HEADER_BYTES)
        record.note('version 2 is acknowledged: MaxHeaderBytes 65536')
    clients = Clients(
        record, 'DELETE /book/kit HTTP/1.1', 1000, {'Cookie': 'c' * length}
    )
    await _send_all(deployment, clients)
    reached = deployment.hosts[loopback(3)].instance.arrivals
    record.note(f'requests that reached the instance: {len(reached)}')
    refused = [each for each in clients.sent if each.status != OK]
    record.note(f'requests of {REQUESTS} without a success: {len(refused)}')
    return BROKEN if refused else HELD


async def _send_all(deployment: Deployment, clients: Clients) -> None:
    await asyncio.sleep(APPLIED_S)
    outbound = deployment.address(loopback(2), 'Outbound')
    for _request in range(REQUESTS):
        await clients.send(outbound)  # noqa: WPS476


if __name__ == '__main__':
    main()
