"""Build the status document that a node serves to operators."""

from marjoramlead.admission import running_count
from marjoramlead.agent import Agent, source_age
from marjoramlead.gateway import Gateway
from marjoramlead.guard import Guard
from marjoramlead.reports import (
    DocumentStatus,
    LocalStatus,
    NodeStatus,
    TargetStatus,
)
from marjoramlead.slow_start import concurrency_limit
from marjoramlead.snapshot import Target, all_targets

__all__ = ('node_status',)


def node_status(
    agent: Agent,
    gateway: Gateway,
    guard: Guard,
    control_bytes_sent: int,
    now: float,
) -> NodeStatus:
    """Build the status document of a node.

    Parameters
    ----------
    agent, gateway, guard
        Components of the node.
    control_bytes_sent
        Number of bytes of control frames sent since the start.
    now
        Seconds on the node's monotonic clock.
    """
    store = agent.store
    return {
        'host': agent.identity.host,
        'data_centre': agent.identity.data_centre,
        'newest': store.newest_revision,
        'root': store.root,
        'source_age_s': round(source_age(agent, now), 3),
        'documents': _document_statuses(agent, now),
        'refused': [
            {
                'name': refused.name,
                'revision': refused.revision,
                'reason': refused.reason,
            }
            for refused in store.refused.values()
        ],
        'out': sorted(store.snapshot.data_centres_out),
        'targets': [
            _target_status(gateway, target, now)
            for target in all_targets(store.snapshot)
        ],
        'local': _local_status(guard),
        'calls_in_flight': gateway.in_flight,
        'control_bytes_sent': control_bytes_sent,
        'counters': agent.counters.by_name(),
    }


def _document_statuses(agent: Agent, now: float) -> list[DocumentStatus]:
    return [
        {
            'name': version.name,
            'revision': version.revision,
            'digest': version.digest,
            'since_s': round(now - agent.in_force_since[version.name], 3),
        }
        for version in sorted(agent.store.in_force.values())
    ]


def _target_status(
    gateway: Gateway,
    target: Target,
    now: float,
) -> TargetStatus:
    target_state = gateway.routing.states.state_of(target.host)
    state = 'live'
    if target.leaving:
        state = 'leaving'
    elif target_state.ejected_until > now:
        state = 'ejected'
    return {
        'host': target.host,
        'data_centre': target.data_centre,
        'customer': target.customer,
        'service': target.service,
        'state': state,
        'in_flight': target_state.in_flight,
    }


def _local_status(guard: Guard) -> LocalStatus:
    admission = guard.admission
    return {
        'customer': guard.target['customer'],
        'service': guard.target['service'],
        'running': running_count(admission),
        'waiting': len(admission.waiting),
        'window': concurrency_limit(admission.slow_start, admission.terms),
        'is_draining': admission.is_draining,
    }
