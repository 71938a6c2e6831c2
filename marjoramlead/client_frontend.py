"""State that all client requests of a node share, and its assembly."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from twisted.internet.defer import Deferred

from marjoramlead.account_checks import Revocation
from marjoramlead.dispatch import Dispatcher
from marjoramlead.header_names import HeaderNames
from marjoramlead.http_server import StreamRequest
from marjoramlead.ledger import Outcome
from marjoramlead.memory_budget import MemoryBudget
from marjoramlead.quota_exchange import QuotaExchange
from marjoramlead.quota_plan import HolderState
from marjoramlead.refusals import RecentRefusals
from marjoramlead.request_origin import RefusedAttempts
from marjoramlead.routes import RoundRobinState
from marjoramlead.sidecar_config import SidecarConfig
from marjoramlead.upstream import Connect

__all__ = (
    'ClientFrontend',
    'ShutdownSchedule',
    'apply_account_settings',
    'build_quota_exchange',
    'build_round_robin',
)


class ShutdownSchedule(NamedTuple):
    """The deadlines of a node that is shutting down.

    Attributes
    ----------
    accept_until
        Time after which new client requests are refused.
    answer_by
        Time by which requests in flight are answered, whatever their deadline.
    exit_by
        Time at which the node exits even if answers are not sent.
    """

    accept_until: float
    answer_by: float
    exit_by: float


@dataclass(slots=True)
class ClientFrontend:
    """State shared by all client requests of this node.

    Attributes
    ----------
    in_flight
        Requests without a final answer.
    budget
        Memory for requests and their bodies.
    shutdown
        Deadlines of the shutdown, or None before it has begun.
    revocation
        How soon an API key that was removed is refused.
    quota
        Tokens of client accounts.
    parent_request_id
        Returns the id of the running request that a target's call belongs to,
        by the id of the call; empty if the id names none.
    """

    dispatcher: Dispatcher
    header_names: HeaderNames
    round_robin: RoundRobinState
    parent_request_id: Callable[[str], str]
    budget: MemoryBudget
    quota: QuotaExchange
    in_flight: dict[StreamRequest, Deferred[Outcome]] = field(
        default_factory=dict
    )
    shutdown: ShutdownSchedule | None = None
    recent_refusals: RecentRefusals = field(default_factory=RecentRefusals)
    refused_attempts: RefusedAttempts = field(default_factory=RefusedAttempts)
    revocation: Revocation = field(default_factory=Revocation)


def build_round_robin(rng: Random) -> RoundRobinState:
    """Return the initial state of the traffic split."""
    return RoundRobinState(rng)


def build_quota_exchange(
    dispatcher: Dispatcher, connect: Connect, config: SidecarConfig
) -> QuotaExchange:
    """Return the tokens of client accounts of a node that starts."""
    return QuotaExchange(
        dispatcher.mesh_state,
        dispatcher.reactor,
        dispatcher.metrics,
        connect,
        config.inbound[1],
        config.quota,
        HolderState(config.inbound[0], config.revocation.max_age_s),
    )


def apply_account_settings(
    frontend: ClientFrontend, config: SidecarConfig
) -> None:
    """Apply the settings of client accounts, which may change."""
    frontend.revocation = config.revocation
    frontend.quota.bounds = config.quota
    frontend.quota.holder.max_age_s = config.revocation.max_age_s
