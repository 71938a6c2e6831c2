"""What is known of the local target: its entry, probes, and suspicion."""

from typing import Final

from twisted.internet.defer import Deferred

from marjoramlead.events import emit
from marjoramlead.limits import Wait
from marjoramlead.routes import ServiceTerms
from marjoramlead.target_gate import (
    TargetGate,
    leave,
    place_refusal,
    refuse_waiting,
    refused,
    start_waiting,
    terms_of,
)
from marjoramlead.target_queue import QueueEntry, set_cold_rate
from marjoramlead.upstream import Outgoing, Sent, send, value_of
from marjoramlead.verdict import Reason
from marjoramlead.world import is_usable, target_at

__all__ = ('check_target', 'follow_world', 'suspect')

SECOND_MS: Final = 1000
# A probe that has no answer by then is given up.
PROBE_LIMIT_S: Final = 1.0


def follow_world(gate: TargetGate) -> None:
    """Follow what is believed of the local target."""
    now = gate.reactor.seconds()
    known = gate.entry
    entry = target_at(gate.world, gate.address)
    gate.entry = entry
    gate.queue.slots = entry.slots if entry else 0
    if entry is None or not is_usable(gate.world, entry):
        refusal = place_refusal(gate, None)
        refuse_waiting(gate, refusal or refused(Reason.NOT_READY))
        gate.suspected = True
        return
    terms = terms_of(gate)
    is_new = known is None or (known.target_id, known.born_ms) != (
        entry.target_id,
        entry.born_ms,
    )
    is_changed = known is None or entry.seen_at != known.seen_at
    if entry.cold_s and is_changed:
        per_s = terms.cold_per_s if terms else 1
        set_cold_rate(gate.queue, entry.seen_at + entry.cold_s, per_s)
        emit('target_cold', target=entry.target_id, left_s=entry.cold_s)
    if is_new:
        gate.queue.statistics.service_times.clear()
    if gate.suspected:
        suspect(gate)
    start_waiting(gate, now)


def suspect(gate: TargetGate) -> None:
    """Treat the target as cold until a probe tells otherwise."""
    gate.suspected = True
    terms = terms_of(gate)
    if terms is not None:
        now = gate.reactor.seconds()
        until = max(gate.queue.cold_until, now + terms.cold_s)
        set_cold_rate(gate.queue, until, terms.cold_per_s)
    check_target(gate)


def check_target(gate: TargetGate, least_s: float = 0) -> None:
    """Probe the target, unless a probe is under way or it has no slot free.

    Parameters
    ----------
    gate
        Of the target.
    least_s
        Seconds that must have passed since the last probe.
    """
    now = gate.reactor.seconds()
    has_slot = len(gate.queue.running) < gate.queue.slots
    if gate.is_probing or gate.entry is None or not has_slot:
        return
    if now < gate.probed_at + least_s:
        return
    gate.is_probing = True
    gate.probed_at = now
    Deferred.fromCoroutine(_probe(gate)).addErrback(
        lambda failure: emit('probe_bug', error=failure.getTraceback()),
    )


async def _probe(gate: TargetGate) -> None:
    terms = terms_of(gate)
    entry = gate.entry
    if terms is None or entry is None:
        gate.is_probing = False
        return
    now = gate.reactor.seconds()
    number = next(gate.numbers)
    mark = QueueEntry(number, '', '', 0, now, now + PROBE_LIMIT_S)
    gate.queue.running[number] = (mark, now)
    host = f'{entry.address[0]}:{entry.address[1]}'.encode()
    outgoing = Outgoing(
        b'GET',
        terms.health_path.encode(),
        [(b'Host', host)],
        b'',
    )
    wait = Wait(gate.reactor, send(gate.pool, outgoing))
    wait.end_at(now + PROBE_LIMIT_S)
    gate.metrics.probes.inc()
    try:
        sent = await wait.result()
    finally:
        gate.is_probing = False
        leave(gate, number)
    _on_probe(gate, sent, terms)


def _on_probe(
    gate: TargetGate,
    sent: Sent | None,
    terms: ServiceTerms,
) -> None:
    if sent is None or sent.is_error():
        emit('probe_failed', address=gate.address)
        return
    cold = value_of(sent.ok.headers, gate.dialect.cold_ms)
    now = gate.reactor.seconds()
    try:
        left = float(cold or 0) / SECOND_MS
    except ValueError:
        emit('probe_unreadable', cold=cold)
        return
    was_cold = now < gate.queue.cold_until
    if left or was_cold:
        emit('target_cold', left_s=left, status=sent.ok.status)
    gate.suspected = False
    set_cold_rate(gate.queue, now + left if left else 0, terms.cold_per_s)
    start_waiting(gate, now)
