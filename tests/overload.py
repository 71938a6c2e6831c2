"""Load beyond the capacity of a mesh whose targets call each other.

Browsing requests run at ``web`` and make two calls to ``api``, where bookings
run too. Clients that are refused return once, as the platform's do: after the
Retry-After time, but at most a third of the time that they have left.
"""

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred

from tests.platform_mesh import Host, PlatformMesh

# Services of the hosts.
HOSTS = ('api', 'web', 'api', 'web')
SLOTS = 4
# Shape of the gamma distribution of service times; their standard deviation is
# about three quarters of the mean.
SERVICE_TIME_SHAPE = 1.8
CALLS_PER_BROWSE = 2
CALL_TIMEOUT_MS = 250
MAX_ATTEMPTS = 2
MAX_RETURN_SHARE = 1 / 3
WARM_UP_S = 1.5


class Kind(NamedTuple):
    """A kind of request of clients."""

    path: str
    method: bytes
    work_s: float
    objective_s: float
    timeout_s: float
    capacity_per_s: float


# At these rates together, all slots are busy: a browsing request holds a slot
# for its work and the longer of its calls.
BROWSE = Kind('browse', b'GET', 0.09, 0.3, 1.2, 63)
BOOK = Kind('book', b'POST', 0.12, 0.4, 1.5, 42)
STATUS_WORK_S = 0.022
WORK_S = {'browse': BROWSE.work_s, 'book': BOOK.work_s, 'status': STATUS_WORK_S}
COLUMNS = [
    'Name',
    'Host',
    'PathPrefix',
    'Kind',
    'Timeout',
    'TargetLatency',
    'Priority',
    'Service',
    'MaxAttempts',
    'WeightedServices',
]
ROUTES = [
    [
        'browse',
        'shop.example',
        '/browse/',
        'safe',
        '1200ms',
        '300ms',
        2,
        'web',
        2,
        None,
    ],
    [
        'book',
        'shop.example',
        '/book/',
        'unsafe',
        '1500ms',
        '400ms',
        1,
        'api',
        2,
        None,
    ],
    [
        'status',
        'shop.example',
        '/status/',
        'safe',
        '250ms',
        '100ms',
        1,
        'api',
        2,
        None,
    ],
]


@dataclass
class Client:
    """One client's request with all its attempts."""

    kind: Kind
    host: Host
    path: str
    arrived_at: float
    attempts: int = 0
    waited_as_told: bool = False


@dataclass
class LoadResult:
    """What became of the requests that arrived after the warm-up.

    Attributes
    ----------
    outcomes
        Number of requests by kind and by ``in_time``, ``late``, ``refused``
        or ``failed``.
    calls
        Number of calls of running requests, by status.
    returns
        Number of second attempts of clients that waited for as long as they
        were told, by status.
    """

    outcomes: Counter = field(default_factory=Counter)
    calls: Counter = field(default_factory=Counter)
    returns: Counter = field(default_factory=Counter)

    def count(self, outcome: str) -> int:
        """Return the number of requests with an outcome."""
        return sum(
            number
            for (_kind, each), number in self.outcomes.items()
            if each == outcome
        )


@dataclass
class LoadedMesh:
    """A mesh, the load on it, and the results so far."""

    rng: Random
    mesh: PlatformMesh = field(default_factory=PlatformMesh)
    load_result: LoadResult = field(default_factory=LoadResult)
    counted_from: float = 0
    number: int = 0


