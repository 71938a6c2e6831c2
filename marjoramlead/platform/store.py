"""Client of the platform's store, to list and watch its records."""

from base64 import b64decode
from collections.abc import Mapping
from http import HTTPStatus
from reprlib import repr as shorten
from typing import Any, Final, NamedTuple, TypeGuard
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from marjoramlead.address import Address
from marjoramlead.clock import Clock
from marjoramlead.errors import DECODING_ERRORS, Fault
from marjoramlead.events import emit
from marjoramlead.memory_budget import MemoryBudget
from marjoramlead.metrics import Metrics, traffic_counter
from marjoramlead.platform.decoding import reduce_value
from marjoramlead.platform.names import (
    ERA_HEADER,
    OPERATOR_PREFIX,
    TARGET_PREFIX,
)
from marjoramlead.record_log import Record
from marjoramlead.revisions import NO_REVISION, Revision
from marjoramlead.store_watcher import StoreUpdate
from marjoramlead.transfers import receive
from marjoramlead.upstream import (
    Connect,
    ConnectionPool,
    HeaderList,
    OutgoingRequest,
    SendResult,
    close_idle,
    connect_tcp,
    header_value,
)
from marjoramlead.verdict import Reason

__all__ = ('PlatformStore',)

# The store usually responds within 4 ms, and takes about sixty times as long
# when it is slow.
RESPONSE_TIMEOUT_S: Final = 0.6
# Longest time in which a response may arrive.
MAX_TRANSFER_S: Final = 5.0
# Idle connections are not reused after this time. They may have gone silent,
# and a node that has lost its parent cannot wait for a timeout.
IDLE_TIMEOUT_S: Final = 1.0
MS_PER_SECOND: Final = 1000
# Field with the items of an answer, by endpoint.
LIST_FIELDS: Final = {  # noqa: WPS407  # never modified
    'kv-range': 'items',
    'kv-watch': 'events',
}
# Large values of other writers take a page each.
MAX_PAGES: Final = 2000
# A higher revision cannot be sent to other nodes.
MAX_REVISION: Final = 2**63 - 1
ANSWER_DECODER: Final = msgspec.json.Decoder(dict[str, msgspec.Raw])
ITEMS_DECODER: Final = msgspec.json.Decoder(list[msgspec.Raw])
# An era with more digits cannot be sent to other nodes.
MAX_ERA_DIGITS: Final = 18
# A watch that waits this long returns the changes made so far.
SHORTEST_WAIT_MS: Final = 1


class _Answer(NamedTuple):
    """A document of the store, and the era that it belongs to."""

    document: dict[str, Any]
    era: int


