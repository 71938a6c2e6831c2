"""Answers without end exceed the memory of the node beside their instance."""

import asyncio
import sys
from itertools import repeat
from typing import Final

from review.standins.client import Client, Request
from review.standins.deployment import Deployment, make_config, make_hosts
from review.standins.http_messages import Message
from review.standins.instance import SEAL, Connection, Instance
from review.standins.record import Outcome, Record, play_case
from review.standins.watchdog import Watchdog

SERVICE: Final = 'orders'
ROUTE: Final = (
    'order',
    'a.example',
    '/order/',
    'unsafe',
    '1000ms',
    '250ms',
    2,
    SERVICE,
    2,
    None,
)
TEMPLATE: Final = Request('DELETE', 'a.example', '/order/x', '', 1000)
HOSTS: Final = 4
# Instances that spoil answers: a share of 0.5.
SPOILING: Final = frozenset(('i-host-1', 'i-host-2'))
CLIENTS_PER_HOST: Final = 5
PAUSE_S: Final = 0.05
MEMORY_MB: Final = 150
WINDOWS: Final = 7
WINDOW_S: Final = 5.0
BETWEEN_WINDOWS_S: Final = 4.0
# In each window, an instance spoils three answers after this many others: a
# share of less than 0.05.
WHOLE_ANSWERS: Final = 60
ENDLESS_ANSWERS: Final = 3
PART: Final = bytes(65_536)
# The rule: ends of two machines, three of each.
MIN_MACHINES: Final = 2
MIN_ENDS: Final = 3


class EndlessInstance(Instance):
    """An instance that sends some answers without length and without end."""

    def __init__(self, *fields: str | Record) -> None:
        super().__init__(*fields)  # type: ignore[arg-type]
        self._requests = 0

    def open_window(self) -> None:
        """Begin to count the answers of a new disruption."""
        self._requests = 0

    async def answer(self, connection: Connection, message: Message) -> None:
        """Run a request; send its answer until the node closes, if chosen."""
        self._requests += 1
        index = self._requests - WHOLE_ANSWERS
        is_chosen = 0 < index <= ENDLESS_ANSWERS
        is_spoiling = self.record.has_trouble and self.instance_id in SPOILING
        if is_spoiling and is_chosen:
            await self._answer_without_end(connection, message)
        else:
            await self.run(connection, message)

    async def _answer_without_end(
        self, connection: Connection, message: Message
    ) -> None:
        request_id = message.headers['x-request-id']
        self.record.add(f'endless {request_id} at {self.instance_id}')
        writer = connection.writer
        head = (
            'HTTP/1.1 200 OK\r\n'
            f'X-Request-Id: {request_id}\r\n'
            f'X-Server-Seal: {SEAL}\r\n\r\n'
        )
        writer.write(head.encode())
        while not writer.is_closing():
            writer.write(PART)
            await writer.drain()  # noqa: WPS476  # one part after another


async def play(record: Record) -> Outcome:
    """Spoil a few answers, and count the processes that are killed."""
    hosts = make_hosts(tuple(repeat(SERVICE, HOSTS)))
    deployment = Deployment(record, hosts, EndlessInstance)
    watchdog = Watchdog(record, MEMORY_MB)
    try:
        await _play(record, deployment, watchdog)
    finally:
        await deployment.stop()
    return _check(record, watchdog)


async def _play(
    record: Record, deployment: Deployment, watchdog: Watchdog
) -> None:
    await deployment.start(make_config(ROUTE, SERVICE))
    watches = [
        asyncio.create_task(watchdog.watch(node))
        for node in deployment.nodes.values()
    ]
    for index in range(WINDOWS):
        record.add(f'window {index}')
        await _play_window(record, deployment, index)  # noqa: WPS476
    for watch in watches:
        watch.cancel()
    await asyncio.wait(watches)


async def _play_window(
    record: Record, deployment: Deployment, index: int
) -> None:
    for instance in deployment.instances.values():
        if isinstance(instance, EndlessInstance):
            instance.open_window()
    clients = [
        _make_client(record, deployment, name, f'{name}-{index}-{number}')
        for name in deployment.nodes
        for number in range(CLIENTS_PER_HOST)
    ]
    running = asyncio.gather(*[client.run(PAUSE_S) for client in clients])
    await asyncio.sleep(WINDOW_S)
    for client in clients:
        client.stop()
    await running
    await asyncio.sleep(BETWEEN_WINDOWS_S)


def _make_client(
    record: Record, deployment: Deployment, name: str, request_id: str
) -> Client:
    template = TEMPLATE._replace(request_id=request_id)
    return Client(record, deployment.outbound(name), template)


def _check(record: Record, watchdog: Watchdog) -> Outcome:
    record.conclude(f'most megabytes used: {dict(watchdog.most_mb)}')
    record.conclude(f'kills: {dict(watchdog.kills)}')
    ends = [count for count in watchdog.kills.values() if count >= MIN_ENDS]
    return Outcome.BROKEN if len(ends) >= MIN_MACHINES else Outcome.HELD


if __name__ == '__main__':
    sys.exit(play_case(__file__, play))
