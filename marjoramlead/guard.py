"""State of the guard, the proxy in front of the local target.

Every request to the target passes through the guard, which applies the limits
of the contract.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Final

from twisted.internet.defer import Deferred
from twisted.web.client import Agent

from marjoramlead.admission import (
    AdmissionState,
    TrackedRequest,
    admit,
    cancel_waiting,
    finish_request,
    latest_start,
    start_drain,
)
from marjoramlead.clock import Clock
from marjoramlead.counters import Counters
from marjoramlead.generated.contract_types import ServiceTerms
from marjoramlead.generated.settings_types import TargetSettings
from marjoramlead.key_replicas import KeyLedger, update_hosts
from marjoramlead.snapshot import RouteKind, Snapshot, Target
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'Guard',
    'acquire_slot',
    'apply_current_config',
    'check_routing',
    'drain_guard',
    'pop_reserved_slot',
    'release_slot',
    'reserve_slot',
    'service_targets',
)

RESERVATION_TIMEOUT_S: Final = 5.0
NO_CONTRACT_TERMS: Final[ServiceTerms] = {  # noqa: WPS407  # never modified
    'service': '',
    'slots': 0,
    'cold_slots': 0,
    'warm_answers': 1,
    'connections': 0,
    'queue': 0,
    'upload_slots': 0,
    'internal_slots': 0,
    'drain_limit_ms': 30_000,
}


@dataclass(slots=True)
class Guard:
    """State of the guard of one node.

    Attributes
    ----------
    current_snapshot
        Returns the configuration currently in force.
    target_agent
        HTTP client for requests to the local target.
    peer_agent
        HTTP client for requests to other guards.
    key_ledger
        Idempotency keys recorded at this node.
    admission
        Admission control; it admits no request until a contract for the
        local target is in force.
    request_numbers
        Source of numbers that identify requests at this node.
    reserved_slots
        Numbers of the requests that hold a slot for a body that has not
        arrived yet, by request id.
    slot_waiters
        Deferreds of the waiting requests by number; each fires with None
        when the request gets a slot, or with a refusal.
    """

    host: str
    data_centre: str
    target: TargetSettings
    current_snapshot: Callable[[], Snapshot]
    target_agent: Agent
    peer_agent: Agent
    reactor: Clock
    counters: Counters
    key_ledger: KeyLedger
    admission: AdmissionState = field(
        default_factory=lambda: AdmissionState(NO_CONTRACT_TERMS),
    )
    request_numbers: count = field(default_factory=count)
    reserved_slots: dict[str, int] = field(default_factory=dict)
    slot_waiters: dict[int, Deferred[Refusal | None]] = field(
        default_factory=dict,
    )


def check_routing(
    guard: Guard,
    customer: str,
    service: str,
) -> Refusal | None:
    """Refuse a request that the local target must not serve now.

    If it may serve the request, the terms of the contract in force are applied
    to the guard's admission control.

    Parameters
    ----------
    guard
        State of this node's guard.
    customer
        Customer of the request.
    service
        Service of the request.
    """
    own = guard.target
    if (customer, service) != (own['customer'], own['service']):
        return Refusal(Reason.WRONG_TARGET, Verdict.NOT_RUN)
    snapshot = guard.current_snapshot()
    if guard.data_centre in snapshot.data_centres_out:
        return Refusal(Reason.DATA_CENTRE_OUT, Verdict.NOT_RUN)
    terms = _service_terms(snapshot, own)
    if terms is None:
        return Refusal(Reason.NO_CONTRACT, Verdict.NOT_RUN)
    guard.admission.terms = terms
    return None


async def acquire_slot(
    guard: Guard,
    kind: RouteKind,
    deadline: float,
) -> int | Refusal:
    """Get a slot for a request, waiting for one if none is free.

    Parameters
    ----------
    guard
        State of this node's guard.
    kind
        Kind of the request's route.
    deadline
        Seconds on the node's monotonic clock.

    Returns
    -------
    The number of the request, by which ``release_slot`` frees the slot, or
    the refusal.
    """
    request = TrackedRequest(next(guard.request_numbers), kind, deadline)
    now = guard.reactor.seconds()
    refusal = admit(guard.admission, request, now)
    if refusal is not None:
        return refusal
    if request.number in guard.admission.running:
        return request.number
    return await _wait_for_slot(guard, request)


def pop_reserved_slot(guard: Guard, request_id: str) -> int | None:
    """Return the number under which a slot is reserved, or None.

    The reservation then no longer expires; ``release_slot`` frees the slot.
    """
    return guard.reserved_slots.pop(request_id, None)


def reserve_slot(guard: Guard, request_id: str, number: int) -> None:
    """Keep a slot for a body that will arrive soon.

    The slot is released if the body does not arrive in time.
    """
    guard.reserved_slots[request_id] = number
    guard.reactor.callLater(
        RESERVATION_TIMEOUT_S, _expire_reservation, guard, request_id, number
    )


def release_slot(guard: Guard, number: int) -> None:
    """Release a slot and start the requests that can now run."""
    now = guard.reactor.seconds()
    for request in finish_request(guard.admission, number, now):
        guard.slot_waiters.pop(request.number).callback(None)


def drain_guard(guard: Guard) -> None:
    """Refuse new and waiting requests; running requests can finish."""
    for request in start_drain(guard.admission):
        refusal = Refusal(Reason.DRAINING, Verdict.NOT_RUN)
        guard.slot_waiters.pop(request.number).callback(refusal)


def _service_terms(
    snapshot: Snapshot,
    own: TargetSettings,
) -> ServiceTerms | None:
    contract = snapshot.contracts.get(own['customer'])
    return contract.services.get(own['service']) if contract else None


async def _wait_for_slot(
    guard: Guard, request: TrackedRequest
) -> int | Refusal:
    decision: Deferred[Refusal | None] = Deferred()
    guard.slot_waiters[request.number] = decision
    latest = latest_start(guard.admission, request)
    remaining_s = max(0, latest - guard.reactor.seconds())
    timer = guard.reactor.callLater(
        remaining_s, _on_wait_timeout, guard, request.number
    )
    try:
        refusal = await decision
    finally:
        if timer.active():
            timer.cancel()
        if guard.slot_waiters.pop(request.number, None) is not None:
            cancel_waiting(guard.admission, request.number)
    return request.number if refusal is None else refusal


def _on_wait_timeout(guard: Guard, number: int) -> None:
    decision = guard.slot_waiters.pop(number, None)
    if decision is not None:
        cancel_waiting(guard.admission, number)
        decision.callback(Refusal(Reason.DEADLINE, Verdict.NOT_RUN))


def _expire_reservation(guard: Guard, request_id: str, number: int) -> None:
    if guard.reserved_slots.get(request_id) == number:
        guard.reserved_slots.pop(request_id)
        release_slot(guard, number)


def service_targets(guard: Guard) -> tuple[Target, ...]:
    """Return all targets of the local service, usable or not."""
    own = guard.target
    service_key = (own['customer'], own['service'])
    return guard.current_snapshot().targets_by_service.get(service_key, ())


def apply_current_config(guard: Guard) -> None:
    """Apply the service's terms and the host list currently in force.

    The last terms stay in force if the contract no longer has the service.
    """
    guard.admission.terms = _service_terms(
        guard.current_snapshot(), guard.target
    ) or (guard.admission.terms)
    hosts = tuple(sorted(each.host for each in service_targets(guard)))
    update_hosts(guard.key_ledger, hosts, guard.reactor.seconds())
