"""Follow the store: list it, watch it, and ask peers while it is away.

Each node watches for itself. A node that cannot reach the store, or hears
from another node of a revision that its own watch has not told, asks peers
for what is newer; a silent connection is found in the same way.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Final, NamedTuple, Protocol

from expression import Result
from twisted.internet.defer import Deferred

from marjoramlead.address import Address
from marjoramlead.clock import Clock
from marjoramlead.errors import Fault
from marjoramlead.events import emit
from marjoramlead.generated.hop_types import FeedDocument
from marjoramlead.hops import FEED_PATH, decode_feed, records_from_feed
from marjoramlead.limits import Wait
from marjoramlead.upstream import (
    Connect,
    ConnectionPool,
    OutgoingRequest,
    close_idle,
    connect_tcp,
    send,
)
from marjoramlead.world import (
    Record,
    World,
    apply_records,
    confirm,
    drop_absent,
)

__all__ = ('Feed', 'News', 'Store', 'nudge', 'start_feed')

# How long a watch waits for an event. A connection that went silent is found
# after this and the answer limit: within five seconds, the three until a node
# counts as in touch again and the two for what is new then.
WATCH_S: Final = 4.0
# Changes come in bursts, and each watch that ends is a call to the store: the
# next ones are left to gather for so long. Routing has two seconds to be in
# force; targets that come back are waited for.
SETTLE_ROUTING_S: Final = 0.5
SETTLE_TARGETS_S: Final = 0.15
# A store that failed for so long may have lost entries of live targets.
OUTAGE_S: Final = 1.0
# Between two tries while the store does not answer: first, and at most.
RETRY_FIRST_S: Final = 0.15
RETRY_MAX_S: Final = 1.0
# A higher revision heard of elsewhere is awaited on the own watch so long.
NUDGE_S: Final = 0.25
PEER_LIMIT_S: Final = 0.6
HTTP_OK: Final = 200


class News(NamedTuple):
    """What the store told.

    Attributes
    ----------
    is_whole
        Whether the records are all that it holds.
    """

    records: list[Record]
    revision: int
    is_whole: bool


class Store(Protocol):
    """The store of the platform, to be read only."""

    async def list_all(self) -> Result[News, Fault]:
        """Read all that it holds."""

    async def watch(self, after: int, wait_s: float) -> Result[News, Fault]:
        """Wait for what changes after a revision.

        A fault whose path is ``history`` means that this is not known any
        more, and that all must be read again.
        """


@dataclass(slots=True)
class Feed:
    """How far this node has followed the store.

    Attributes
    ----------
    peers
        Tells the addresses of other nodes.
    on_news
        Called after anything has changed.
    after
        Revision that the own watch has reached; 0 before the first listing.
    heard
        Highest revision that any node has spoken of.
    failures
        Calls to the store that failed in a row, the first at ``lost_at``.
    """

    world: World
    store: Store
    peers: Callable[[], list[Address]]
    on_news: Callable[[], None]
    reactor: Clock
    rng: Random
    connect: Connect = connect_tcp
    after: int = 0
    heard: int = 0
    failures: int = 0
    lost_at: float = 0
    is_asking: bool = False


def start_feed(feed: Feed) -> None:
    """Follow the store from now on."""
    Deferred.fromCoroutine(_follow(feed)).addErrback(
        lambda failure: emit('bug', error=failure.getTraceback()),
    )


def nudge(feed: Feed, revision: int) -> None:
    """Hear that some node knows of a revision."""
    if revision <= feed.heard or revision <= feed.world.revision:
        return
    feed.heard = revision
    feed.reactor.callLater(NUDGE_S, _check_heard, feed, revision)


def _check_heard(feed: Feed, revision: int) -> None:
    if feed.world.revision < revision:
        emit('behind', known=feed.world.revision, heard=revision)
        _ask_soon(feed)


async def _follow(feed: Feed) -> None:
    while True:  # noqa: WPS457  # ends with the process
        if feed.after:
            told = await feed.store.watch(feed.after, WATCH_S)
        else:
            told = await feed.store.list_all()
        if told.is_ok():
            known = feed.world.table
            _take(feed, told.ok)
            is_routing = feed.world.table is not known
            if told.ok.records:
                await _sleep(
                    feed.reactor,
                    SETTLE_ROUTING_S if is_routing else SETTLE_TARGETS_S,
                )
        else:
            await _on_fault(feed, told.error)


def _take(feed: Feed, news: News) -> None:
    now = feed.reactor.seconds()
    if feed.failures:
        emit('store_regained', failures=feed.failures)
        if now > feed.lost_at + OUTAGE_S:
            feed.world.regained_at = now
    feed.failures = 0
    confirm(feed.world, news.revision, now)
    changed = apply_records(feed.world, news.records, now)
    if news.is_whole:
        keys = [record.key for record in news.records]
        changed += drop_absent(feed.world, keys, news.revision, now)
    feed.after = news.revision
    _announce(feed, changed, 'store')


async def _on_fault(feed: Feed, fault: Fault) -> None:
    if fault.path == 'history':
        emit('store_history_lost', after=feed.after)
        feed.after = 0
        return
    if not feed.failures:
        feed.lost_at = feed.reactor.seconds()
        emit('store_lost', reason=fault.reason, revision=feed.world.revision)
    feed.failures += 1
    _ask_soon(feed)
    longest = min(RETRY_MAX_S, RETRY_FIRST_S * 2**feed.failures)
    await _sleep(feed.reactor, feed.rng.uniform(longest / 2, longest))


def _ask_soon(feed: Feed) -> None:
    if feed.is_asking:
        return
    feed.is_asking = True
    asked = Deferred.fromCoroutine(_ask_peer(feed))
    asked.addErrback(
        lambda failure: emit('bug', error=failure.getTraceback()),
    )
    asked.addBoth(lambda _result: _end_asking(feed))


def _end_asking(feed: Feed) -> None:
    feed.is_asking = False


async def _ask_peer(feed: Feed) -> None:
    peers = feed.peers()
    if not peers:
        return
    address = feed.rng.choice(peers)
    raw = await _read_peer(feed, address)
    if raw is None:
        return
    decoded = decode_feed(raw)
    if decoded.is_error():
        emit('hop_unreadable', why=decoded.error)
    elif decoded.ok['revision'] >= feed.world.revision:
        _take_from_peer(feed, decoded.ok, address)


async def _read_peer(feed: Feed, address: Address) -> bytes | None:
    uri = FEED_PATH + b'?after=%d' % feed.world.revision
    pool = ConnectionPool(feed.reactor, address, 0, feed.connect)
    outgoing = OutgoingRequest(b'GET', uri, [(b'Host', b'node')], b'')
    wait = Wait(feed.reactor, send(pool, outgoing))
    wait.end_at(feed.reactor.seconds() + PEER_LIMIT_S)
    sent = await wait.result()
    close_idle(pool)
    if sent is None or sent.is_error() or sent.ok.status != HTTP_OK:
        return None
    return sent.ok.body


def _take_from_peer(
    feed: Feed,
    document: FeedDocument,
    address: Address,
) -> None:
    now = feed.reactor.seconds()
    if feed.failures:
        feed.world.regained_at = now
    confirm(feed.world, document['revision'], now - document['age_s'])
    changed = apply_records(feed.world, records_from_feed(document), now)
    _announce(feed, changed, address[0])


def _announce(feed: Feed, changed: list[Record], origin: str) -> None:
    if not changed:
        return
    emit(
        'news',
        origin=origin,
        revision=feed.world.revision,
        keys=[record.key for record in changed[:10]],
        count=len(changed),
        version=feed.world.table.version if feed.world.table else 0,
    )
    feed.on_news()


def _sleep(reactor: Clock, seconds: float) -> Awaitable[None]:
    slept: Deferred[None] = Deferred()
    reactor.callLater(seconds, slept.callback, None)
    return slept
