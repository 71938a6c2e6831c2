"""A query that a restarted node answers late denies a run that took place."""

import asyncio
import signal
import sys
from collections import Counter
from itertools import chain, repeat
from typing import Final

from review.standins.client import Answer, Request, send_request
from review.standins.deployment import Deployment, make_config, make_hosts
from review.standins.record import Outcome, Record, play_case

CALLING_SERVICE: Final = 'catalogue'
SERVICE: Final = 'orders'
ROUTE: Final = (
    'scan',
    'a.example',
    '/scan/',
    'upload',
    '4402ms',
    '1174ms',
    1,
    SERVICE,
    2,
    None,
)
# One host of ten is killed and frozen: a share of 0.1.
SERVICES: Final = (*repeat(CALLING_SERVICE, 7), *repeat(SERVICE, 3))
SENDER: Final = 'host-1'
KILLED: Final = 'host-9'
REQUESTS: Final = 24
DEADLINE_MS: Final = 4402
WORK_S: Final = 0.6
# Time from the requests to the kill, and from the kill to the next start.
KILL_DELAY_S: Final = 0.2
RESTART_DELAY_S: Final = 0.3
MAX_START_S: Final = 15.0
FREEZE_S: Final = 2.5
PROMISES: Final = frozenset((408, 421, 429, 503))


async def play(record: Record) -> Outcome:
    """Send requests; kill the node of their target, and freeze it later."""
    hosts = make_hosts(SERVICES)
    deployment = Deployment(record, hosts)
    try:
        return await _play(record, deployment)
    finally:
        await deployment.stop()


async def _play(record: Record, deployment: Deployment) -> Outcome:
    await deployment.start(make_config(ROUTE, CALLING_SERVICE, SERVICE))
    for instance in deployment.instances.values():
        instance.work_s = WORK_S
    address = deployment.outbound(SENDER)
    template = Request(
        'POST', 'a.example', '/scan/x', '', DEADLINE_MS, b'scan' * 100
    )
    requests = [
        template._replace(request_id=f'scan-{number}')
        for number in range(REQUESTS)
    ]
    sending = asyncio.gather(
        *[send_request(record, address, each) for each in requests]
    )
    if record.has_trouble:
        await asyncio.sleep(KILL_DELAY_S)
        await _kill_and_freeze(record, deployment)
    answers = await sending
    instances = deployment.instances.values()
    arrivals = chain.from_iterable(each.arrivals for each in instances)
    return _check(record, Counter(each[1] for each in arrivals), answers)


async def _kill_and_freeze(record: Record, deployment: Deployment) -> None:
    node = deployment.nodes[KILLED]
    await node.kill()
    record.add(f'{KILLED} is killed')
    await asyncio.sleep(RESTART_DELAY_S)
    await node.launch()
    await asyncio.wait_for(node.wait_until_open(), MAX_START_S)
    record.add(f'{KILLED} runs again, and is frozen')
    node.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    node.send_signal(signal.SIGCONT)
    record.add(f'{KILLED} goes on')


def _check(
    record: Record, runs: Counter[str], answers: list[Answer]
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
