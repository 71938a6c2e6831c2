"""Keep the node's records current, from the store or from another node.

Two nodes of the fleet read the store. Every other node follows one of them, or
another follower: it reads the records of its parent, which answers as soon as
it has changes or has confirmed that there are none. A node whose parent fails,
or whose parent's data is too old, reads the store itself. A node whose
calls to the store fail follows a node of another data centre.

A node queries a random peer if neither succeeds, or if another node reports a
revision that it does not receive in time.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import Final, NamedTuple, Protocol

from expression import Error, Result
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from marjoramlead.address import Address
from marjoramlead.clock import Clock
from marjoramlead.errors import Fault
from marjoramlead.events import emit
from marjoramlead.feed_client import FeedClient, apply_feed, read_feed
from marjoramlead.feed_tree import FeedAddresses
from marjoramlead.feeds import make_feed_query
from marjoramlead.generated.hop_types import FeedDocument
from marjoramlead.mesh_state import MeshState
from marjoramlead.mesh_updates import (
    apply_records,
    confirm_revision,
    remove_unlisted,
)
from marjoramlead.record_log import Record
from marjoramlead.restoration_log import log_restoration
from marjoramlead.revisions import NO_REVISION, Revision, may_follow

__all__ = (
    'Store',
    'StoreUpdate',
    'StoreWatcher',
    'note_reported_revision',
    'start_watching',
)

# Maximum time that a watch waits for a change. Together with the store's
# response time it must stay below MAX_FEED_AGE_S, since followers give up a
# parent that confirms its data less often.
WATCH_TIMEOUT_S: Final = 0.7
# Debounce intervals before the next read. Changes come in bursts, and each
# read costs one call to the store. A routing change has two seconds to take
# effect; target changes have a shorter interval because returning targets are
# needed soon.
ROUTING_DEBOUNCE_S: Final = 0.5
TARGETS_DEBOUNCE_S: Final = 0.15
# Longest time for which a parent holds the long poll of a follower.
LONG_POLL_S: Final = 1.1
# A parent whose data was confirmed longer ago than this is replaced. With the
# time of one read of the store, a change is then in force within two seconds
# even if the parent has lost the store unnoticed.
MAX_FEED_AGE_S: Final = 1.0
# Shortest interval between two reads of a parent.
MIN_FOLLOW_INTERVAL_S: Final = 0.1
# Time for which a parent that has failed is avoided.
PARENT_BACKOFF_S: Final = 2.0
# Versions within this time of each other count as quick succession.
RAPID_CHANGE_WINDOW_S: Final = 2.0
# Backoff between attempts to reach the store: shortest first delay, and longest
# delay. Each delay is random within a factor of two.
BACKOFF_FIRST_S: Final = 0.15
BACKOFF_MAX_S: Final = 1.0
MS_PER_SECOND: Final = 1000
# Logged instead of the infinite age of data that was never confirmed.
MAX_LOGGED_AGE_S: Final = 1000.0
MAX_LOGGED_KEYS: Final = 10
# Time allowed for a revision that another node reported to arrive by itself:
# the node may be waiting between two reads of the store.
REVISION_GRACE_S: Final = ROUTING_DEBOUNCE_S + 0.4


class StoreUpdate(NamedTuple):
    """Records read from the store.

    Attributes
    ----------
    revision
        Revision of the store that the records lead up to.
    listed_prefix
        If set, the records include all whose keys begin with this prefix, and
        others of the same prefix no longer exist.
    held_s
        Seconds for which the store has held the call before its answer; 0 if
        that is not known.
    """

    records: list[Record]
    revision: Revision
    listed_prefix: str | None = None
    held_s: float = 0


class Store(Protocol):
    """Read access to the platform's store."""

    async def list_all(self) -> Result[StoreUpdate, Fault]:
        """Read all records."""

    async def watch(
        self,
        after: Revision,
        wait_s: float,
    ) -> Result[StoreUpdate, Fault]:
        """Wait for changes after a revision.

        A fault whose path is ``history`` means that the store no longer knows
        the changes after this revision, or was restored since, and all records
        must be read again.
        """

    async def read_latest(self, after: Revision) -> Result[StoreUpdate, Fault]:
        """Read the changes after a revision without intermediate versions."""


