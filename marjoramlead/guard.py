"""Stand between the fleet and the local target: the only way to it."""

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
NO_CONTRACT_TERMS: Final[ServiceTerms] = {  # noqa: WPS407  # nothing changes it
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
    target_agent
        Client of the local target.
    peer_agent
        Client of other guards.
    admission
        Grants nothing until a contract for the local target is in force.
    reserved_slots
        Slots held for uploads that were admitted but have not arrived yet,
        by request id.
    slot_waiters
        What to fire when a waiting request may run, by its number.
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
    """Refuse work that does not belong at this target now."""
    own = guard.target
    if (customer, service) != (own['customer'], own['service']):
        return Refusal(Reason.WRONG_TARGET, Verdict.NOT_RUN)
    snapshot = guard.current_snapshot()
    if guard.data_centre in snapshot.data_centres_out:
        return Refusal(Reason.DATA_CENTRE_OUT, Verdict.NOT_RUN)
    terms = _terms_of(snapshot, own)
    if terms is None:
        return Refusal(Reason.NO_CONTRACT, Verdict.NOT_RUN)
    guard.admission.terms = terms
    return None


async def acquire_slot(
    guard: Guard,
    kind: RouteKind,
    deadline: float,
) -> int | Refusal:
    """Get a slot for a request, after a wait if need be.

    Returns
    -------
    The number of the request, to be given to ``leave``; or why not.
    """
    entry = TrackedRequest(next(guard.request_numbers), kind, deadline)
    now = guard.reactor.seconds()
    refusal = admit(guard.admission, entry, now)
    if refusal is not None:
        return refusal
    if entry.number in guard.admission.running:
        return entry.number
    return await _wait_for_slot(guard, entry)


def pop_reserved_slot(guard: Guard, request_id: str) -> int | None:
    """Take over the slot that was reserved for an upload."""
    return guard.reserved_slots.pop(request_id, None)


def reserve_slot(guard: Guard, request_id: str, number: int) -> None:
    """Hold a slot for an upload that will arrive soon."""
    guard.reserved_slots[request_id] = number
    guard.reactor.callLater(
        RESERVATION_TIMEOUT_S, _lapse, guard, request_id, number
    )


def release_slot(guard: Guard, number: int) -> None:
    """Give a slot back and start those that waited for it."""
    now = guard.reactor.seconds()
    for entry in finish_request(guard.admission, number, now):
        guard.slot_waiters.pop(entry.number).callback(None)


def drain_guard(guard: Guard) -> None:
    """Refuse new work from now on; what runs goes on to its end."""
    for entry in start_drain(guard.admission):
        refusal = Refusal(Reason.DRAINING, Verdict.NOT_RUN)
        guard.slot_waiters.pop(entry.number).callback(refusal)


def _terms_of(
    snapshot: Snapshot,
    own: TargetSettings,
) -> ServiceTerms | None:
    contract = snapshot.contracts.get(own['customer'])
    return contract.services.get(own['service']) if contract else None


async def _wait_for_slot(guard: Guard, entry: TrackedRequest) -> int | Refusal:
    started: Deferred[Refusal | None] = Deferred()
    guard.slot_waiters[entry.number] = started
    latest = latest_start(guard.admission, entry)
    left = max(0, latest - guard.reactor.seconds())
    timer = guard.reactor.callLater(left, _on_wait_over, guard, entry.number)
    try:
        refusal = await started
    finally:
        if timer.active():
            timer.cancel()
        if guard.slot_waiters.pop(entry.number, None) is not None:
            cancel_waiting(guard.admission, entry.number)
    return entry.number if refusal is None else refusal


def _on_wait_over(guard: Guard, number: int) -> None:
    started = guard.slot_waiters.pop(number, None)
    if started is not None:
        cancel_waiting(guard.admission, number)
        started.callback(Refusal(Reason.DEADLINE, Verdict.NOT_RUN))


def _lapse(guard: Guard, request_id: str, number: int) -> None:
    if guard.reserved_slots.get(request_id) == number:
        guard.reserved_slots.pop(request_id)
        release_slot(guard, number)


def service_targets(guard: Guard) -> tuple[Target, ...]:
    """List the targets of the local service, usable or not."""
    own = guard.target
    pool = (own['customer'], own['service'])
    return guard.current_snapshot().targets_by_service.get(pool, ())


def apply_current_config(guard: Guard) -> None:
    """Follow the contract and the host list in force."""
    guard.admission.terms = _terms_of(
        guard.current_snapshot(), guard.target
    ) or (guard.admission.terms)
    hosts = tuple(sorted(each.host for each in service_targets(guard)))
    update_hosts(guard.key_ledger, hosts, guard.reactor.seconds())
