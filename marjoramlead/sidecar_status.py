"""Answers to operators: metrics, status and recent refusals of a node."""

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
from marjoramlead.mesh_state import MeshState, TargetEntry, is_leaving
from marjoramlead.metrics import Metrics, render_metrics
from marjoramlead.placement import (
    BalancerState,
    TargetStats,
    estimate_response_s,
    failure_rate,
)
from marjoramlead.problems import BufferedResponse, json_response
from marjoramlead.reports import RefusedCall
from marjoramlead.target_queue import TargetQueue

__all__ = ('handle_operator_request', 'queue_view', 'target_views')

REFUSALS_PATH: Final = '/refusals/'
TargetState = Literal['usable', 'draining', 'out', 'held', 'spared']


def handle_operator_request(
    req: StreamRequest,
    metrics: Metrics,
    status: SidecarStatus,
    recent_refusals: Mapping[str, RefusedCall],
) -> None:
    """Answer ``/metrics``, ``/status`` or ``/refusals/REQUEST-ID``."""
    path = unquote(req.uri.decode('latin-1'))
    document: object = None
    if path == '/metrics':
        headers = Headers({b'Content-Type': [b'text/plain; version=0.0.4']})
        req.send_response(
            BufferedResponse(HTTPStatus.OK, headers, render_metrics(metrics))
        )
        return
    if path == '/status':
        document = status
    elif path.startswith(REFUSALS_PATH):
        document = recent_refusals.get(path.removeprefix(REFUSALS_PATH))
    if document is None:
        error_body = {'error': f'{path} was not found'}
        req.send_response(json_response(HTTPStatus.NOT_FOUND, error_body))
    else:
        req.send_response(json_response(HTTPStatus.OK, document))


def target_views(
    mesh_state: MeshState,
    balancer: BalancerState,
    now: float,
) -> list[TargetView]:
    """Describe all targets, sorted by service and data centre."""
    ordered = sorted(
        mesh_state.targets.items(),
        key=lambda item: (item[1].service, item[1].data_centre, item[0]),
    )
    return [
        {
            'target_id': entry.target_id,
            'service': entry.service,
            'data_centre': entry.data_centre,
            'address': f'{entry.address[0]}:{entry.address[1]}',
            'state': _state_of(mesh_state, balancer, key, now),
            'slots': entry.slots,
            'expected_s': _slowest_response_s(
                balancer.stats_of(entry.target_id), now
            ),
            'failure_rate': failure_rate(
                balancer.stats_of(entry.target_id), now
            ),
        }
        for key, entry in ordered
    ]


def _slowest_response_s(stats: TargetStats, now: float) -> float:
    """Estimate the response time of the route that takes longest."""
    routes = stats.service_times or ('',)
    return max(estimate_response_s(stats, now, route) for route in routes)


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
    mesh_state: MeshState,
    balancer: BalancerState,
    key: str,
    now: float,
) -> TargetState:
    """Return the state of a target, as shown to operators.

    A target is held if its entry expired during an outage of the store and it
    still has time to register again. It is spared while its host is in backoff
    after a failure.
    """
    entry: TargetEntry = mesh_state.targets[key]
    if entry.data_centre in mesh_state.excluded:
        return 'out'
    if is_leaving(mesh_state, entry):
        return 'draining'
    if key in mesh_state.held_until:
        return 'held'
    if balancer.stats_of(entry.target_id).backoff_until > now:
        return 'spared'
    return 'usable'