class PlatformStore:
    """Read-only client of the store at one address."""

    def __init__(
        self,
        reactor: Clock,
        address: Address,
        metrics: Metrics,
        budget: MemoryBudget,
        connect: Connect = connect_tcp,
    ) -> None:
        self._reactor = reactor
        self._pool = ConnectionPool(
            reactor,
            address,
            IDLE_TIMEOUT_S,
            connect,
            traffic_counter(metrics, 'store'),
            budget=budget,
        )
        self._host = f'{address[0]}:{address[1]}'.encode()
        self._metrics = metrics
        self._era = NO_REVISION.era

    async def list_all(self) -> Result[StoreUpdate, Fault]:
        """List all records."""
        return await self._list('')

    async def watch(
        self,
        after: Revision,
        wait_s: float,
    ) -> Result[StoreUpdate, Fault]:
        """Wait up to ``wait_s`` seconds for changes after a revision."""
        wait_ms = max(SHORTEST_WAIT_MS, int(wait_s * MS_PER_SECOND))
        return await self._watch('', after, wait_ms)

    async def read_latest(self, after: Revision) -> Result[StoreUpdate, Fault]:
        """Read the changes after a revision without intermediate versions.

        A watch would deliver each version of the routing configuration in
        full. The operator's records are listed instead, and only the changes
        of targets are watched.
        """
        self._era = max(self._era, after.era)
        listing = (await self._list(OPERATOR_PREFIX)).bind(
            lambda update: _check_era(update, after)
        )
        if listing.is_error():
            return listing
        changes = await self._watch(TARGET_PREFIX, after, SHORTEST_WAIT_MS)
        if changes.is_error():
            return changes
        records = [*listing.ok.records, *changes.ok.records]
        return Ok(listing.ok._replace(records=records))

    async def _list(self, prefix: str) -> Result[StoreUpdate, Fault]:
        """List the records whose keys begin with a prefix.

        The revision is that of the first page, so that a watch after it
        delivers the changes made while further pages were read. Pages from
        before and after a restoration of the store are no listing.
        """
        records: list[Record] = []
        revision = NO_REVISION
        after = ''
        for _page in range(MAX_PAGES):
            query = {'PathPrefix': prefix, 'after': after}
            page = await self._get(  # noqa: WPS476  # pages are read in order
                'kv-range', query, 0
            )
            if page.is_error():
                return Error(page.error)
            document, era = page.ok
            if revision == NO_REVISION:
                revision = Revision(era, document['CurrentRev'])
            if revision.era != era:
                return Error(Fault('listing', 'the store has been restored'))
            records.extend(_decode_records(document['items'], era))
            if not document.get('MorePages'):
                return Ok(StoreUpdate(records, revision, listed_prefix=prefix))
            if not records or records[-1].key <= after:
                return Error(Fault('listing', 'no key to continue after'))
            after = records[-1].key
        return Error(Fault('listing', f'more than {MAX_PAGES} pages'))

    async def _watch(
        self, prefix: str, after: Revision, wait_ms: int
    ) -> Result[StoreUpdate, Fault]:
        """Wait for changes; without any, the store has held the whole wait."""
        wait_s = wait_ms / MS_PER_SECOND
        self._era = max(self._era, after.era)
        query = {
            'PathPrefix': prefix,
            'after': str(after.number),
            'WaitMs': str(wait_ms),
        }
        response = await self._get('kv-watch', query, wait_s)
        if response.is_error():
            return Error(response.error)
        document, era = response.ok
        records = _decode_records(document['events'], era)
        held_s = 0 if records else wait_s
        revision = Revision(era, document['CurrentRev'])
        update = StoreUpdate(records, revision, held_s=held_s)
        return _check_era(update, after)

    async def _get(
        self,
        endpoint: str,
        query: dict[str, str],
        wait_s: float,
    ) -> Result[_Answer, Fault]:
        params = {
            name: text
            for name, text in query.items()
            if text or (name == 'PathPrefix')
        }
        uri = f'/-/{endpoint}?{urlencode(params)}'.encode()
        outgoing = OutgoingRequest(b'GET', uri, [(b'Host', self._host)], b'')
        deadline = self._reactor.seconds() + wait_s + RESPONSE_TIMEOUT_S
        send_result = await receive(
            self._reactor, self._pool, outgoing, deadline, MAX_TRANSFER_S
        )
        response = _decode_response(
            send_result, self._era, LIST_FIELDS[endpoint]
        )
        self._era = response.map(
            lambda answer: max(self._era, answer.era)
        ).default_value(self._era)
        outcome = response.error.path if response.is_error() else 'answered'
        self._metrics.store_calls.labels(outcome).inc()
        if response.is_error():
            close_idle(self._pool)
        return response


def _decode_response(
    send_result: SendResult | None, known_era: int, list_field: str
) -> Result[_Answer, Fault]:
    if send_result is None:
        return Error(Fault('silent', 'no response in time'))
    if send_result.is_error():
        return Error(_connection_fault(send_result.error.reason, list_field))
    if send_result.ok.status == HTTPStatus.GONE:
        return Error(Fault('history', 'the revision is no longer available'))
    if send_result.ok.status != HTTPStatus.OK:
        return Error(Fault('refused', f'status {send_result.ok.status}'))
    era = _decode_era(send_result.ok.headers, known_era)
    return _decode_document(send_result.ok.body, list_field).map(
        lambda document: _Answer(document, era)
    )


