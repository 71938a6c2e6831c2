"""Stand-ins for clients: each sends requests and reads their answers."""

import asyncio
from collections.abc import Mapping
from math import inf
from typing import Final, NamedTuple

from review.standins.http_messages import (
    Message,
    encode_head,
    read_message,
)
from review.standins.record import Record

__all__ = ('Answer', 'Client', 'Request', 'send_request')

# Time after the deadline until a client gives up reading.
READ_MARGIN_S: Final = 1.0
MS_PER_SECOND: Final = 1000
# Part of a body that is sent at once.
PART_BYTES: Final = 262_144


class Request(NamedTuple):
    """A request of a client, one attempt.

    Attributes
    ----------
    bytes_per_s
        Rate at which the client sends the body.
    """

    method: str
    host: str
    path: str
    request_id: str
    deadline_ms: int
    body: bytes = b''
    bytes_per_s: float = inf


class Answer(NamedTuple):
    """What a client has seen of the answer to its request.

    Attributes
    ----------
    status
        0 if the connection ended without a whole answer.
    took_s
        Time from the sending to the answer, or until the client gave up.
    """

    request_id: str
    status: int
    headers: Mapping[str, str]
    took_s: float


async def send_request(
    record: Record, address: tuple[str, int], request: Request
) -> Answer:
    """Send a request on a new connection, and wait for its answer."""
    record.add(f'send {request.method} {request.path} {request.request_id}')
    message = None
    clock = asyncio.get_running_loop().time
    sent_at = clock()
    try:
        message = await _exchange(address, request)
    except (OSError, TimeoutError) as exc:
        record.add(f'no answer to {request.request_id}: {exc!r}')
    took_s = clock() - sent_at
    answer = Answer(request.request_id, 0, {}, took_s)
    if message is not None:
        status = int(message.first_line.split(' ')[1])
        answer = answer._replace(status=status, headers=message.headers)
    record.add(f'answer to {request.request_id}: {answer.status}')
    return answer


class Client:
    """A client that sends one request after another.

    Attributes
    ----------
    answers
        Answers so far.
    """

    def __init__(
        self, record: Record, address: tuple[str, int], template: Request
    ) -> None:
        self.answers: list[Answer] = []
        self._record = record
        self._address = address
        self._template = template
        self._is_stopped = False

    async def run(self, pause_s: float) -> None:
        """Send requests until the client is stopped."""
        while not self._is_stopped:
            number = len(self.answers)
            request_id = f'{self._template.request_id}-{number}'
            request = self._template._replace(request_id=request_id)
            answer = await send_request(self._record, self._address, request)
            self.answers.append(answer)
            await asyncio.sleep(pause_s)

    def stop(self) -> None:
        """Send no further request."""
        self._is_stopped = True


async def _exchange(
    address: tuple[str, int], request: Request
) -> Message | None:
    reader, writer = await asyncio.open_connection(*address)
    sending = asyncio.create_task(_send(writer, request))
    wait_s = request.deadline_ms / MS_PER_SECOND + READ_MARGIN_S
    try:
        return await asyncio.wait_for(read_message(reader), wait_s)
    finally:
        sending.cancel()
        writer.close()


async def _send(writer: asyncio.StreamWriter, request: Request) -> None:
    headers = {
        'Host': request.host,
        'X-Request-Id': request.request_id,
        'X-Deadline-Ms': str(request.deadline_ms),
    }
    first_line = f'{request.method} {request.path} HTTP/1.1'
    writer.write(encode_head(first_line, headers, len(request.body)))
    for start in range(0, len(request.body), PART_BYTES):
        part = request.body[start : start + PART_BYTES]
        writer.write(part)
        await writer.drain()  # noqa: WPS476  # one part after another
        await asyncio.sleep(len(part) / request.bytes_per_s)  # noqa: WPS476
