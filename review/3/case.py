"""Unreadable entries hide that an instance leaves."""

import asyncio
import sys
from collections.abc import Iterable
from itertools import chain, repeat
from typing import Final

from review.standins.client import Answer, Client, Request
from review.standins.deployment import Deployment, make_config, make_hosts
from review.standins.instance import Instance
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
CLIENTS_PER_HOST: Final = 6
PAUSE_S: Final = 0
# Entries of another writer, each written once.
ENTRIES: Final = 6
# No JSON: the lists are never closed.
UNREADABLE: Final = b'[' * 4096
WARM_PLAY_S: Final = 1.0
REPORT_DELAY_S: Final = 0.2
# Bound of the site.
DRAIN_S: Final = 2.0
# An instance serves for Drain and a little longer.
EXIT_DELAY_S: Final = DRAIN_S + 1.0
LAST_PLAY_S: Final = 0.5


async def play(record: Record) -> Outcome:
    """Take an instance away, and count what it gets after ``Drain``."""
    hosts = make_hosts(tuple(repeat(SERVICE, HOSTS)))
    deployment = Deployment(record, hosts)
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
    await asyncio.sleep(WARM_PLAY_S)
    if record.has_trouble:
        _write_unreadable_entries(record, deployment)
    await asyncio.sleep(REPORT_DELAY_S)
    drained_at = await _drain_instance(record, deployment)
    await asyncio.sleep(LAST_PLAY_S)
    for client in clients:
        client.stop()
    await running
    answers = chain.from_iterable(each.answers for each in clients)
    instance = deployment.instances['host-1']
    return _check(record, instance, drained_at, answers)


def _make_client(
    record: Record, deployment: Deployment, name: str, number: int
) -> Client:
    template = TEMPLATE._replace(request_id=f'{name}-{number}')
    return Client(record, deployment.outbound(name), template)


def _write_unreadable_entries(record: Record, deployment: Deployment) -> None:
    for number in range(ENTRIES):
        key = f'servers/agent-{number}'
        deployment.store.put(key, UNREADABLE)
        record.add(f'another writer: {len(UNREADABLE)} bytes in {key}')


async def _drain_instance(record: Record, deployment: Deployment) -> float:
    """Report that an instance leaves; end it later; return the report's time.

    The store has acknowledged the report when it has the entry.
    """
    instance = deployment.instances['host-1']
    key = f'servers/{instance.instance_id}'
    deployment.store.put(key, instance.entry('draining'))
    drained_at = asyncio.get_running_loop().time()
    record.add(f'{instance.instance_id} is draining')
    await asyncio.sleep(EXIT_DELAY_S)
    instance.crash()
    deployment.store.delete(key)
    return drained_at


def _check(
    record: Record,
    instance: Instance,
    drained_at: float,
    answers: Iterable[Answer],
) -> Outcome:
    ages = [arrival.at - drained_at for arrival in instance.arrivals]
    late = [age for age in ages if age > DRAIN_S]
    record.conclude(
        f'{len(late)} requests reached {instance.instance_id} later than '
        f'{DRAIN_S} s after its report; the last one: {max(ages):.3f} s'
    )
    ran = {arrival.request_id for arrival in instance.arrivals}
    lost = [
        answer.request_id
        for answer in answers
        if answer.request_id in ran and answer.status != 200
    ]
    record.conclude(f'{len(lost)} requests ran at it and have no answer of it')
    return Outcome.BROKEN if late else Outcome.HELD


if __name__ == '__main__':
    sys.exit(play_case(__file__, play))
