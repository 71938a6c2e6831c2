"""Answers to operators: metrics, status and recent refusals of a node."""

from collections.abc import Callable, Mapping
from functools import partial
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, Literal
from urllib.parse import unquote

from twisted.web.http_headers import Headers

from marjoramlead.account_status import account_views
from marjoramlead.bounded_keys import bounded_key
from marjoramlead.generated.sidecar_status_types import (
    QueueView,
    RefusedRoutingView,
    SidecarStatus,
    TargetView,
)
from marjoramlead.http_server import StreamRequest, StreamSite
from marjoramlead.link_schedule import backlog_s
from marjoramlead.mesh_entries import RefusedRouting
from marjoramlead.mesh_state import MeshState, TargetEntry, is_leaving
from marjoramlead.metrics import Metrics, register_gauge, render_metrics
from marjoramlead.placement import (
    BalancerState,
    TargetStats,
    estimate_response_s,
    failure_rate,
)
from marjoramlead.problems import BufferedResponse, json_response
from marjoramlead.reports import RefusedCall
from marjoramlead.sidecar import Sidecar
from marjoramlead.target_gate import TargetGate
from marjoramlead.target_pace import pace_at

__all__ = ('handle_operator_request', 'register_gauges', 'sidecar_status')

REFUSALS_PATH: Final = '/refusals/'
# Upper bound of the reported age of the mesh state, which is infinite until
# the node first reaches the store or a peer.
MAX_REPORTED_AGE_S: Final = 1e6
TargetState = Literal['usable', 'draining', 'out', 'held', 'spared']

_Count = Callable[[StreamSite], int]
_Register = Callable[[str, str, Callable[[], float]], None]

# What limits on clients have ended, by the name of its gauge.
LIMIT_COUNTERS: Final[Mapping[str, _Count]] = MappingProxyType(
    {
        'stalled_bodies': lambda site: site.clients.ended_bodies['stalled'],
        'ended_discards': lambda site: site.clients.ended_bodies['refused'],
        'evicted_bodies': lambda site: site.clients.ended_bodies['port_full'],
        'evicted_answers': lambda site: site.clients.ended_answers,
        'discard_waits': lambda site: site.clients.discarded.waits,
        'refused_connections': lambda site: site.clients.refused_connections,
        'closed_idle': lambda site: site.clients.closed_idle,
        'chunk_waits': lambda site: site.clients.pace.waits,
        'ahead_waits': lambda site: site.clients.ahead.waits,
    }
)


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
        request_id = path.removeprefix(REFUSALS_PATH)
        document = recent_refusals.get(bounded_key(request_id))
    if document is None:
        error_body = {'error': f'{path} was not found'}
        req.send_response(json_response(HTTPStatus.NOT_FOUND, error_body))
    else:
        req.send_response(json_response(HTTPStatus.OK, document))


def sidecar_status(sidecar: Sidecar) -> SidecarStatus:
    """Describe a node, for operators."""
    now = sidecar.reactor.seconds()
    mesh_state = sidecar.mesh_state
    return {
        'host': sidecar.config.host,
        'data_centre': sidecar.config.data_centre,
        'service': sidecar.config.service,
        'version': mesh_state.table.version if mesh_state.table else 0,
        'revision': mesh_state.revision.number,
        'era': mesh_state.revision.era,
        'news_age_s': min(now - mesh_state.confirmed_at, MAX_REPORTED_AGE_S),
        'store_failures': sidecar.store_watcher.failures,
        'refused_routing': _refused_routing_view(mesh_state.refused_routing),
        'stopping': sidecar.frontend.shutdown is not None,
        'out': sorted(mesh_state.excluded),
        'targets': _target_views(mesh_state, sidecar.dispatcher.balancer, now),
        'queue': _queue_view(sidecar.gate, now),
        'accounts': account_views(sidecar.frontend.quota, now),
    }


