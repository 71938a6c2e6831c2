"""Read the records of other nodes."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final

from expression import Error, Ok, Result

from marjoramlead.address import Address
from marjoramlead.clock import Clock
from marjoramlead.compression import CONTENT_CODING, decompress
from marjoramlead.errors import Fault
from marjoramlead.events import emit
from marjoramlead.feeds import (
    FeedQuery,
    decode_feed,
    encode_feed_query,
    feed_copied_until,
    feed_revision,
    records_from_feed,
)
from marjoramlead.generated.hop_types import FeedDocument
from marjoramlead.memory_budget import MemoryBudget, free_bytes
from marjoramlead.mesh_state import MeshState
from marjoramlead.mesh_updates import (
    apply_records,
    confirm_revision,
    enter_era,
    remove_unlisted,
)
from marjoramlead.metrics import Metrics, traffic_counter
from marjoramlead.record_log import Record
from marjoramlead.revisions import may_follow
from marjoramlead.transfers import receive
from marjoramlead.upstream import (
    Connect,
    ConnectionPool,
    OutgoingRequest,
    SendResult,
    close_idle,
    header_value,
)

__all__ = ('FeedClient', 'apply_feed', 'read_feed')

# Idle connections are not reused after this time. Followers read at least once
# in two seconds.
IDLE_TIMEOUT_S: Final = 5.0
# Time allowed for a response to begin, beyond the time that the other node may
# wait.
RESPONSE_TIMEOUT_S: Final = 0.3
# Longest time in which a response may arrive. After that, a change is still in
# force in time if the store is read instead.
MAX_TRANSFER_S: Final = 1.3
REQUEST_HEADERS: Final = (
    (b'Host', b'node'),
    (b'Accept-Encoding', CONTENT_CODING),
)


@dataclass(slots=True)
class FeedClient:
    """Connections to the nodes whose records are read.

    Attributes
    ----------
    budget
        Memory for the responses.
    pools
        Connection pools by address.
    """

    reactor: Clock
    metrics: Metrics
    connect: Connect
    budget: MemoryBudget
    pools: dict[Address, ConnectionPool] = field(default_factory=dict)


async def read_feed(
    client: FeedClient, address: Address, query: FeedQuery
) -> Result[FeedDocument, Fault]:
    """Read the records of a node.

    The connection is kept for further reads if this one may wait, as a
    follower's reads do. It is closed after a failure, because it may be
    silent.
    """
    pool = _pool_for(client, address)
    outgoing = OutgoingRequest(
        b'GET', encode_feed_query(query), REQUEST_HEADERS, b''
    )
    now = client.reactor.seconds()
    deadline = now + query.wait_s + RESPONSE_TIMEOUT_S
    body = _response_body(
        await receive(client.reactor, pool, outgoing, deadline, MAX_TRANSFER_S),
        client.budget,
    )
    if body.is_error() or not query.wait_s:
        close_idle(pool)
        client.pools.pop(address, None)
    return body.bind(decode_feed)


def _response_body(
    send_result: SendResult | None, budget: MemoryBudget
) -> Result[bytes, Fault]:
    if send_result is None:
        return Error(Fault('feed', 'no response in time'))
    if send_result.is_error():
        return Error(Fault('feed', send_result.error.reason.value))
    reply = send_result.ok
    if reply.status != HTTPStatus.OK:
        return Error(Fault('feed', f'status {reply.status}'))
    coding = header_value(reply.headers, b'content-encoding')
    if coding.encode() == CONTENT_CODING:
        return decompress(reply.body, free_bytes(budget))
    return Ok(reply.body)


def apply_feed(
    mesh_state: MeshState, document: FeedDocument, sent_at: float, now: float
) -> list[Record]:
    """Apply the records that another node has sent.

    The state counts as confirmed only if the other node knows at least as
    much and all its texts could be rebuilt. It was current when the answer was
    made, which is no earlier than the query was sent and held. Texts that could
    be rebuilt are applied beside others that could not, except at the beginning
    of an era. A document of an earlier era of the store changes nothing.

    Parameters
    ----------
    mesh_state
        State to change.
    document
        Answer of the other node.
    sent_at
        When the query was sent, on the node's monotonic clock.
    now
        Current time on the same clock.

    Returns
    -------
    The records that were applied.
    """
    revision = feed_revision(document)
    is_complete = any(
        not listing['prefix'] for listing in document.get('listings', [])
    )
    if not may_follow(mesh_state.revision, revision, is_complete=is_complete):
        return []
    decoded = records_from_feed(mesh_state, document)
    for fault in decoded.faults:
        emit('hop_unreadable', why=fault)
    if decoded.faults and revision.era > mesh_state.revision.era:
        return []
    if revision >= mesh_state.revision and not decoded.faults:
        made_at = min(sent_at + document.get('held_s', 0), now)
        enter_era(mesh_state, feed_copied_until(document), now)
        confirm_revision(mesh_state, revision, made_at - document['age_s'], now)
    changed = apply_records(mesh_state, decoded.records, now)
    for listing in document.get('listings', []):
        keys, prefix = listing['keys'], listing['prefix']
        changed.extend(remove_unlisted(mesh_state, keys, revision, now, prefix))
    return changed


def _pool_for(client: FeedClient, address: Address) -> ConnectionPool:
    pool = client.pools.get(address)
    if pool is None:
        pool = ConnectionPool(
            client.reactor,
            address,
            IDLE_TIMEOUT_S,
            client.connect,
            traffic_counter(client.metrics, 'feed'),
            budget=client.budget,
        )
        client.pools[address] = pool
    return pool
