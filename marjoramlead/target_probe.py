"""Track the local target: its entry, health probes and possible restarts."""

from typing import Final

from twisted.internet.defer import Deferred

from marjoramlead.deadlines import TimedWait
from marjoramlead.events import emit
from marjoramlead.headers import parse_number
from marjoramlead.mesh_state import find_target_by_address, is_usable
from marjoramlead.routes import ServiceConfig
from marjoramlead.target_gate import (
    TargetGate,
    apply_notice,
    not_run_refusal,
    refuse_if_unavailable,
    refuse_waiting_requests,
    release_slot,
    service_config,
    start_waiting_requests,
)
from marjoramlead.target_pace import Pace
from marjoramlead.target_queue import QueueEntry, set_cold_rate, set_rate_limit
from marjoramlead.upstream import (
    OutgoingRequest,
    Reply,
    SendResult,
    header_value,
    send,
)
from marjoramlead.verdict import Reason

__all__ = ('apply_target_entry', 'probe_target', 'suspect_restart')

MS_PER_SECOND: Final = 1000
PROBE_TIMEOUT_S: Final = 1.0


def apply_target_entry(gate: TargetGate) -> None:
    """Apply the published entry of the local target to its gate."""
    now = gate.reactor.seconds()
    previous = gate.target_entry
    target_entry = find_target_by_address(gate.mesh_state, gate.address)
    gate.target_entry = target_entry
    gate.queue.slots = target_entry.slots if target_entry else 0
    if target_entry is None or not is_usable(gate.mesh_state, target_entry):
        refusal = refuse_if_unavailable(gate, None)
        refuse_waiting_requests(
            gate, refusal or not_run_refusal(Reason.NOT_READY)
        )
        gate.is_restart_suspected = True
        return
    service_cfg = service_config(gate)
    is_new = previous is None or (previous.target_id, previous.started_ms) != (
        target_entry.target_id,
        target_entry.started_ms,
    )
    is_changed = previous is None or target_entry.seen_at != previous.seen_at
    if target_entry.warmup_left_s and is_changed:
        per_s = service_cfg.warmup_requests_per_s if service_cfg else 1
        set_cold_rate(
            gate.queue, target_entry.seen_at + target_entry.warmup_left_s, per_s
        )
        emit(
            'target_cold',
            target=target_entry.target_id,
            left_s=target_entry.warmup_left_s,
        )
    if is_new:
        gate.queue.statistics.service_times.clear()
        gate.queue.statistics.pace = Pace()
        gate.has_target_responded = False
        set_rate_limit(gate.queue, None, now)
    if gate.is_restart_suspected:
        suspect_restart(gate)
    start_waiting_requests(gate, now)


def suspect_restart(gate: TargetGate) -> None:
    """Treat the target as cold until a probe reports its state."""
    gate.is_restart_suspected = True
    service_cfg = service_config(gate)
    if service_cfg is not None:
        now = gate.reactor.seconds()
        until = max(gate.queue.cold_until, now + service_cfg.warmup_s)
        set_cold_rate(gate.queue, until, service_cfg.warmup_requests_per_s)
    probe_target(gate)


def probe_target(gate: TargetGate, min_interval_s: float = 0) -> None:
    """Probe the target, unless a probe is running or no slot is free.

    Parameters
    ----------
    gate
        Gate of the target to probe.
    min_interval_s
        Minimum time in seconds since the last probe.
    """
    now = gate.reactor.seconds()
    has_slot = len(gate.queue.running) < gate.queue.slots
    if gate.is_probing or gate.target_entry is None or not has_slot:
        return
    if now < gate.probed_at + min_interval_s:
        return
    gate.is_probing = True
    gate.probed_at = now
    Deferred.fromCoroutine(_probe(gate)).addErrback(
        lambda failure: emit('probe_bug', error=failure.getTraceback()),
    )


async def _probe(gate: TargetGate) -> None:
    service_cfg = service_config(gate)
    target_entry = gate.target_entry
    if service_cfg is None or target_entry is None:
        gate.is_probing = False
        return
    now = gate.reactor.seconds()
    number = next(gate.request_numbers)
    probe_entry = QueueEntry(number, '', '', 0, now, now + PROBE_TIMEOUT_S)
    gate.queue.running[number] = (probe_entry, now)
    host = f'{target_entry.address[0]}:{target_entry.address[1]}'.encode()
    outgoing = OutgoingRequest(
        b'GET',
        service_cfg.health_path.encode(),
        [(b'Host', host)],
        b'',
        is_identified=lambda reply: _tells_state(gate, reply),
    )
    wait = TimedWait(
        gate.reactor,
        send(
            gate.pool, outgoing, lambda reply: _is_reply_to_probe(gate, reply)
        ),
    )
    wait.add_deadline(now + PROBE_TIMEOUT_S)
    gate.metrics.probes.inc()
    try:
        send_result = await wait.result()
    finally:
        gate.is_probing = False
        release_slot(gate, number)
    _on_probe_result(gate, send_result, service_cfg)


def _is_reply_to_probe(gate: TargetGate, reply: Reply) -> bool:
    """Return whether a reply may be that to a probe, which has no id."""
    return not header_value(reply.headers, gate.header_names.request_id)


def _tells_state(gate: TargetGate, reply: Reply) -> bool:
    """Return whether a reply is from the target, and is no rejection."""
    header_names = gate.header_names
    if gate.target_entry is None or header_value(
        reply.headers, header_names.not_run
    ):
        return False
    target_id = header_value(reply.headers, header_names.target_id)
    return target_id == gate.target_entry.target_id


def _on_probe_result(
    gate: TargetGate,
    send_result: SendResult | None,
    service_cfg: ServiceConfig,
) -> None:
    if send_result is None or send_result.is_error():
        emit('probe_failed', address=gate.address)
        return
    reply = send_result.ok
    if not _tells_state(gate, reply):
        emit('probe_unreadable', status=reply.status)
        return
    cold = header_value(reply.headers, gate.header_names.cold_ms)
    now = gate.reactor.seconds()
    cold_left_ms = parse_number(cold or '0')
    if cold_left_ms is None:
        emit('probe_unreadable', cold=cold)
        return
    cold_left_s = cold_left_ms / MS_PER_SECOND
    apply_notice(gate, reply.headers, is_probe=True)
    was_cold = now < gate.queue.cold_until
    if cold_left_s or was_cold:
        emit('target_cold', left_s=cold_left_s, status=reply.status)
    gate.is_restart_suspected = False
    set_cold_rate(
        gate.queue,
        now + cold_left_s if cold_left_s else 0,
        service_cfg.warmup_requests_per_s,
    )
    start_waiting_requests(gate, now)
