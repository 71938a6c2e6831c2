"""Watch the platform's store, and query peers when the watch falls behind.

Each node has its own watch. A node fetches newer records from a peer if it
cannot reach the store, or if another node reports a revision that its own
watch has not delivered, as happens when the connection to the store has gone
silent.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Final, NamedTuple, Protocol

from expression import Result
from twisted.internet.defer import Deferred

from marjoramlead.address import Address
from marjoramlead.clock import Clock
from marjoramlead.deadlines import TimedWait
from marjoramlead.errors import Fault
from marjoramlead.events import emit
from marjoramlead.generated.hop_types import FeedDocument
from marjoramlead.hops import FEED_PATH, decode_feed, records_from_feed
from marjoramlead.mesh_state import (
    MeshState,
    Record,
    apply_records,
    confirm_revision,
    remove_unlisted,
)
from marjoramlead.metrics import Metrics, traffic_counter
from marjoramlead.upstream import (
    Connect,
    ConnectionPool,
    OutgoingRequest,
    close_idle,
    connect_tcp,
    send,
)

__all__ = (
    'Store',
    'StoreUpdate',
    'StoreWatcher',
    'note_reported_revision',
    'start_watching',
)

# Maximum time that a watch waits for a change. A silent connection is detected
# after this time plus the store's response timeout. Their sum must stay within
# five seconds: three until a node counts as connected to the store again, and
# two for a change to take effect.
WATCH_TIMEOUT_S: Final = 4.0
# Debounce intervals before the next watch. Changes come in bursts, and each
# watch that ends costs one call to the store. A routing change has two seconds
# to take effect; target changes have a shorter interval because returning
# targets are needed soon.
ROUTING_DEBOUNCE_S: Final = 0.5
TARGETS_DEBOUNCE_S: Final = 0.15
# After an outage longer than this, the store may lack entries of live targets.
MIN_OUTAGE_S: Final = 1.0
# Backoff between attempts to reach the store: shortest first delay, and longest
# delay. Each delay is random within a factor of two.
BACKOFF_FIRST_S: Final = 0.15
BACKOFF_MAX_S: Final = 1.0
# Time allowed for the watch to deliver a revision that another node reported:
# the node may be waiting between two reads of the store.
REVISION_GRACE_S: Final = ROUTING_DEBOUNCE_S + 0.4
PEER_TIMEOUT_S: Final = 0.6
HTTP_OK: Final = 200


class StoreUpdate(NamedTuple):
    """Records read from the store.

    Attributes
    ----------
    revision
        Revision of the store that the records lead up to.
    listed_prefix
        If set, the records include all whose keys begin with this prefix, and
        others of the same prefix no longer exist.
    """

    records: list[Record]
    revision: int
    listed_prefix: str | None = None


class Store(Protocol):
    """Read access to the platform's store."""

    async def list_all(self) -> Result[StoreUpdate, Fault]:
        """Read all records."""

    async def watch(
        self,
        after: int,
        wait_s: float,
    ) -> Result[StoreUpdate, Fault]:
        """Wait for changes after a revision.

        A fault whose path is ``history`` means that the store no longer knows
        the changes after this revision, and all records must be read again.
        """

    async def read_latest(self, after: int) -> Result[StoreUpdate, Fault]:
        """Read the changes after a revision without replaced versions."""


@dataclass(slots=True)
class StoreWatcher:
    """Progress of this node's watch of the store.

    Attributes
    ----------
    peer_addresses
        Returns the addresses of other nodes.
    on_change
        Called after records have changed.
    after
        Revision that the watch has reached; 0 if all records must be read.
    reported_revision
        Highest revision that another node has reported.
    failures
        Number of consecutive failed calls to the store.
    failing_since
        Time of the first of these failures.
    is_querying_peer
        Whether a query to a peer is in progress.
    is_routing_changing
        Whether the last read delivered a new routing table. More versions may
        follow in quick succession, of which only the latest is then read.
    """

    mesh_state: MeshState
    store: Store
    peer_addresses: Callable[[], list[Address]]
    on_change: Callable[[], None]
    reactor: Clock
    rng: Random
    metrics: Metrics
    connect: Connect = connect_tcp
    after: int = 0
    reported_revision: int = 0
    failures: int = 0
    failing_since: float = 0
    is_querying_peer: bool = False
    is_routing_changing: bool = False


def start_watching(watcher: StoreWatcher) -> None:
    """Start to watch the store, for the life of the process."""
    Deferred.fromCoroutine(_watch_store(watcher)).addErrback(
        lambda failure: emit('bug', error=failure.getTraceback()),
    )


def note_reported_revision(watcher: StoreWatcher, revision: int) -> None:
    """Note a revision that another node has reported.

    If the watch does not deliver it in time, a peer is queried.
    """
    if (
        revision <= watcher.reported_revision
        or revision <= watcher.mesh_state.revision
    ):
        return
    watcher.reported_revision = revision
    watcher.reactor.callLater(
        REVISION_GRACE_S,
        _check_reported_revision,
        watcher,
        revision,
    )


def _check_reported_revision(watcher: StoreWatcher, revision: int) -> None:
    if watcher.mesh_state.revision < revision:
        emit('behind', known=watcher.mesh_state.revision, heard=revision)
        _start_peer_query(watcher)


