"""A stand-in for an instance: it runs requests and keeps a log of them."""

import asyncio
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from review.standins.http_messages import (
    Message,
    encode_message,
    read_message,
)
from review.standins.record import Record

__all__ = ('HEALTH_PATH', 'SEAL', 'Arrival', 'Connection', 'Instance')

HEALTH_PATH: Final = '/health'
MS_PER_SECOND: Final = 1000
SEAL: Final = '3e1b.07.5a2.600.0.c9f2a4d1'
OK_LINE: Final = 'HTTP/1.1 200 OK'
WRONG_INSTANCE_LINE: Final = 'HTTP/1.1 421 Misdirected Request'
# Times by which the work of a cold instance takes longer.
COLD_SLOWDOWN: Final = 2


class Arrival(NamedTuple):
    """A request that an instance began to work on."""

    at: float
    request_id: str


@dataclass
class Connection:
    """A connection of the node to the instance.

    Attributes
    ----------
    last_answer
        Bytes of the last answer to a request of a client.
    late_bytes
        Bytes that are sent when the next request arrives.
    """

    writer: asyncio.StreamWriter
    last_answer: bytes = b''
    late_bytes: bytes = b''


@dataclass
class Instance:  # noqa: WPS230  # each attribute is a property of the instance
    """One instance of a service, without faults.

    Subclasses override ``answer`` and ``before_answer``.

    Attributes
    ----------
    cold_until
        Until when it is cold.
    is_down
        Whether it has crashed.
    arrivals
        Requests that it began to work on.
    """

    record: Record
    instance_id: str
    service: str
    data_centre: str
    address: str
    work_s: float = 0.1
    slots: int = 9
    cold_until: float = 0
    is_down: bool = False
    arrivals: list[Arrival] = field(default_factory=list)
    connections: list[Connection] = field(default_factory=list)

    def entry(self, state: str = 'ready') -> dict[str, object]:
        """Return the entry that the instance writes to the store."""
        return {
            'Service': self.service,
            'Address': self.address,
            'Zone': self.data_centre,
            'Version': 'v1',
            'Slots': self.slots,
            'State': state,
            'WarmupLeft': f'{self.cold_left_ms()}ms',
            'Sequence': 1,
            'born': 1,
        }

    def cold_left_ms(self) -> int:
        """Return for how long the instance stays cold, in milliseconds."""
        left_s = self.cold_until - asyncio.get_running_loop().time()
        return max(0, int(left_s * MS_PER_SECOND))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests on one connection."""
        connection = Connection(writer)
        self.connections.append(connection)
        message = await read_message(reader)
        while message is not None and not self.is_down:
            await self._serve_message(connection, message)
            message = await read_message(reader)

    def before_answer(self, connection: Connection, message: Message) -> None:
        """Send what is late on the connection."""
        connection.writer.write(connection.late_bytes)
        connection.late_bytes = b''

    async def answer(self, connection: Connection, message: Message) -> None:
        """Run a request of a client, and answer it."""
        await self.run(connection, message)

    async def run(self, connection: Connection, message: Message) -> None:
        """Run a request, and answer it with success."""
        request_id = message.headers['x-request-id']
        self.arrivals.append(
            Arrival(asyncio.get_running_loop().time(), request_id)
        )
        self.record.add(f'run {request_id} at {self.instance_id}')
        slowdown = COLD_SLOWDOWN if self.cold_left_ms() else 1
        await asyncio.sleep(self.work_s * slowdown)
        headers = {
            'X-Request-Id': request_id,
            'X-Server-Seal': SEAL,
            'X-Server-Load': f'0,0,{self.slots}',
        }
        body = f'{self.instance_id} has run {request_id}'.encode()
        self.send(connection, encode_message(OK_LINE, headers, body))

    def send(self, connection: Connection, raw: bytes) -> None:
        """Send an answer to a request of a client."""
        connection.last_answer = raw
        connection.writer.write(raw)

    def crash(self) -> None:
        """Lose all connections and runs, and accept no request any more."""
        self.record.add(f'{self.instance_id} crashes')
        self.is_down = True
        for connection in self.connections:
            connection.writer.transport.abort()

    async def _serve_message(
        self, connection: Connection, message: Message
    ) -> None:
        self.before_answer(connection, message)
        expected = message.headers.get('x-expected-instance')
        if message.first_line.split(' ')[1] == HEALTH_PATH:
            connection.writer.write(self._encode_health())
        elif expected and expected != self.instance_id:
            headers = {'X-Not-Executed': '1', 'X-Instance-Id': self.instance_id}
            self.send(connection, encode_message(WRONG_INSTANCE_LINE, headers))
        else:
            await self.answer(connection, message)

    def _encode_health(self) -> bytes:
        headers = {'X-Instance-Id': self.instance_id}
        cold_ms = self.cold_left_ms()
        if cold_ms:
            headers['X-Cold-Ms'] = str(cold_ms)
        self.record.add(f'health of {self.instance_id}: cold for {cold_ms} ms')
        return encode_message(OK_LINE, headers)