@dataclass(slots=True)
class StoreWatcher:
    """Progress of this node in learning the store's records.

    Attributes
    ----------
    feed_client
        Reads the records of other nodes.
    feed_sources
        Returns the nodes whose records this node may read.
    peer_addresses
        Returns the addresses of all other nodes.
    on_change
        Called after records have changed.
    on_confirm
        Called after each read of the store or of a parent.
    after
        Revision up to which all changes have been read; ``NO_REVISION`` if all
        records must be listed.
    failures
        Number of consecutive failed calls to the store.
    is_querying_peer
        Whether a query to a peer is in progress.
    is_routing_changing
        Whether the last read of the store delivered a new routing table. More
        versions may follow, of which only the latest is then read.
    avoided_until
        Times until which parents that have failed are not followed.
    origin
        Host of the parent that was read last, or ``store``.
    """

    mesh_state: MeshState
    store: Store
    feed_client: FeedClient
    feed_sources: Callable[[], FeedAddresses]
    peer_addresses: Callable[[], list[Address]]
    on_change: Callable[[], None]
    on_confirm: Callable[[], None]
    reactor: Clock
    rng: Random
    after: Revision = NO_REVISION
    failures: int = 0
    is_querying_peer: bool = False
    is_routing_changing: bool = False
    avoided_until: dict[Address, float] = field(default_factory=dict)
    origin: str = ''


def start_watching(watcher: StoreWatcher) -> None:
    """Start to watch the store, for the life of the process.

    After an exception that nothing handles, the records are listed anew.
    """

    def restart(failure: Failure) -> None:
        emit('bug', error=failure.getTraceback())
        watcher.after = NO_REVISION
        watcher.reactor.callLater(BACKOFF_MAX_S, start_watching, watcher)

    Deferred.fromCoroutine(_watch_store(watcher)).addErrback(restart)


def note_reported_revision(watcher: StoreWatcher, revision: Revision) -> None:
    """Note a revision that another node has reported.

    If the watch does not deliver it in time, a peer is queried.
    """
    mesh_state = watcher.mesh_state
    if revision <= max(mesh_state.reported_revision, mesh_state.revision):
        return
    mesh_state.reported_revision = revision
    watcher.reactor.callLater(
        REVISION_GRACE_S,
        _check_reported_revision,
        watcher,
        revision,
    )


def _check_reported_revision(watcher: StoreWatcher, revision: Revision) -> None:
    if watcher.mesh_state.revision < revision:
        known = watcher.mesh_state.revision
        emit(
            'behind',
            known=known.number,
            era=known.era,
            heard=revision.number,
            heard_era=revision.era,
        )
        _start_peer_query(watcher)


async def _watch_store(watcher: StoreWatcher) -> None:
    while True:  # noqa: WPS457  # runs for the life of the process
        parent = _choose_parent(watcher)
        if parent is None:
            await _read_store(watcher, WATCH_TIMEOUT_S)
        elif not await _follow(watcher, parent):
            await _read_store(watcher, 0)


def _choose_parent(watcher: StoreWatcher) -> Address | None:
    """Return the node to read next, or None to read the store."""
    parent, alternates = watcher.feed_sources()
    if parent is None or watcher.after == NO_REVISION:
        return None
    return _first_usable(watcher, [parent, *alternates])


def _first_usable(
    watcher: StoreWatcher, addresses: list[Address]
) -> Address | None:
    now = watcher.reactor.seconds()
    for address in addresses:
        if watcher.avoided_until.get(address, 0) <= now:
            return address
    return None


async def _follow(watcher: StoreWatcher, parent: Address) -> bool:
    """Read a parent once; return whether this node is current afterwards."""
    started_at = watcher.reactor.seconds()
    query = make_feed_query(watcher.mesh_state, LONG_POLL_S)
    result = await read_feed(watcher.feed_client, parent, query)
    if result.is_ok():
        _apply_document(watcher, result.ok, parent[0], started_at)
    now = watcher.reactor.seconds()
    age = now - watcher.mesh_state.confirmed_at
    # News that took long on a narrow link is old, and is still the latest.
    is_old = age > MAX_FEED_AGE_S and watcher.mesh_state.revision == query.after
    if result.is_error() or is_old:
        watcher.avoided_until[parent] = now + PARENT_BACKOFF_S
        emit(
            'parent_lost',
            parent=parent[0],
            reason=result.error.reason if result.is_error() else 'old data',
            age_ms=_age_ms(watcher, now),
        )
        return False
    _note_origin(watcher, parent[0])
    elapsed = now - started_at
    if elapsed < MIN_FOLLOW_INTERVAL_S:
        await _sleep(watcher.reactor, MIN_FOLLOW_INTERVAL_S - elapsed)
    return True


async def _read_store(watcher: StoreWatcher, wait_s: float) -> None:
    """Read the store once, and wait until it may be read again."""
    sent_at = watcher.reactor.seconds()
    result = await _fetch_changes(watcher, wait_s)
    if result.is_ok() and not _is_applicable(watcher, result.ok):
        result = Error(Fault('era', 'the answer is of an earlier era'))
    if result.is_error():
        await _on_fault(watcher, result.error)
        return
    _note_origin(watcher, 'store')
    old_table = watcher.mesh_state.table
    _apply_update(watcher, result.ok, sent_at)
    watcher.is_routing_changing = watcher.mesh_state.table is not old_table
    if watcher.is_routing_changing:
        await _sleep(watcher.reactor, ROUTING_DEBOUNCE_S)
    elif result.ok.records:
        await _sleep(watcher.reactor, TARGETS_DEBOUNCE_S)