def register_gauges(sidecar: Sidecar) -> None:
    """Register the gauges of a node, which are read at each scrape."""
    queue = sidecar.gate.queue
    mesh_state = sidecar.mesh_state
    now = sidecar.reactor.seconds

    def register(
        name: str, description: str, read: Callable[[], float]
    ) -> None:
        register_gauge(sidecar.metrics, name, description, read)

    _register_resource_gauges(sidecar, register)
    register(
        'target_running',
        'Requests running at the target.',
        lambda: len(queue.running),
    )
    register(
        'target_waiting',
        'Requests waiting for the target.',
        lambda: len(queue.waiting),
    )
    register(
        'target_pace',
        "How long work takes on the target's machine, 1 for as usual.",
        lambda: pace_at(queue.statistics.pace, now()),
    )
    register('target_slots', 'Slots of the target.', lambda: queue.slots)
    register(
        'target_cold_seconds',
        'Seconds until the target is no longer cold.',
        lambda: max(0, queue.cold_until - now()),
    )
    register(
        'news_age_seconds',
        'Seconds since the mesh state was last confirmed as current.',
        lambda: now() - mesh_state.confirmed_at,
    )
    register(
        'revision',
        'Store revision that this node has reached.',
        lambda: mesh_state.revision.number,
    )
    register(
        'store_era',
        'Number of restorations of the store, as this node knows it.',
        lambda: mesh_state.revision.era,
    )
    register(
        'version',
        'Version of the current routing table.',
        lambda: mesh_state.table.version if mesh_state.table else 0,
    )
    register(
        'routing_refused',
        'Whether the newest version of the routing table cannot be used.',
        lambda: mesh_state.refused_routing is not None,
    )


def _register_resource_gauges(sidecar: Sidecar, register: _Register) -> None:
    """Register the gauges of the link and of memory."""
    link = sidecar.gate.link
    register(
        'link_backlog_seconds',
        'Time that the link takes for all answers that are to be sent.',
        lambda: backlog_s(link.schedule, sidecar.reactor.seconds()),
    )
    register(
        'link_transfers',
        'Long answers that are being sent to other nodes.',
        lambda: len(link.answers),
    )
    register(
        'message_bytes',
        'Bytes of messages in memory.',
        lambda: sidecar.budget.used,
    )
    register(
        'message_bytes_limit',
        'Bytes that messages may have in memory.',
        lambda: sidecar.budget.capacity,
    )
    register(
        'messages_refused',
        'Messages for which there was no memory, since the start.',
        lambda: sidecar.budget.refused + sidecar.budget.given_up,
    )
    register(
        'attempts_not_barred',
        'Attempts that could not be barred by a query, since the start.',
        lambda: sidecar.gate.ledger.unbarred,
    )
    for name, count in LIMIT_COUNTERS.items():
        register(
            f'client_{name}',
            f'{name} by limits on clients, since the start.',
            partial(_sum_over_sites, sidecar, count),
        )


def _sum_over_sites(sidecar: Sidecar, count: _Count) -> int:
    return sum(count(each.site) for each in sidecar.listeners.values())


def _refused_routing_view(
    refused: RefusedRouting | None,
) -> RefusedRoutingView | None:
    if refused is None:
        return None
    return {
        'version': refused.version,
        'field': refused.path,
        'reason': refused.reason,
    }


def _target_views(
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


def _queue_view(gate: TargetGate, now: float) -> QueueView:
    """Describe the local target's queue, its pace and its link."""
    queue = gate.queue
    return {
        'slots': queue.slots,
        'running': len(queue.running),
        'waiting': len(queue.waiting),
        'cold_s': max(0, queue.cold_until - now),
        'work_s': queue.statistics.mean_service_time,
        'pace': pace_at(queue.statistics.pace, now),
        'link_backlog_s': backlog_s(gate.link.schedule, now),
        'link_transfers': len(gate.link.answers),
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
