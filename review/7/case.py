"""A heartbeat that a cut has held up is written after the instance has left."""

import asyncio
import time
from collections.abc import Sequence
from itertools import chain, repeat
from typing import Final, NamedTuple

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
    Deployment,
    Host,
    Route,
    free_ports,
    loopback,
)
from review.fleet.instance import Instance

WORK_S: Final = 0.1
# Clients at each of the other two machines: more than one instance can serve.
CLIENTS: Final = 6
PAUSE_S: Final = 0.02
# Bound ``Drain``.
DRAIN_S: Final = 2.0
# The machine of the instance that leaves is cut off from the store.
CUT_AT_S: Final = 4.0
CUT_S: Final = 5.5
# Bound ``Contact``: from here on, that machine is in touch again.
IN_TOUCH_AT_S: Final = CUT_AT_S + CUT_S + 3.0
# TCP sends unacknowledged bytes again after 0.2 s, and then after twice the
# time; this is how long after its sending each attempt is made.
RESEND_S: Final = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)
ENDS_AT_S: Final = 15.0
# The store removes the entry after three heartbeats of silence.
LAPSES_AT_S: Final = 7.9


class Beat(NamedTuple):
    """A heartbeat of the instance that leaves, and when it is sent.

    Attributes
    ----------
    state
        Empty for the removal of the entry, after three heartbeats of silence.
    """

    sent_at: float
    sequence: int
    state: str = 'ready'


BEATS: Final = (
    Beat(0.4, 1),
    Beat(1.9, 2),
    Beat(3.4, 3),
    Beat(4.9, 4),
    Beat(6.4, 5),
    Beat(7.9, 6),
    Beat(9.6, 7),
    Beat(10.5, 8, 'draining'),
    Beat(12.0, 9, 'draining'),
    Beat(13.5, 10, 'draining'),
)


def main() -> None:
    """Run the case."""
    run_case(__file__, _play)


async def _play(record: Record) -> int | None:
    hosts = [
        Host(loopback(2), 'zone-a', Instance('i-front', 'front', WORK_S)),
        Host(loopback(3), 'zone-b', Instance('i-stays', 'orders', WORK_S)),
        Host(loopback(4), 'zone-c', Instance('i-leaves', 'orders', WORK_S)),
    ]
    deployment = Deployment(hosts)
    try:
        return await _play_on(record, deployment, hosts)
    finally:
        await deployment.close()


async def _play_on(
    record: Record, deployment: Deployment, hosts: Sequence[Host]
) -> int | None:
    await deployment.open()
    own_port = free_ports(1)[0]
    await deployment.store.open(own_port)
    deployment.own_store_ports[hosts[-1].ip] = own_port
    await deployment.configure(1, [Route('book', '/book/', 'unsafe', 'orders')])
    if not await deployment.start_nodes():
        return None
    clients = Clients(record, 'DELETE /book/kit HTTP/1.1', 1000)
    outbounds = [deployment.address(host.ip, 'Outbound') for host in hosts[:-1]]
    loads = start_clients(
        clients, chain.from_iterable(repeat(outbounds, CLIENTS)), PAUSE_S
    )
    forbidden_from = await _leave(record, deployment, hosts[-1])
    await stop_clients(clients, loads)
    return _judge(record, hosts[-1].instance, forbidden_from)


async def _leave(
    record: Record, deployment: Deployment, host: Host
) -> float | None:
    """Beat, and leave; return from when on no request may arrive."""
    began_at = time.monotonic()
    cutting = asyncio.create_task(_cut(record, deployment, host))
    drained_at: float | None = None
    for written_at, beat in _writes():
        await _sleep_until(began_at + written_at)  # noqa: WPS476
        at = await _write(deployment, host, beat)  # noqa: WPS476
        record.note(f'{beat} is written', at)
        if beat.state == 'draining' and drained_at is None:
            drained_at = at
    await _sleep_until(began_at + ENDS_AT_S)
    await cutting
    if drained_at is None:
        return None
    return max(drained_at + DRAIN_S, began_at + IN_TOUCH_AT_S)


async def _write(
    deployment: Deployment, host: Host, beat: Beat
) -> float | None:
    if beat.state:
        return await deployment.register(host, beat.state, beat.sequence)
    key = f'servers/{host.instance.instance_id}'
    return await deployment.store.put(key, None)


async def _cut(record: Record, deployment: Deployment, host: Host) -> None:
    """Cut the node beside the instance off from the store."""
    if not has_trouble():
        return
    port = deployment.own_store_ports[host.ip]
    await asyncio.sleep(CUT_AT_S)
    deployment.store.cut_ports.add(port)
    record.note('the machine of i-leaves is cut off from the store')
    await asyncio.sleep(CUT_S)
    deployment.store.cut_ports.clear()
    record.note('the cut has healed')


async def _sleep_until(wake_at: float) -> None:
    await asyncio.sleep(max(0, wake_at - time.monotonic()))


def _writes() -> list[tuple[float, Beat]]:
    """Return the heartbeats in the order in which they reach the store."""
    written = [(_arrival(beat.sent_at), beat) for beat in BEATS]
    if has_trouble():
        written.append((LAPSES_AT_S, Beat(LAPSES_AT_S, 0, '')))
    return sorted(written)


def _arrival(sent_at: float) -> float:
    """Return when bytes reach the store that are sent at a time."""
    tries = [sent_at, *(sent_at + later for later in RESEND_S)]
    if not has_trouble():
        return sent_at
    return next(at for at in tries if not _is_cut(at))


def _is_cut(at: float) -> bool:
    return CUT_AT_S <= at < CUT_AT_S + CUT_S


def _judge(
    record: Record, instance: Instance, forbidden_from: float | None
) -> int | None:
    if forbidden_from is None:
        return None
    record.note('no request may reach i-leaves from here on', forbidden_from)
    for each in instance.arrivals:
        record.note(f'{each.request_id} reaches i-leaves', each.at)
    late = [
        arrival for arrival in instance.arrivals if arrival.at > forbidden_from
    ]
    record.note(f'requests that reach i-leaves later than Drain: {len(late)}')
    return BROKEN if late else HELD


if __name__ == '__main__':
    main()
