"""Validated settings of a sidecar."""

from typing import NamedTuple

from marjoramlead.account_checks import Revocation
from marjoramlead.address import Address
from marjoramlead.client_limits import DEFAULT_LIMITS, ProcessLimits
from marjoramlead.mesh_retry_budget import MeshRetryBudgetConfig
from marjoramlead.quota_plan import QuotaBounds

__all__ = ('SidecarConfig',)


class SidecarConfig(NamedTuple):
    """Validated settings of a sidecar.

    Attributes
    ----------
    host
        Name of this host.
    service
        Service of the local target.
    target
        Address of the local target.
    outbound, inbound
        Addresses at which clients and other nodes send requests.
    ready
        Address that answers readiness probes.
    control
        Optional second address for requests of other nodes.
    metrics_port
        Optional port for metrics and status, on the host of ``inbound``.
    store
        Address of the platform's store.
    seeds
        Control addresses of other nodes, used until targets are known.
    termination_grace_s
        Seconds from SIGTERM until the process must have ended.
    link_bytes_per_s
        Rate of this host's network link.
    memory_bytes
        Memory that the process must not exceed.
    budget
        Limits on the retries of all nodes together.
    revocation
        How soon an API key that was removed is refused.
    quota
        What may run of a client account, by its quota.
    client_limits
        Limits on clients that nobody controls, for each port.
    """

    host: str
    data_centre: str
    service: str
    target: Address
    outbound: Address
    inbound: Address
    ready: Address
    control: Address | None
    metrics_port: int | None
    store: Address
    seeds: tuple[Address, ...]
    heartbeat_s: float
    termination_grace_s: float
    link_bytes_per_s: float
    memory_bytes: float
    budget: MeshRetryBudgetConfig
    revocation: Revocation = Revocation()
    quota: QuotaBounds = QuotaBounds()
    client_limits: ProcessLimits = DEFAULT_LIMITS
