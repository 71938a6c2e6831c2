"""A stand-in for the platform's store: reads and watches of its items."""

import asyncio
import json
from base64 import b64encode
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins.http_messages import (
    Message,
    encode_message,
    read_message,
)

__all__ = ('Store',)

MS_PER_SECOND = 1000
JsonObject = dict[str, Any]


class Store:
    """Items under one revision counter.

    Attributes
    ----------
    revision
        Revision of the last change.
    """

    def __init__(self) -> None:
        self.revision = 1
        self._items: dict[str, JsonObject] = {}
        self._history: list[JsonObject] = []
        self._changed = asyncio.Event()

    def put(self, key: str, document: JsonObject | bytes) -> None:
        """Write an item: a JSON document, or other bytes."""
        self.revision += 1
        is_raw = isinstance(document, bytes)
        raw = document if is_raw else json.dumps(document).encode()
        item: JsonObject = {
            'Key': key,
            'Value': b64encode(raw).decode(),
            'Revision': self.revision,
            'CreatedRev': self.revision,
            'Lease': 0,
        }
        self._items[key] = item
        self._publish(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self._items.pop(key, None)
        self._publish({'Key': key, 'Revision': self.revision, 'Deleted': True})

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        message = await read_message(reader)
        while message is not None:
            document = await self._answer(message)
            body = json.dumps(document).encode()
            writer.write(
                encode_message(
                    'HTTP/1.1 200 OK',
                    {'Content-Type': 'application/json'},
                    body,
                )
            )
            message = await read_message(reader)

    async def _answer(self, message: Message) -> JsonObject:
        parts = urlsplit(message.first_line.split(' ')[1])
        query = {name: each[0] for name, each in parse_qs(parts.query).items()}
        prefix = query.get('PathPrefix', '')
        if parts.path == '/-/kv-range':
            return self._list(prefix)
        wait_s = int(query['WaitMs']) / MS_PER_SECOND
        return await self._watch(prefix, int(query['after']), wait_s)

    def _list(self, prefix: str) -> JsonObject:
        keys = sorted(key for key in self._items if key.startswith(prefix))
        return {
            'items': [self._items[key] for key in keys],
            'MorePages': False,
            'CurrentRev': self.revision,
        }

    async def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> JsonObject:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while not self._changes(prefix, after) and loop.time() < deadline:
            await self._wait_for_change(deadline - loop.time())
        return {
            'events': self._changes(prefix, after),
            'CurrentRev': self.revision,
        }

    async def _wait_for_change(self, wait_s: float) -> None:
        waiting = asyncio.create_task(self._changed.wait())
        await asyncio.wait([waiting], timeout=wait_s)
        waiting.cancel()

    def _changes(self, prefix: str, after: int) -> list[JsonObject]:
        return [
            change
            for change in self._history
            if change['Revision'] > after and change['Key'].startswith(prefix)
        ]

    def _publish(self, change: JsonObject) -> None:
        self._history.append(change)
        self._changed.set()
        self._changed = asyncio.Event()
