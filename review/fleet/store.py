"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import json
import time
from base64 import b64encode
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import parse_qs

from review.fleet.http import Connections, Message, respond, serve

__all__ = ('Store',)

PAGE_ITEMS: Final = 500
MS_PER_SECOND: Final = 1000
HEAL_POLL_S: Final = 0.02


class Store:
    """Records under one revision counter.

    Attributes
    ----------
    is_down
        Whether every call gets 503 and writes have no effect.
    cut_ports
        Ports that are cut off: calls there are answered after the cut.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.cut_ports: set[int] = set()
        self._revision = 1
        self._records: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Condition()
        self._servers: dict[int, tuple[asyncio.Server, Connections]] = {}

    async def open(self, port: int) -> None:
        """Serve at a further port."""

        async def handle(request: Message) -> bytes:
            await self._wait_for_heal(port)
            answer = await self.handle(request)
            await self._wait_for_heal(port)
            return answer

        connections: Connections = set()
        server = await serve(('127.0.0.1', port), handle, connections)
        self._servers[port] = (server, connections)

    def close(self, *ports: int) -> None:
        """Refuse connections at ports, all by default; close open ones."""
        for port in ports or list(self._servers):
            server, connections = self._servers.pop(port)
            server.close()
            for writer in list(connections):
                writer.close()

    async def put(self, key: str, document: object) -> float | None:
        """Write or delete a record; return when it is acknowledged.

        Without a document, the record is deleted. A store that is down returns
        None.
        """
        if self.is_down:
            return None
        async with self._changed:
            self._revision += 1
            event: dict[str, Any] = {'Key': key, 'Revision': self._revision}
            if document is None:
                self._records.pop(key, None)
                event['Deleted'] = True
            else:
                text = b64encode(json.dumps(document).encode()).decode()
                event.update(Value=text, CreatedRev=self._revision, Lease=0)
                self._records[key] = event
            self._history.append(event)
            self._changed.notify_all()
        return time.monotonic()

    async def handle(self, request: Message) -> bytes:
        """Answer one call."""
        if self.is_down:
            return respond(HTTPStatus.SERVICE_UNAVAILABLE, {})
        path, _mark, raw = request.words[1].partition('?')
        query = {name: texts[0] for name, texts in parse_qs(raw).items()}
        if path == '/-/kv-range':
            return self._reply(self._page(query))
        if path == '/-/kv-watch':
            return self._reply(await self._watch(query))
        return respond(HTTPStatus.NOT_FOUND, {})

    async def _wait_for_heal(self, port: int) -> None:
        while port in self.cut_ports:
            await asyncio.sleep(HEAL_POLL_S)  # noqa: WPS476

    def _reply(self, found: dict[str, Any]) -> bytes:
        if self.is_down:
            return respond(HTTPStatus.SERVICE_UNAVAILABLE, {})
        document = {**found, 'CurrentRev': self._revision}
        return respond(HTTPStatus.OK, {}, json.dumps(document).encode())

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        keys = sorted(
            key
            for key in self._records
            if key.startswith(query.get('PathPrefix', ''))
            and key > query.get('after', '')
        )
        listed = [self._records[key] for key in keys[:PAGE_ITEMS]]
        return {'items': listed, 'MorePages': len(keys) > PAGE_ITEMS}

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        wait_s = int(query['WaitMs']) / MS_PER_SECOND
        give_up_at = time.monotonic() + wait_s
        async with self._changed:
            while not self._events(query) and time.monotonic() < give_up_at:
                await _wait_until(self._changed, give_up_at)  # noqa: WPS476
        return {'events': self._events(query)}

    def _events(self, query: dict[str, str]) -> list[dict[str, Any]]:
        prefix, after = query.get('PathPrefix', ''), int(query['after'])
        return [
            event
            for event in self._history
            if event['Revision'] > after and event['Key'].startswith(prefix)
        ]


async def _wait_until(changed: asyncio.Condition, give_up_at: float) -> None:
    """Wait for a notification until a time."""
    left_s = max(0, give_up_at - time.monotonic())
    try:
        await asyncio.wait_for(changed.wait(), left_s)
    except TimeoutError:
        return
