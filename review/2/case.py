"""A late copy of a rejection is taken for the answer to the next request."""

import asyncio
import sys
from collections import Counter
from collections.abc import Iterable
from itertools import chain, repeat
from typing import Final

from review.standins.client import Answer, Client, Request
from review.standins.deployment import Deployment, make_config, make_hosts
from review.standins.http_messages import Message, encode_message
from review.standins.instance import Connection, Instance
from review.standins.record import Outcome, Record, play_case

SERVICE: Final = 'catalogue'
ROUTE: Final = (
    'publish',
    'a.example',
    '/publish/',
    'unsafe',
    '1500ms',
    '600ms',
    1,
    SERVICE,
    2,
    None,
)
TEMPLATE: Final = Request(
    'POST', 'a.example', '/publish/x', '', 1500, b'version'
)
HOSTS: Final = 4
# Hosts whose instances spoil answers: a share of 0.5.
SPOILING_HOSTS: Final = frozenset(('i-host-1', 'i-host-2'))
# Of its answers, an instance sends one in this number twice: a share of 0.03.
ANSWERS_PER_COPY: Final = 34
# Of the requests, an instance rejects this number in twenty: a share of 0.25.
REJECTED_OF_TWENTY: Final = 5
CLIENTS_PER_HOST: Final = 10
PAUSE_S: Final = 0.1
TROUBLE_S: Final = 5.0
PROMISES: Final = frozenset((408, 421, 429, 503))


class BusyInstance(Instance):
    """An instance that rejects some requests.

    The rejection is that of the examples of ``fleetbench wire``. In trouble,
    it sends some answers a second time, where the next one is expected.
    """

    def __init__(self, *fields: str | Record) -> None:
        super().__init__(*fields)  # type: ignore[arg-type]
        self._requests = 0
        self._answers = 0

    async def answer(self, connection: Connection, message: Message) -> None:
        """Reject a request, or run it."""
        self._requests += 1
        if self._requests % 20 < REJECTED_OF_TWENTY:
            request_id = message.headers['x-request-id']
            self.record.add(f'reject {request_id} at {self.instance_id}')
            rejection = encode_message(
                'HTTP/1.1 503 Service Unavailable', {'X-Not-Executed': '1'}
            )
            self.send(connection, rejection)
        else:
            await self.run(connection, message)

    def send(self, connection: Connection, raw: bytes) -> None:
        """Send an answer, and keep a copy of some to be sent late."""
        super().send(connection, raw)
        self._answers += 1
        is_spoiling = self.instance_id in SPOILING_HOSTS
        is_chosen = self._answers % ANSWERS_PER_COPY == 0
        if self.record.has_trouble and is_spoiling and is_chosen:
            status = raw.split(b' ')[1].decode()
            self.record.add(f'late copy of a {status} of {self.instance_id}')
            connection.late_bytes = raw


async def play(record: Record) -> Outcome:
    """Send requests for some seconds, and compare answers and runs."""
    hosts = make_hosts(tuple(repeat(SERVICE, HOSTS)))
    deployment = Deployment(record, hosts, BusyInstance)
    try:
        return await _play(record, deployment)
    finally:
        await deployment.stop()


async def _play(record: Record, deployment: Deployment) -> Outcome:
    await deployment.start(make_config(ROUTE, SERVICE))
    clients = [
        _make_client(record, deployment, name, number)
        for name in deployment.nodes
        for number in range(CLIENTS_PER_HOST)
    ]
    running = asyncio.gather(*[client.run(PAUSE_S) for client in clients])
    await asyncio.sleep(TROUBLE_S)
    for client in clients:
        client.stop()
    await running
    instances = deployment.instances.values()
    arrivals = chain.from_iterable(each.arrivals for each in instances)
    answers = chain.from_iterable(each.answers for each in clients)
    return _check(record, Counter(each[1] for each in arrivals), answers)


def _make_client(
    record: Record, deployment: Deployment, name: str, number: int
) -> Client:
    template = TEMPLATE._replace(request_id=f'{name}-{number}')
    return Client(record, deployment.outbound(name), template)


def _check(
    record: Record, runs: Counter[str], answers: Iterable[Answer]
) -> Outcome:
    twice = [request_id for request_id, count in runs.items() if count > 1]
    refused = [
        answer.request_id
        for answer in answers
        if answer.status in PROMISES and runs[answer.request_id]
    ]
    record.conclude(f'ran more than once: {len(twice)} of {len(runs)}: {twice}')
    record.conclude(f'ran, though refused: {len(refused)}: {refused}')
    return Outcome.BROKEN if twice or refused else Outcome.HELD


if __name__ == '__main__':
    sys.exit(play_case(__file__, play))
