"""Admission control for the local target: slots, a queue and refusals.

Every request to a target passes through the guard beside it, so these limits
apply to the requests of all gateways together. A request that cannot finish
before its deadline is refused at once, with a retry delay for the caller.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from marjoramlead.generated.contract_types import ServiceTerms
from marjoramlead.slow_start import (
    SlowStart,
    concurrency_limit,
    on_failure,
    on_success,
)
from marjoramlead.snapshot import RouteKind
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'AdmissionState',
    'TrackedRequest',
    'admit',
    'cancel_waiting',
    'finish_request',
    'latest_start',
    'record_failure',
    'record_success',
    'record_timeout',
    'running_count',
    'start_drain',
)

INITIAL_SERVICE_TIME_S: Final = 0.01
SERVICE_TIME_SMOOTHING: Final = 0.1
# A timeout counts as a failure of the target only if the request ran for
# more than this many service times.
TIMEOUT_FAILURE_FACTOR: Final = 3
MAX_RETRY_AFTER_S: Final = 30


class TrackedRequest(NamedTuple):
    """A request that waits for a slot or holds one.

    Attributes
    ----------
    number
        Unique number that the guard assigned.
    deadline
        Seconds on the node's monotonic clock.
    """

    number: int
    kind: RouteKind
    deadline: float


@dataclass(slots=True)
class AdmissionState:
    """Running and waiting requests of one target.

    Attributes
    ----------
    running
        Requests at the target by number, with the start time of each.
    service_time_s
        Exponential moving average of the time that the target takes for a
        complete, successful response, in seconds.
    """

    terms: ServiceTerms
    slow_start: SlowStart = field(default_factory=SlowStart)
    running: dict[int, tuple[TrackedRequest, float]] = field(
        default_factory=dict
    )
    waiting: deque[TrackedRequest] = field(default_factory=deque)
    service_time_s: float = INITIAL_SERVICE_TIME_S
    is_draining: bool = False


def admit(
    state: AdmissionState,
    request: TrackedRequest,
    now: float,
) -> Refusal | None:
    """Start a request, queue it, or refuse it.

    Returns
    -------
    The refusal, or None if the request is now in ``running`` or ``waiting``.
    """
    refusal = _find_refusal(state, request, now)
    if refusal is not None:
        return refusal
    if _has_free_slot(state, request.kind):
        state.running[request.number] = (request, now)
    else:
        _enqueue(state, request)
    return None


def finish_request(
    state: AdmissionState,
    number: int,
    now: float,
) -> list[TrackedRequest]:
    """Free the slot of a request and start waiting requests.

    Parameters
    ----------
    state
        Admission state of the local target.
    number
        Number of the request that ended. An unknown number frees no slot.
    now
        Seconds on the node's monotonic clock.

    Returns
    -------
    The requests that were started.
    """
    state.running.pop(number, None)
    return _start_waiting(state, now)


def record_success(state: AdmissionState, number: int, now: float) -> None:
    """Record a complete, successful response to a running request."""
    _request, started_at = state.running[number]
    state.service_time_s += SERVICE_TIME_SMOOTHING * (
        now - started_at - state.service_time_s
    )
    on_success(state.slow_start, state.terms)


def record_timeout(state: AdmissionState, number: int, now: float) -> bool:
    """Record that a running request timed out.

    Returns
    -------
    Whether the request ran for long enough to count as a failure of the
    target. A request that started shortly before its deadline does not.
    """
    _request, started_at = state.running[number]
    is_failure = (
        now - started_at > TIMEOUT_FAILURE_FACTOR * state.service_time_s
    )
    if is_failure:
        on_failure(state.slow_start)
    return is_failure


def latest_start(state: AdmissionState, request: TrackedRequest) -> float:
    """Return the latest start time that still meets the deadline."""
    return request.deadline - state.service_time_s


def cancel_waiting(state: AdmissionState, number: int) -> bool:
    """Remove a request from the queue and return whether it was there."""
    before = len(state.waiting)
    state.waiting = deque(
        request for request in state.waiting if request.number != number
    )
    return len(state.waiting) < before


def record_failure(state: AdmissionState) -> None:
    """Reduce the concurrency limit after a failure of the target."""
    on_failure(state.slow_start)


def start_drain(state: AdmissionState) -> list[TrackedRequest]:
    """Refuse new requests from now on and empty the queue.

    Returns
    -------
    The requests that were waiting and will not run.
    """
    state.is_draining = True
    waiting = list(state.waiting)
    state.waiting.clear()
    return waiting


def running_count(state: AdmissionState) -> int:
    """Count the requests that hold a slot."""
    return len(state.running)


def _find_refusal(
    state: AdmissionState,
    request: TrackedRequest,
    now: float,
) -> Refusal | None:
    if state.is_draining:
        return Refusal(Reason.DRAINING, Verdict.NOT_RUN)
    if now >= request.deadline:
        return Refusal(Reason.DEADLINE, Verdict.NOT_RUN)
    if _has_free_slot(state, request.kind):
        return None
    if request.kind == 'upload':
        return Refusal(
            Reason.UPLOAD_SLOTS,
            Verdict.NOT_RUN,
            _retry_after(state),
        )
    if len(state.waiting) >= state.terms['queue']:
        return Refusal(Reason.OVERLOAD, Verdict.NOT_RUN, _retry_after(state))
    if now + _expected_wait(state, request.kind) >= latest_start(
        state, request
    ):
        return Refusal(Reason.OVERLOAD, Verdict.NOT_RUN, _retry_after(state))
    return None


def _has_free_slot(state: AdmissionState, kind: RouteKind) -> bool:
    limit = concurrency_limit(state.slow_start, state.terms)
    if len(state.running) >= limit:
        return False
    if kind == 'internal':
        return True
    if (
        kind == 'upload'
        and _running_uploads(state) >= state.terms['upload_slots']
    ):
        return False
    # At least one slot stays available to requests of other kinds.
    reserved = min(state.terms['internal_slots'], limit - 1)
    return _running_non_internal(state) < limit - reserved


def _running_uploads(state: AdmissionState) -> int:
    return sum(
        request.kind == 'upload'
        for request, _started_at in state.running.values()
    )


def _running_non_internal(state: AdmissionState) -> int:
    return sum(
        request.kind != 'internal'
        for request, _started_at in state.running.values()
    )


def _enqueue(state: AdmissionState, request: TrackedRequest) -> None:
    if request.kind != 'internal':
        state.waiting.append(request)
        return
    ahead = sum(other.kind == 'internal' for other in state.waiting)
    state.waiting.insert(ahead, request)


def _expected_wait(state: AdmissionState, kind: RouteKind) -> float:
    ahead = sum(
        kind != 'internal' or other.kind == 'internal'
        for other in state.waiting
    )
    return (
        (ahead + 1)
        * state.service_time_s
        / max(1, concurrency_limit(state.slow_start, state.terms))
    )


def _retry_after(state: AdmissionState) -> int:
    wait = _expected_wait(state, 'idempotent')
    return min(MAX_RETRY_AFTER_S, 1 + int(wait))


def _start_waiting(state: AdmissionState, now: float) -> list[TrackedRequest]:
    started: list[TrackedRequest] = []
    while state.waiting and _has_free_slot(state, state.waiting[0].kind):
        request = state.waiting.popleft()
        state.running[request.number] = (request, now)
        started.append(request)
    return started
