"""The one client of the platform's store: list it and watch it."""

from base64 import b64decode
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from marjoramlead.address import Address
from marjoramlead.clock import Clock
from marjoramlead.errors import Fault
from marjoramlead.events import emit
from marjoramlead.feed import StoreUpdate
from marjoramlead.limits import Wait
from marjoramlead.metrics import Metrics
from marjoramlead.upstream import (
    Connect,
    ConnectionPool,
    OutgoingRequest,
    SendResult,
    close_idle,
    connect_tcp,
    send,
)
from marjoramlead.world import Record

__all__ = ('PlatformStore',)

# The store answers in 4 ms, and some sixty times slower when it is slow.
ANSWER_LIMIT_S: Final = 0.6
# Idle connections are used again for so long.
IDLE_S: Final = 10.0
SECOND_MS: Final = 1000
MAX_PAGES: Final = 100


class PlatformStore:
    """Reads the store at one address; keeps its connections."""

    def __init__(
        self,
        reactor: Clock,
        address: Address,
        metrics: Metrics,
        connect: Connect = connect_tcp,
    ) -> None:
        self._reactor = reactor
        self._pool = ConnectionPool(reactor, address, IDLE_S, connect)
        self._host = f'{address[0]}:{address[1]}'.encode()
        self._metrics = metrics

    async def list_all(self) -> Result[StoreUpdate, Fault]:
        """Read all pages; the revision is that of the first one."""
        records: list[Record] = []
        revision = 0
        after = ''
        for _page in range(MAX_PAGES):
            query = {'PathPrefix': '', 'after': after}
            page = await self._get(  # noqa: WPS476  # pages follow each other
                'kv-range', query, 0
            )
            if page.is_error():
                return Error(page.error)
            revision = revision or page.ok['CurrentRev']
            records.extend(_records(page.ok['items']))
            if not page.ok.get('MorePages'):
                return Ok(StoreUpdate(records, revision, is_snapshot=True))
            after = page.ok['items'][-1]['Key']
        return Error(Fault('listing', f'more than {MAX_PAGES} pages'))

    async def watch(
        self,
        after: int,
        wait_s: float,
    ) -> Result[StoreUpdate, Fault]:
        """Wait for what changes after a revision."""
        wait_ms = int(wait_s * SECOND_MS)
        query = {'PathPrefix': '', 'after': str(after), 'WaitMs': str(wait_ms)}
        told = await self._get('kv-watch', query, wait_s)
        if told.is_error():
            return Error(told.error)
        records = _records(told.ok['events'])
        return Ok(
            StoreUpdate(records, told.ok['CurrentRev'], is_snapshot=False)
        )

    async def _get(
        self,
        call: str,
        query: dict[str, str],
        wait_s: float,
    ) -> Result[dict[str, Any], Fault]:
        given = {
            name: text
            for name, text in query.items()
            if text or (name == 'PathPrefix')
        }
        uri = f'/-/{call}?{urlencode(given)}'.encode()
        outgoing = OutgoingRequest(b'GET', uri, [(b'Host', self._host)], b'')
        wait = Wait(self._reactor, send(self._pool, outgoing))
        wait.end_at(self._reactor.seconds() + wait_s + ANSWER_LIMIT_S)
        sent = await wait.result()
        answer = _read(sent)
        outcome = answer.error.path if answer.is_error() else 'answered'
        self._metrics.store_calls.labels(outcome).inc()
        if answer.is_error():
            close_idle(self._pool)
        return answer


def _read(sent: SendResult | None) -> Result[dict[str, Any], Fault]:
    if sent is None:
        return Error(Fault('silent', 'no answer in time'))
    if sent.is_error():
        return Error(Fault('connection', sent.error.reason.value))
    if sent.ok.status == HTTPStatus.GONE:
        return Error(Fault('history', 'is not available any more'))
    if sent.ok.status != HTTPStatus.OK:
        return Error(Fault('refused', f'status {sent.ok.status}'))
    try:
        decoded = msgspec.json.decode(sent.ok.body)
    except msgspec.MsgspecError as exc:
        return Error(Fault('unreadable', str(exc)))
    if not isinstance(decoded, dict) or 'CurrentRev' not in decoded:
        return Error(Fault('unreadable', 'no revision in the answer'))
    return Ok(decoded)


def _records(raw: list[dict[str, Any]]) -> list[Record]:
    records: list[Record] = []
    for each in raw:
        body: bytes | None = None
        if not each.get('Deleted'):
            try:
                body = b64decode(each['Value'], validate=True)
            except (KeyError, TypeError, ValueError) as exc:
                emit('record_refused', key=each.get('Key'), reason=str(exc))
                body = b''
        records.append(Record(each['Key'], body, each['Revision']))
    return records
