"""What a node tells operators: metrics, its beliefs, and late refusals."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, Literal
from urllib.parse import unquote

from twisted.web.http_headers import Headers

from marjoramlead.generated.sidecar_status_types import (
    QueueView,
    SidecarStatus,
    TargetView,
)
from marjoramlead.http_server import StreamRequest
from marjoramlead.metrics import Metrics, metrics_text
from marjoramlead.placement import Outlooks, expected_s, failure_rate
from marjoramlead.problems import Answer, json_answer
from marjoramlead.reports import RefusedCall
from marjoramlead.target_queue import TargetQueue
from marjoramlead.world import TargetEntry, World

__all__ = ('answer_operator', 'queue_view', 'target_views')

REFUSAL: Final = '/refusals/'
State = Literal['usable', 'draining', 'out', 'held', 'spared']


def answer_operator(
    req: StreamRequest,
    metrics: Metrics,
    status: SidecarStatus,
    refused: Mapping[str, RefusedCall],
) -> None:
    """Answer ``/metrics``, ``/status`` or ``/refusals/REQUEST-ID``."""
    path = unquote(req.uri.decode('latin-1'))
    found: object = None
    if path == '/metrics':
        fields = Headers({b'Content-Type': [b'text/plain; version=0.0.4']})
        req.answer(Answer(HTTPStatus.OK, fields, metrics_text(metrics)))
        return
    if path == '/status':
        found = status
    elif path.startswith(REFUSAL):
        found = refused.get(path.removeprefix(REFUSAL))
    if found is None:
        missing = {'error': f'nothing is known of {path}'}
        req.answer(json_answer(HTTPStatus.NOT_FOUND, missing))
    else:
        req.answer(json_answer(HTTPStatus.OK, found))


def target_views(
    world: World,
    outlooks: Outlooks,
    now: float,
) -> list[TargetView]:
    """Describe all targets, by service and data centre."""
    ordered = sorted(
        world.targets.items(),
        key=lambda item: (item[1].service, item[1].data_centre, item[0]),
    )
    return [
        {
            'target_id': entry.target_id,
            'service': entry.service,
            'data_centre': entry.data_centre,
            'address': f'{entry.address[0]}:{entry.address[1]}',
            'state': _state_of(world, outlooks, key, now),
            'slots': entry.slots,
            'expected_s': expected_s(outlooks.of(entry.target_id), now),
            'failure_rate': failure_rate(outlooks.of(entry.target_id), now),
        }
        for key, entry in ordered
    ]


def queue_view(queue: TargetQueue, now: float) -> QueueView:
    """Describe the local target's queue."""
    return {
        'slots': queue.slots,
        'running': len(queue.running),
        'waiting': len(queue.waiting),
        'cold_s': max(0, queue.cold_until - now),
        'work_s': queue.statistics.mean_service_time,
    }


def _state_of(
    world: World,
    outlooks: Outlooks,
    key: str,
    now: float,
) -> State:
    entry: TargetEntry = world.targets[key]
    if entry.data_centre in world.out:
        return 'out'
    if entry.is_draining:
        return 'draining'
    if key in world.held:
        return 'held'
    if outlooks.of(entry.target_id).spare_until > now:
        return 'spared'
    return 'usable'