def _connection_fault(reason: Reason, list_field: str) -> Fault:
    """Return the fault of a lost answer.

    Changes that there is no memory for are listed page by page instead.
    """
    is_too_large = reason is Reason.GATEWAY_FULL
    if is_too_large and list_field == LIST_FIELDS['kv-watch']:
        return Fault('history', 'the changes are too large for one answer')
    return Fault('connection', reason.value)


def _decode_document(
    body: bytes, list_field: str
) -> Result[dict[str, Any], Fault]:
    """Decode an answer, but not its items, each of which may be unreadable."""
    try:
        encoded = ANSWER_DECODER.decode(body)
        decoded = {
            name: msgspec.json.decode(encoded[name])
            for name in ('CurrentRev', 'MorePages')
            if name in encoded
        }
    except DECODING_ERRORS as exc:
        return Error(Fault('unreadable', str(exc)))
    if not _is_number(decoded.get('CurrentRev')):
        return Error(Fault('unreadable', 'no revision in the response'))
    try:
        items = ITEMS_DECODER.decode(encoded.get(list_field, b''))
    except DECODING_ERRORS:
        return Error(Fault('unreadable', f'no {list_field} in the response'))
    return Ok({**decoded, list_field: items})


def _decode_era(headers: HeaderList, known_era: int) -> int:
    """Return the era of an answer; the known one if it names none.

    A store that stops sending the era must still be read.
    """
    raw = header_value(headers, ERA_HEADER)
    is_number = raw.isascii() and raw.isdigit()
    if is_number and len(raw) <= MAX_ERA_DIGITS:
        return int(raw)
    if raw:
        emit('era_unreadable', era=raw)
    return known_era


def _check_era(
    update: StoreUpdate, after: Revision
) -> Result[StoreUpdate, Fault]:
    """Refuse changes that are not of the era of the revision before them."""
    era = update.revision.era
    if era > after.era:
        return Error(Fault('history', 'the store has been restored'))
    if era < after.era:
        return Error(Fault('era', f'era {era} is before era {after.era}'))
    return Ok(update)


def _decode_records(items: list[msgspec.Raw], era: int) -> list[Record]:
    """Decode the items of an answer; leave out those without key or revision.

    An item whose value cannot be read has an empty body, which names nothing
    to use.
    """
    records: list[Record] = []
    for raw in items:
        item = _decode_item(raw)
        if item is None:
            continue
        body = None if item.get('Deleted') else _decode_value(item)
        revision = Revision(era, item['Revision'])
        records.append(Record(item['Key'], body, revision))
    return records


def _decode_item(raw: msgspec.Raw) -> dict[str, Any] | None:
    """Return an item of an answer; None if it has no key or revision."""
    try:
        item = msgspec.json.decode(raw)
    except DECODING_ERRORS as exc:
        emit('record_refused', key=None, reason=str(exc))
        return None
    if _is_item(item):
        return item
    emit('record_refused', key=None, reason=f'{shorten(item)} is no item')
    return None


def _is_item(item: object) -> TypeGuard[dict[str, Any]]:
    return (
        isinstance(item, dict)
        and isinstance(item.get('Key'), str)
        and _is_number(item.get('Revision'))
    )


def _is_number(raw: object) -> bool:
    if isinstance(raw, bool) or not isinstance(raw, int):
        return False
    return 0 <= raw <= MAX_REVISION


def _decode_value(item: Mapping[str, Any]) -> bytes:
    try:
        body = b64decode(item['Value'], validate=True)
    except (KeyError, TypeError, ValueError) as exc:
        emit('record_refused', key=item['Key'], reason=str(exc))
        return b''
    return reduce_value(item['Key'], body)
