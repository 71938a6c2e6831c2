"""A stand-in for an application instance, as PROTOCOL.md describes it."""

import asyncio
import time
from http import HTTPStatus
from typing import Final, NamedTuple

from review.fleet.http import Message, respond

__all__ = ('HEALTH_PATH', 'Arrival', 'Instance')

HEALTH_PATH: Final = '/health'
MS_PER_SECOND: Final = 1000
# Work takes this much longer while the instance is cold.
COLD_FACTOR: Final = 2
# Requests that wait at the instance, for each slot.
QUEUE_PER_SLOT: Final = 4


class Arrival(NamedTuple):
    """A request that reached the instance, and was not rejected with 421."""

    request_id: str
    at: float


class Instance:
    """One instance of a service.

    Attributes
    ----------
    cold_until
        When it is warm again, on the steady clock.
    arrivals
        Requests that reached it, without health checks.
    """

    def __init__(
        self, instance_id: str, service: str, work_s: float, slots: int = 6
    ) -> None:
        self.instance_id = instance_id
        self.service = service
        self.slots = slots
        self.cold_until: float = 0
        self.arrivals: list[Arrival] = []
        self._work_s = work_s
        self._accepted = 0
        self._free_slots = asyncio.Semaphore(slots)

    def cold_left_ms(self) -> int:
        """Return for how long it stays cold."""
        left_s = max(0, self.cold_until - time.monotonic())
        return round(left_s * MS_PER_SECOND)

    async def handle(self, request: Message) -> bytes:
        """Serve one request or health check."""
        if request.words[1] == HEALTH_PATH:
            async with self._free_slots:
                cold = {'X-Cold-Ms': str(self.cold_left_ms())}
                return respond(HTTPStatus.OK, {**self._fields(), **cold})
        request_id = request.field('x-request-id')
        echoed = {**self._fields(), 'X-Request-Id': request_id}
        refused = {**echoed, 'X-Not-Executed': '1'}
        if request.field('x-expected-instance') != self.instance_id:
            return respond(HTTPStatus.MISDIRECTED_REQUEST, refused)
        self.arrivals.append(Arrival(request_id, time.monotonic()))
        if self._accepted >= self.slots * (1 + QUEUE_PER_SLOT):
            return respond(HTTPStatus.SERVICE_UNAVAILABLE, refused)
        await self._work()
        sealed = {**echoed, 'X-Server-Seal': f'seal.{request_id}'}
        return respond(HTTPStatus.OK, sealed, f'ran {request_id}'.encode())

    async def _work(self) -> None:
        self._accepted += 1
        try:
            async with self._free_slots:
                factor = COLD_FACTOR if self.cold_left_ms() else 1
                await asyncio.sleep(self._work_s * factor)
        finally:
            self._accepted -= 1

    def _fields(self) -> dict[str, str]:
        running = min(self._accepted, self.slots)
        load = f'{running},{self._accepted - running},{self.slots}'
        return {'X-Instance-Id': self.instance_id, 'X-Server-Load': load}
