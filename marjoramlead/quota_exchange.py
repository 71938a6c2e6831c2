"""Lease tokens of client accounts from their holders, and grant them.

A node that needs tokens asks the holders of an account in turn, each with one
short request at the port for other nodes. A holder that does not answer soon is
avoided for a while, by this node only.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

import msgspec
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from marjoramlead.client_accounts import ClientAccount
from marjoramlead.clock import Clock
from marjoramlead.deadlines import TimedWait, wait_until
from marjoramlead.errors import DECODING_ERRORS
from marjoramlead.events import emit
from marjoramlead.generated.hop_types import QuotaGrant, QuotaQuestion
from marjoramlead.http_server import StreamRequest
from marjoramlead.mesh_state import MeshState
from marjoramlead.metrics import Metrics, traffic_counter
from marjoramlead.problems import BufferedResponse
from marjoramlead.quota_leases import (
    AccountLeases,
    add_grant,
    count_request,
    expected_tokens,
    leases_of,
    next_holder,
    no_token_refusal,
    put_back,
    take_token,
)
from marjoramlead.quota_plan import (
    Asked,
    Grant,
    HolderState,
    QuotaBounds,
    choose_holders,
    grant_tokens,
    note_hosts,
    plan_quota,
)
from marjoramlead.upstream import (
    Connect,
    ConnectionPool,
    OutgoingRequest,
    Reply,
    SendResult,
    close_idle,
    send,
)
from marjoramlead.verdict import Refusal

__all__ = (
    'QuotaExchange',
    'Token',
    'acquire_token',
    'answer_quota_question',
    'is_quota_question',
    'return_token',
    'update_hosts',
)

QUOTA_PATH: Final = b'/-/marjoram/quota'
QUESTION_HEADER: Final = b'x-marjoram-quota'
# An answer takes a few milliseconds. The timeout leaves out a lost packet,
# because there are other holders.
ANSWER_TIMEOUT_S: Final = 0.2
# Time for which a holder that has not answered is not asked.
AVOID_S: Final = 1.0
IDLE_TIMEOUT_S: Final = 30.0
MS_PER_SECOND: Final = 1000
NO_GRANT: Final = Grant(0, 0, 1)
# Most tokens in one question; others are ignored.
MAX_ASKED: Final = 10_000

QUESTION_DECODER: Final = msgspec.json.Decoder(QuotaQuestion)
GRANT_DECODER: Final = msgspec.json.Decoder(QuotaGrant)


_Waiters = list[Deferred[None]]


@dataclass(slots=True)
class QuotaExchange:
    """Leased tokens of this node, and the buckets that it holds.

    Attributes
    ----------
    port
        Port of all nodes for requests of other nodes.
    bounds
        What may run in any window; the settings may change.
    leases
        Leased tokens by account name.
    avoided_until
        Times until which holders are not asked.
    asking
        Requests that wait for the answer of a holder, by account name.
    """

    mesh_state: MeshState
    reactor: Clock
    metrics: Metrics
    connect: Connect
    port: int
    bounds: QuotaBounds
    holder: HolderState
    leases: dict[str, AccountLeases] = field(default_factory=dict)
    avoided_until: dict[str, float] = field(default_factory=dict)
    asking: dict[str, _Waiters] = field(default_factory=dict)
    pools: dict[str, ConnectionPool] = field(default_factory=dict)


# Account and deadline of a token that a request has taken.
Token = tuple[str, float]


def update_hosts(exchange: QuotaExchange) -> None:
    """Bring the holders in line with the hosts that have targets now."""
    table = exchange.mesh_state.table
    if table is None or table.accounts is None:
        return
    now = exchange.reactor.seconds()
    hosts = _hosts(exchange)
    note_hosts(exchange.holder, hosts, now)
    for host in exchange.pools.keys() - hosts:
        close_idle(exchange.pools.pop(host))
    for name in exchange.leases.keys() - table.accounts.by_name.keys():
        exchange.leases.pop(name)


async def acquire_token(
    exchange: QuotaExchange, account: ClientAccount | None, deadline: float
) -> Token | Refusal | None:
    """Take a token for a request, leasing more if none is left.

    It asks each holder at most once, and waits until the deadline at most.

    Returns
    -------
    The token, the refusal, or None if the account has no quota.
    """
    if account is None or not account.rate_per_s:
        return None
    state = leases_of(exchange.leases, account)
    count_request(state, exchange.reactor.seconds())
    with _counted(state):
        return await _acquire(exchange, state, deadline)


def return_token(exchange: QuotaExchange, token: Token | None) -> None:
    """Return the token of a request that has not run."""
    if token is not None:
        name, expires_at = token
        state = exchange.leases.get(name)
        if state is not None:
            put_back(state, expires_at)


def is_quota_question(req: StreamRequest) -> bool:
    """Return whether another node asks for tokens.

    The path alone does not tell, because clients may use it, too.
    """
    return req.uri == QUOTA_PATH and req.requestHeaders.hasHeader(
        QUESTION_HEADER
    )


def answer_quota_question(exchange: QuotaExchange, req: StreamRequest) -> None:
    """Answer another node that needs tokens."""
    raw = req.requestHeaders.getRawHeaders(QUESTION_HEADER, [b''])
    try:
        question = QUESTION_DECODER.decode(raw[0])
    except DECODING_ERRORS as exc:
        emit('hop_unreadable', why=str(exc))
        req.send_response(
            BufferedResponse(HTTPStatus.BAD_REQUEST, Headers(), b'')
        )
        return
    asked = Asked(_bounded(question['needed']), _bounded(question['expected']))
    grant = _grant(exchange, question['account'], asked)
    answer: QuotaGrant = {
        'tokens': grant.tokens,
        'lease_ms': grant.lease_s * MS_PER_SECOND,
        'wait_ms': grant.wait_s * MS_PER_SECOND,
    }
    body = msgspec.json.encode(answer)
    req.send_response(BufferedResponse(HTTPStatus.OK, Headers(), body))


def _bounded(asked: int) -> int:
    return max(0, min(asked, MAX_ASKED))


@contextmanager
def _counted(state: AccountLeases) -> Iterator[None]:
    """Count a request among those that need a token."""
    state.needed += 1
    try:
        yield
    finally:
        state.needed -= 1


async def _acquire(
    exchange: QuotaExchange, state: AccountLeases, deadline: float
) -> Token | Refusal:
    name = state.account.name
    started_at = exchange.reactor.seconds()
    asked: set[str] = set()
    while True:  # noqa: WPS457  # each holder is asked once, then refuses
        now = exchange.reactor.seconds()
        expires_at = take_token(state, now)
        if expires_at is not None:
            exchange.metrics.quota.labels('used').inc()
            return name, expires_at
        refusal = None
        if now >= deadline:
            refusal = no_token_refusal(state, (), now)
        elif name not in exchange.asking:
            refusal = _ask_next(exchange, state, asked, started_at)
        if refusal is not None:
            exchange.metrics.quota.labels(refusal.reason).inc()
            return refusal
        await wait_until(exchange.reactor, _answer(exchange, name), deadline)


def _ask_next(
    exchange: QuotaExchange,
    state: AccountLeases,
    asked: set[str],
    started_at: float,
) -> Refusal | None:
    """Ask the next holder not yet asked; return a refusal if there is none."""
    now = exchange.reactor.seconds()
    holders = choose_holders(state.account.name, _hosts(exchange))
    host = next_holder(
        state,
        [each for each in holders if each not in asked],
        exchange.holder.own_host,
        exchange.avoided_until,
        now,
    )
    if host is None:
        return no_token_refusal(state, holders, now, started_at)
    asked.add(host)
    _ask(exchange, state, host)
    return None


async def _answer(exchange: QuotaExchange, name: str) -> None:
    """Wait for the answer of the holder that is being asked, if any."""
    waiters = exchange.asking.get(name)
    if waiters is not None:
        answered: Deferred[None] = Deferred()
        waiters.append(answered)
        await answered


def _hosts(exchange: QuotaExchange) -> frozenset[str]:
    targets = exchange.mesh_state.targets.values()
    return frozenset(entry.address[0] for entry in targets)


def _ask(exchange: QuotaExchange, state: AccountLeases, host: str) -> None:
    """Ask a holder for tokens; the answer of this node itself is at hand."""
    now = exchange.reactor.seconds()
    asked = Asked(state.needed, expected_tokens(state, now), now)
    name = state.account.name
    if host == exchange.holder.own_host:
        grant = _grant(exchange, name, asked)
        add_grant(state, host, asked, grant, now)
        return
    exchange.asking[name] = []
    asking = Deferred.fromCoroutine(_ask_remotely(exchange, state, host, asked))
    asking.addErrback(lambda failure: emit('bug', error=str(failure)))
    asking.addBoth(lambda _done: _end_asking(exchange, name))


def _end_asking(exchange: QuotaExchange, name: str) -> None:
    for answered in exchange.asking.pop(name):
        if not answered.called:
            answered.callback(None)


async def _ask_remotely(
    exchange: QuotaExchange,
    state: AccountLeases,
    host: str,
    asked: Asked,
) -> None:
    question: QuotaQuestion = {
        'account': state.account.name,
        'needed': asked.needed,
        'expected': asked.expected,
    }
    outgoing = OutgoingRequest(
        b'GET',
        QUOTA_PATH,
        [(b'Host', b'node'), (QUESTION_HEADER, msgspec.json.encode(question))],
        b'',
    )
    account = state.account
    wait = TimedWait(exchange.reactor, send(_pool(exchange, host), outgoing))
    wait.add_deadline(asked.at + ANSWER_TIMEOUT_S)
    grant = _read_grant(await wait.result())
    now = exchange.reactor.seconds()
    exchange.metrics.quota.labels('asked').inc()
    if grant is None:
        exchange.avoided_until[host] = now + AVOID_S
        emit('quota_holder_lost', holder=host, account=account.name)
    elif state.account == account:
        add_grant(state, host, asked, grant, now)


def _read_grant(sent: SendResult | None) -> Grant | None:
    reply: Reply | None = sent.ok if sent is not None and sent.is_ok() else None
    if reply is None or reply.status != HTTPStatus.OK:
        return None
    try:
        answer = GRANT_DECODER.decode(reply.body)
    except DECODING_ERRORS as exc:
        emit('hop_unreadable', why=str(exc))
        return None
    return Grant(
        answer['tokens'],
        answer['lease_ms'] / MS_PER_SECOND,
        answer['wait_ms'] / MS_PER_SECOND,
    )


def _grant(exchange: QuotaExchange, name: str, asked: Asked) -> Grant:
    """Grant tokens as a holder, if this node knows the mesh well enough."""
    mesh_state = exchange.mesh_state
    now = exchange.reactor.seconds()
    table = mesh_state.table
    accounts = table.accounts if table else None
    account = accounts.by_name.get(name) if accounts else None
    is_old = now - mesh_state.confirmed_at > exchange.holder.max_age_s
    if account is None or is_old:
        return NO_GRANT
    if not account.rate_per_s:
        return Grant(asked.needed + asked.expected, 1, 0)
    note_hosts(exchange.holder, _hosts(exchange), now)
    plan = plan_quota(account, exchange.bounds)
    return grant_tokens(exchange.holder, account, plan, asked, now)


def _pool(exchange: QuotaExchange, host: str) -> ConnectionPool:
    pool = exchange.pools.get(host)
    if pool is None:
        pool = ConnectionPool(
            exchange.reactor,
            (host, exchange.port),
            IDLE_TIMEOUT_S,
            exchange.connect,
            traffic_counter(exchange.metrics, 'quota'),
        )
        exchange.pools[host] = pool
    return pool