async def _watch_store(watcher: StoreWatcher) -> None:
    while True:  # noqa: WPS457  # runs for the life of the process
        result = await _read_store(watcher)
        if result.is_error():
            await _on_fault(watcher, result.error)
            continue
        old_table = watcher.mesh_state.table
        _apply_update(watcher, result.ok)
        watcher.is_routing_changing = watcher.mesh_state.table is not old_table
        if watcher.is_routing_changing:
            await _sleep(watcher.reactor, ROUTING_DEBOUNCE_S)
        elif result.ok.records:
            await _sleep(watcher.reactor, TARGETS_DEBOUNCE_S)


async def _read_store(watcher: StoreWatcher) -> Result[StoreUpdate, Fault]:
    if not watcher.after:
        return await watcher.store.list_all()
    if watcher.is_routing_changing:
        return await watcher.store.read_latest(watcher.after)
    return await watcher.store.watch(watcher.after, WATCH_TIMEOUT_S)


def _apply_update(watcher: StoreWatcher, update: StoreUpdate) -> None:
    now = watcher.reactor.seconds()
    if watcher.failures:
        emit('store_regained', failures=watcher.failures)
        if now > watcher.failing_since + MIN_OUTAGE_S:
            watcher.mesh_state.reconnected_at = now
    watcher.failures = 0
    confirm_revision(watcher.mesh_state, update.revision, now)
    changed = apply_records(watcher.mesh_state, update.records, now)
    if update.listed_prefix is not None:
        keys = [record.key for record in update.records]
        changed += remove_unlisted(
            watcher.mesh_state,
            keys,
            update.revision,
            now,
            update.listed_prefix,
        )
    watcher.after = update.revision
    _log_and_notify(watcher, changed, 'store')


async def _on_fault(watcher: StoreWatcher, fault: Fault) -> None:
    if fault.path == 'history':
        emit('store_history_lost', after=watcher.after)
        watcher.after = 0
        return
    if not watcher.failures:
        watcher.failing_since = watcher.reactor.seconds()
        emit(
            'store_lost',
            reason=fault.reason,
            revision=watcher.mesh_state.revision,
        )
    watcher.failures += 1
    _start_peer_query(watcher)
    max_delay = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2**watcher.failures)
    await _sleep(watcher.reactor, watcher.rng.uniform(max_delay / 2, max_delay))


def _start_peer_query(watcher: StoreWatcher) -> None:
    if watcher.is_querying_peer:
        return
    watcher.is_querying_peer = True
    query = Deferred.fromCoroutine(_query_peer(watcher))
    query.addErrback(
        lambda failure: emit('bug', error=failure.getTraceback()),
    )
    query.addBoth(lambda _result: _end_peer_query(watcher))


def _end_peer_query(watcher: StoreWatcher) -> None:
    watcher.is_querying_peer = False


async def _query_peer(watcher: StoreWatcher) -> None:
    peer_addresses = watcher.peer_addresses()
    if not peer_addresses:
        return
    address = watcher.rng.choice(peer_addresses)
    raw = await _fetch_peer_feed(watcher, address)
    if raw is None:
        return
    decoded = decode_feed(raw)
    if decoded.is_error():
        emit('hop_unreadable', why=decoded.error)
    elif decoded.ok['revision'] >= watcher.mesh_state.revision:
        _apply_peer_feed(watcher, decoded.ok, address)


async def _fetch_peer_feed(
    watcher: StoreWatcher,
    address: Address,
) -> bytes | None:
    uri = FEED_PATH + b'?after=%d' % watcher.mesh_state.revision
    pool = ConnectionPool(
        watcher.reactor,
        address,
        0,
        watcher.connect,
        traffic_counter(watcher.metrics, 'feed'),
    )
    outgoing = OutgoingRequest(b'GET', uri, [(b'Host', b'node')], b'')
    wait = TimedWait(watcher.reactor, send(pool, outgoing))
    wait.add_deadline(watcher.reactor.seconds() + PEER_TIMEOUT_S)
    send_result = await wait.result()
    close_idle(pool)
    if (
        send_result is None
        or send_result.is_error()
        or send_result.ok.status != HTTP_OK
    ):
        return None
    return send_result.ok.body


def _apply_peer_feed(
    watcher: StoreWatcher,
    document: FeedDocument,
    address: Address,
) -> None:
    now = watcher.reactor.seconds()
    if watcher.failures:
        watcher.mesh_state.reconnected_at = now
    confirm_revision(
        watcher.mesh_state, document['revision'], now - document['age_s']
    )
    changed = apply_records(
        watcher.mesh_state, records_from_feed(document), now
    )
    _log_and_notify(watcher, changed, address[0])


def _log_and_notify(
    watcher: StoreWatcher,
    changed: list[Record],
    origin: str,
) -> None:
    if not changed:
        return
    emit(
        'news',
        origin=origin,
        revision=watcher.mesh_state.revision,
        keys=[record.key for record in changed[:10]],
        count=len(changed),
        bytes=sum(len(record.body or b'') for record in changed),
        version=watcher.mesh_state.table.version
        if watcher.mesh_state.table
        else 0,
    )
    watcher.on_change()


def _sleep(reactor: Clock, seconds: float) -> Awaitable[None]:
    sleeping: Deferred[None] = Deferred()
    reactor.callLater(seconds, sleeping.callback, None)
    return sleeping