async def _fetch_changes(
    watcher: StoreWatcher, wait_s: float
) -> Result[StoreUpdate, Fault]:
    """Read the changes; skip intermediate versions if changes are rapid."""
    if watcher.after == NO_REVISION:
        return await watcher.store.list_all()
    changed_ago = (
        watcher.reactor.seconds() - watcher.mesh_state.table_received_at
    )
    is_rapid = not wait_s and changed_ago < RAPID_CHANGE_WINDOW_S
    if watcher.is_routing_changing or is_rapid:
        return await watcher.store.read_latest(watcher.after)
    return await watcher.store.watch(watcher.after, wait_s)


def _is_applicable(watcher: StoreWatcher, update: StoreUpdate) -> bool:
    """Return whether an update is of the era that this node knows, or later.

    Another node may have told of a later era during the call.
    """
    known = watcher.mesh_state.revision
    is_complete = update.listed_prefix == ''  # noqa: WPS502  # may be None
    return may_follow(known, update.revision, is_complete=is_complete)


def _apply_update(
    watcher: StoreWatcher, update: StoreUpdate, sent_at: float
) -> None:
    now = watcher.reactor.seconds()
    if watcher.failures:
        emit('store_regained', failures=watcher.failures)
    watcher.failures = 0
    made_at = min(sent_at + update.held_s, now)
    known = watcher.mesh_state.revision
    confirm_revision(watcher.mesh_state, update.revision, made_at, now)
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
    watcher.after = max(watcher.after, update.revision)
    log_restoration(watcher.mesh_state, known, 'store')
    _log_and_notify(watcher, changed, 'store')


def _note_origin(watcher: StoreWatcher, origin: str) -> None:
    if watcher.origin != origin:
        watcher.origin = origin
        known = watcher.mesh_state.revision
        emit('source', origin=origin, revision=known.number, era=known.era)


async def _on_fault(watcher: StoreWatcher, fault: Fault) -> None:
    if fault.path == 'history':
        emit(
            'store_history_lost',
            reason=fault.reason,
            after=watcher.after.number,
            era=watcher.after.era,
        )
        watcher.after = NO_REVISION
        return
    if not watcher.failures:
        emit(
            'store_lost',
            reason=fault.reason,
            revision=watcher.mesh_state.revision.number,
            era=watcher.mesh_state.revision.era,
        )
    watcher.failures += 1
    alternate = _first_usable(watcher, watcher.feed_sources().alternates)
    has_records = watcher.mesh_state.revision != NO_REVISION
    if has_records and alternate and await _follow(watcher, alternate):
        return
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
    query = make_feed_query(watcher.mesh_state, 0)
    sent_at = watcher.reactor.seconds()
    result = await read_feed(watcher.feed_client, address, query)
    if result.is_ok():
        _apply_document(watcher, result.ok, address[0], sent_at)
    else:
        emit('peer_lost', peer=address[0], reason=result.error.reason)


def _apply_document(
    watcher: StoreWatcher, document: FeedDocument, origin: str, sent_at: float
) -> None:
    now = watcher.reactor.seconds()
    known = watcher.mesh_state.revision
    changed = apply_feed(watcher.mesh_state, document, sent_at, now)
    revision = watcher.mesh_state.revision
    # The other node had all changes since, so no listing is needed for them.
    is_caught_up = known != NO_REVISION and revision > known
    if is_caught_up or watcher.after != NO_REVISION:
        watcher.after = max(watcher.after, revision)
    log_restoration(watcher.mesh_state, known, origin)
    _log_and_notify(watcher, changed, origin)


def _log_and_notify(
    watcher: StoreWatcher,
    changed: list[Record],
    origin: str,
) -> None:
    if changed:
        _log_changes(watcher, changed, origin)
        watcher.on_change()
    watcher.on_confirm()


def _log_changes(
    watcher: StoreWatcher, changed: list[Record], origin: str
) -> None:
    mesh_state = watcher.mesh_state
    emit(
        'news',
        origin=origin,
        revision=mesh_state.revision.number,
        era=mesh_state.revision.era,
        keys=[record.key for record in changed[:MAX_LOGGED_KEYS]],
        count=len(changed),
        bytes=sum(len(record.body or b'') for record in changed),
        version=mesh_state.table.version if mesh_state.table else 0,
    )


def _age_ms(watcher: StoreWatcher, now: float) -> int:
    age = min(now - watcher.mesh_state.confirmed_at, MAX_LOGGED_AGE_S)
    return round(age * MS_PER_SECOND)


def _sleep(reactor: Clock, seconds: float) -> Awaitable[None]:
    sleeping: Deferred[None] = Deferred()
    reactor.callLater(seconds, sleeping.callback, None)
    return sleeping