def play_load(
    factor: float, seconds: float, seed: int = 1, hosts=HOSTS
) -> LoadResult:
    """Send ``factor`` times the capacity of ``HOSTS`` for some seconds."""
    loaded = LoadedMesh(Random(seed))
    mesh = loaded.mesh
    mesh.configure(1, Routes={'Columns': COLUMNS, 'Rows': ROUTES})
    for service in hosts:
        host = mesh.add_host(service, slots=SLOTS)
        host.target.work_of = partial(_work_s, loaded)
        host.target.make_calls = partial(_make_calls, loaded, host)
    mesh.advance(1)
    now = mesh.reactor.seconds()
    loaded.counted_from = now + WARM_UP_S
    for kind in (BROWSE, BOOK):
        rate_per_s = factor * kind.capacity_per_s
        rng = Random(f'{seed} {kind.path}')
        times = _arrival_times(rng, rate_per_s, now, WARM_UP_S + seconds)
        _schedule_arrival(loaded, kind, times)
    mesh.advance(WARM_UP_S + seconds + BOOK.timeout_s)
    return loaded.load_result


def _arrival_times(rng, rate_per_s, start, seconds):
    at = start
    while True:
        at += rng.expovariate(rate_per_s)
        if at >= start + seconds:
            return
        yield at


def _schedule_arrival(loaded, kind, times):
    at = next(times, None)
    if at is not None:
        reactor = loaded.mesh.reactor
        delay = max(0, at - reactor.seconds())
        reactor.callLater(delay, _arrive, loaded, kind, times)


def _arrive(loaded, kind, times):
    _schedule_arrival(loaded, kind, times)
    loaded.number += 1
    client = Client(
        kind,
        loaded.rng.choice(loaded.mesh.hosts),
        f'/{kind.path}/{loaded.number}',
        loaded.mesh.reactor.seconds(),
    )
    _send(loaded, client)


def _send(loaded, client):
    client.attempts += 1
    mesh = loaded.mesh
    left_s = client.arrived_at + client.kind.timeout_s - mesh.reactor.seconds()
    exchange = mesh.send(
        client.host,
        client.path,
        int(left_s * 1000),
        method=client.kind.method,
    )
    exchange.pending.addCallback(lambda _end: _on_end(loaded, client, exchange))


def _on_end(loaded, client, exchange):
    reactor = loaded.mesh.reactor
    now = reactor.seconds()
    is_counted = client.arrived_at >= loaded.counted_from
    if is_counted and client.waited_as_told:
        loaded.load_result.returns[exchange.status] += 1
    may_retry = exchange.status == 503 or client.kind.method == b'GET'
    if exchange.status != 200 and may_retry and client.attempts < MAX_ATTEMPTS:
        left_s = client.arrived_at + client.kind.timeout_s - now
        retry_after = float(exchange.header(b'retry-after') or 0)
        delay = min(retry_after, left_s * MAX_RETURN_SHARE)
        client.waited_as_told = 0 < retry_after <= delay
        reactor.callLater(max(0, delay), _send, loaded, client)
    elif is_counted:
        outcome = _outcome_of(client, exchange, now)
        loaded.load_result.outcomes[client.kind.path, outcome] += 1


def _outcome_of(client, exchange, now):
    if exchange.status == 200:
        is_in_time = now <= client.arrived_at + client.kind.objective_s
        return 'in_time' if is_in_time else 'late'
    return 'refused' if exchange.status == 503 else 'failed'


def _work_s(loaded, arrival):
    mean = WORK_S[arrival.uri.split(b'/')[1].decode()]
    return loaded.rng.gammavariate(
        SERVICE_TIME_SHAPE, mean / SERVICE_TIME_SHAPE
    )


def _make_calls(loaded, host, arrival):
    if not arrival.uri.startswith(b'/browse/'):
        return []
    return [
        _call(loaded, host, arrival, number)
        for number in range(CALLS_PER_BROWSE)
    ]


def _call(loaded, host, arrival, number) -> Deferred:
    call_id = f'{arrival.request_id}.{number}'
    exchange = loaded.mesh.send(
        host,
        f'/status/{call_id}',
        min(CALL_TIMEOUT_MS, arrival.wait_ms),
        request_id=call_id,
    )

    def on_end(_end) -> bool:
        if loaded.mesh.reactor.seconds() >= loaded.counted_from:
            loaded.load_result.calls[exchange.status] += 1
        return exchange.status == 200

    return exchange.pending.addCallback(on_end)
