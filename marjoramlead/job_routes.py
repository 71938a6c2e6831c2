"""Check at a target's node by which routing table a job was sent.

The sender may have an older table than the target's node. A request that was
received before the change, or shortly after it, keeps its route.
"""

from marjoramlead.hops import Job
from marjoramlead.mesh_state import MeshState, routing_deadline
from marjoramlead.routes import RoutingTable, find_request_route
from marjoramlead.upstream import header_value
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('refuse_changed_route', 'with_current_version')


def with_current_version(
    mesh_state: MeshState, job: Job, service: str | None
) -> Job:
    """Return the job with this node's version if that leads to the service.

    Only versions that arrive later can then change its route.
    """
    table = mesh_state.table
    if table is None or job.version is None or table.version <= job.version:
        return job
    if service is not None and _leads_to(table, job, service):
        return job._replace(version=table.version)
    return job


def refuse_changed_route(
    mesh_state: MeshState, job: Job, service: str
) -> Refusal | None:
    """Refuse a job that only an older table sends to the local target."""
    table = mesh_state.table
    if table is None or job.version is None:
        return None
    if job.received_at <= routing_deadline(mesh_state, job.version):
        return None
    if _leads_to(table, job, service):
        return None
    return Refusal(Reason.ROUTE_CHANGED, Verdict.NOT_RUN, 0)


def _leads_to(table: RoutingTable, job: Job, service: str) -> bool:
    host = header_value(job.headers, b'host')
    route = find_request_route(table, host, job.uri)
    return route is not None and any(
        weighted.service == service for weighted in route.weighted_services
    )
