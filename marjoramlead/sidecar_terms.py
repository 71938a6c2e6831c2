"""The settings of a node beside a target, checked."""

from typing import NamedTuple

from marjoramlead.address import Address
from marjoramlead.repeat_budget import RepeatBudgetConfig

__all__ = ('SidecarTerms',)


class SidecarTerms(NamedTuple):
    """Settings of a node, checked.

    Attributes
    ----------
    host
        Name of this host.
    service
        Service of the local target.
    seeds
        Control addresses of other nodes, of use before any target is known.
    grace_s
        Time to stop after SIGTERM.
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
    grace_s: float
    budget: RepeatBudgetConfig
