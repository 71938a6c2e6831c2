"""A changed entry of another writer makes nodes hang."""

import asyncio
import sys
from collections.abc import Sequence
from itertools import chain, repeat
from typing import Any, Final

from review.standins.client import Answer, Client, Request
from review.standins.deployment import Deployment, make_config, make_hosts
from review.standins.fleet import Node
from review.standins.record import Outcome, Record, play_case

SERVICE: Final = 'catalogue'
TIMEOUT_S: Final = 1.5
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
HOSTS: Final = 6
CLIENTS_PER_HOST: Final = 3
PAUSE_S: Final = 0.05
# Rows of the entry of another writer.
ROWS: Final = 20_000
CHANGE_DELAY_S: Final = 3.0
PLAY_S: Final = 20.0
READY_WAIT_S: Final = 1.0
# The rule: half a second later.
GRACE_S: Final = 0.5


async def play(record: Record) -> Outcome:
    """Write an entry and change it; count the requests without an answer."""
    hosts = make_hosts(tuple(repeat(SERVICE, HOSTS)))
    deployment = Deployment(record, hosts)
    try:
        return await _play(record, deployment)
    finally:
        await deployment.stop()


async def _play(record: Record, deployment: Deployment) -> Outcome:
    await deployment.start(make_config(ROUTE, SERVICE))
    _write_entry(record, deployment, 1)
    await asyncio.sleep(CHANGE_DELAY_S)
    clients = [
        _make_client(record, deployment, name, number)
        for name in deployment.nodes
        for number in range(CLIENTS_PER_HOST)
    ]
    running = asyncio.gather(*[client.run(PAUSE_S) for client in clients])
    await asyncio.sleep(1)
    _write_entry(record, deployment, 2)
    await asyncio.sleep(PLAY_S)
    for node in deployment.nodes.values():
        await _ask_ready(record, node)  # noqa: WPS476  # one after another
    for client in clients:
        client.stop()
    await running
    arrivals = chain.from_iterable(
        each.arrivals for each in deployment.instances.values()
    )
    ran = {arrival.request_id for arrival in arrivals}
    answers = tuple(chain.from_iterable(each.answers for each in clients))
    return _check(record, ran, answers)


async def _ask_ready(record: Record, node: Node) -> None:
    try:
        is_ready = await asyncio.wait_for(node.is_ready(), READY_WAIT_S)
    except TimeoutError:
        record.conclude(f'{node.host.name} does not answer /-/ready')
    else:
        record.add(f'{node.host.name} is ready: {is_ready}')


def _write_entry(record: Record, deployment: Deployment, sequence: int) -> None:
    """Write an entry that names no instance."""
    if not record.has_trouble:
        return
    document: dict[str, Any] = {
        'Service': 'sampler',
        'Sequence': sequence,
        'Samples': tuple(repeat((0, 0), ROWS)),
    }
    deployment.store.put('servers/agent', document)
    record.add(f'another writer: {ROWS} rows, Sequence {sequence}')


def _make_client(
    record: Record, deployment: Deployment, name: str, number: int
) -> Client:
    template = TEMPLATE._replace(request_id=f'{name}-{number}')
    return Client(record, deployment.outbound(name), template)


def _check(record: Record, ran: set[str], answers: Sequence[Answer]) -> Outcome:
    overdue = [each for each in answers if each.took_s > TIMEOUT_S]
    missing = [each for each in overdue if each.took_s > TIMEOUT_S + GRACE_S]
    record.conclude(
        f'{len(overdue)} of {len(answers)} requests were unanswered at the '
        f'timeout, {len(missing)} half a second later'
    )
    silent = {each.request_id.rpartition('-')[0] for each in missing}
    record.conclude(f'clients: {sorted(silent)}')
    lost = [each for each in missing if each.request_id in ran]
    record.conclude(f'{len(lost)} of them have run')
    is_broken = 2 * len(missing) > len(overdue)
    return Outcome.BROKEN if is_broken else Outcome.HELD


if __name__ == '__main__':
    sys.exit(play_case(__file__, play))
