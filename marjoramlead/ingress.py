"""Take the requests of this host's clients and of its target."""

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Final, NamedTuple

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from marjoramlead.bodies import BodyStream
from marjoramlead.body_reader import collect_body
from marjoramlead.dialect import Dialect
from marjoramlead.dispatch import Dispatcher, Request, dispatch
from marjoramlead.events import emit
from marjoramlead.headers import HOP_BY_HOP, is_own
from marjoramlead.http_server import StreamRequest
from marjoramlead.ledger import Outcome
from marjoramlead.problems import Answer
from marjoramlead.refusals import RecentRefusals, note_refused
from marjoramlead.repeat_budget import note_request
from marjoramlead.replies import answer_of
from marjoramlead.routes import Route, SplitState, choose_part, find_route
from marjoramlead.target_queue import retry_share
from marjoramlead.upstream import Fields, Reply
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('Ingress', 'Stop', 'handle_request')

SECOND_MS: Final = 1000
# Wait granted to a request that does not say how long it waits.
DEFAULT_WAIT_S: Final = 30.0
# Bytes of request bodies held at once; more are refused before they are read.
MAX_HELD_BYTES: Final = 48_000_000
# A routing table older than this may lack a route that others have by now:
# then an unknown route is refused for the moment, not denied.
TABLE_AGE_S: Final = 6.0
# A refused client is asked to use no more than this share of what it has
# left; it would not wait longer.
RETRY_SHARE: Final = 0.33

STATUSES: Final = {  # noqa: WPS407  # a table that nothing changes
    Reason.BODY_CUT: HTTPStatus.BAD_REQUEST,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.NO_ROUTE: HTTPStatus.NOT_FOUND,
}


class Stop(NamedTuple):
    """When a node that was told to stop will do so.

    Attributes
    ----------
    takes_until
        Until when requests are taken.
    ends_at
        When the node ends at the latest.
    """

    takes_until: float
    ends_at: float


@dataclass(slots=True)
class Ingress:
    """State of the way in.

    Attributes
    ----------
    stop
        Set once the node was told to stop.
    in_flight
        Requests that have no final answer yet.
    held_bytes
        Bytes of bodies that are held for them.
    """

    dispatcher: Dispatcher
    dialect: Dialect
    split: SplitState
    in_flight: int = 0
    held_bytes: int = 0
    stop: Stop | None = None
    refused: RecentRefusals = field(default_factory=RecentRefusals)


@dataclass(slots=True)
class _Arrival:
    """A request that is being served; the route is found first."""

    request_id: str
    began: float
    route: Route | None = None
    service: str = ''
    deadline: float = 0
    version: int = 0


def handle_request(ingress: Ingress, req: StreamRequest) -> None:
    """Serve one request to its final answer; never raises."""
    now = ingress.dispatcher.reactor.seconds()
    ingress.in_flight += 1
    arrival = _Arrival(_header(req, ingress.dialect.request_id), now)
    served = Deferred.fromCoroutine(_serve(ingress, req, arrival))
    req.notifyFinish().addErrback(lambda _gone: served.cancel())
    served.addCallbacks(
        lambda outcome: _answer(ingress, req, arrival, outcome),
        lambda failure: _on_failure(ingress, req, arrival, failure),
    )
    served.addErrback(lambda failure: emit('bug', error=str(failure)))


async def _serve(
    ingress: Ingress,
    req: StreamRequest,
    arrival: _Arrival,
) -> Outcome:
    refusal = _match(ingress, req, arrival)
    if refusal is not None:
        return refusal
    body = await _read_body(ingress, req)
    if isinstance(body, Refusal):
        return body
    ingress.held_bytes += len(body)
    try:
        return await _dispatch(ingress, req, arrival, body)
    finally:
        ingress.held_bytes -= len(body)


def _match(
    ingress: Ingress,
    req: StreamRequest,
    arrival: _Arrival,
) -> Refusal | None:
    world = ingress.dispatcher.world
    if world.table is None:
        return Refusal(Reason.NOT_READY, Verdict.NOT_RUN)
    arrival.version = world.table.version
    host = _header(req, b'host').partition(':')[0]
    path = req.uri.decode('latin-1').partition('?')[0]
    route = find_route(world.table, host, path)
    if route is None:
        age = arrival.began - world.confirmed_at
        reason = Reason.NO_ROUTE if age < TABLE_AGE_S else Reason.NOT_READY
        return Refusal(reason, Verdict.NOT_RUN, 0)
    arrival.route = route
    arrival.service = choose_part(ingress.split, route)
    wait = _wait_s(req, ingress.dialect.wait_ms)
    arrival.deadline = arrival.began + min(wait, route.timeout)
    return _stop_refusal(ingress, arrival)


def _stop_refusal(ingress: Ingress, arrival: _Arrival) -> Refusal | None:
    """Refuse what comes after clients were told to stay away."""
    stop = ingress.stop
    if stop is None:
        return None
    if arrival.began > stop.takes_until:
        return Refusal(Reason.DRAINING, Verdict.NOT_RUN)
    arrival.deadline = min(arrival.deadline, stop.ends_at)
    return None


async def _read_body(ingress: Ingress, req: StreamRequest) -> bytes | Refusal:
    body = req.body
    if not isinstance(body, BodyStream):
        return b''
    table = ingress.dispatcher.world.table
    limit = table.limits.body_bytes if table else 0
    length = body.length if isinstance(body.length, int) else 0
    if length > limit:
        return Refusal(Reason.BODY_TOO_LARGE, Verdict.NOT_RUN, 0)
    if ingress.held_bytes + length > MAX_HELD_BYTES:
        return Refusal(Reason.GATEWAY_FULL, Verdict.NOT_RUN)
    req.send_continue()
    collected = await collect_body(body, limit)
    return collected if isinstance(collected, Refusal) else collected.content


async def _dispatch(
    ingress: Ingress,
    req: StreamRequest,
    arrival: _Arrival,
    body: bytes,
) -> Outcome:
    dispatcher = ingress.dispatcher
    route = arrival.route
    if route is None:  # _match has found one
        raise AssertionError
    note_request(
        dispatcher.budget,
        arrival.service,
        arrival.began,
        retry_share(dispatcher.gate.queue),
    )
    request = Request(
        request_id=arrival.request_id,
        route=route,
        service=arrival.service,
        deadline=arrival.deadline,
        aim_at=min(arrival.began + route.aim, arrival.deadline),
        method=req.method,
        uri=req.uri,
        headers=_passed_on(ingress.dialect, req),
        body=body,
    )
    return await dispatch(dispatcher, request)


def _passed_on(dialect: Dialect, req: StreamRequest) -> Fields:
    """Headers meant for the target, less those that the system sets."""
    dropped = {
        *HOP_BY_HOP - {b'host'},
        dialect.wait_ms,
        dialect.expected_target,
        dialect.caller_service,
        *_named_by_connection(req),
    }
    return [
        (name, raw)
        for name, values in req.requestHeaders.getAllRawHeaders()
        for raw in values
        if name.lower() not in dropped and not _is_between_nodes(name, dialect)
    ]


def _is_between_nodes(name: bytes, dialect: Dialect) -> bool:
    return is_own(name) and name.lower() != dialect.request_id


def _named_by_connection(req: StreamRequest) -> set[bytes]:
    raw = _header(req, b'connection')
    return {word.strip().lower().encode('latin-1') for word in raw.split(',')}


def _answer(
    ingress: Ingress,
    req: StreamRequest,
    arrival: _Arrival,
    outcome: Outcome,
) -> None:
    ingress.in_flight -= 1
    if isinstance(outcome, Reply):
        answer = answer_of(outcome)
        _note_end(ingress, arrival, 'answered', str(outcome.status))
    else:
        answer = _refusal_answer(ingress, arrival, outcome)
        note_refused(ingress.refused, arrival.request_id, outcome, ())
        _note_end(
            ingress,
            arrival,
            str(answer.status),
            outcome.reason.value,
            outcome.retry_after,
        )
    if ingress.stop is None:
        req.answer(answer)
    else:
        req.answer_last(answer)


def _refusal_answer(
    ingress: Ingress,
    arrival: _Arrival,
    refusal: Refusal,
) -> Answer:
    status = _status_of(refusal)
    fields = Headers({b'X-Marjoram-Reason': [refusal.reason.encode()]})
    if arrival.request_id:
        raw = arrival.request_id.encode('latin-1')
        fields.setRawHeaders(ingress.dialect.request_id, [raw])
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        now = ingress.dispatcher.reactor.seconds()
        left = max(0, arrival.deadline - now)
        after = min(refusal.retry_after, left * RETRY_SHARE)
        if after > 0 or not arrival.deadline:
            shown = after or refusal.retry_after
            fields.setRawHeaders(b'Retry-After', [f'{shown:.3f}'.encode()])
    return Answer(status, fields, b'')


def _status_of(refusal: Refusal) -> HTTPStatus:
    if refusal.verdict is Verdict.NOT_RUN:
        return STATUSES.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    if refusal.reason in {Reason.TIMEOUT, Reason.SILENT}:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY


def _on_failure(
    ingress: Ingress,
    req: StreamRequest,
    arrival: _Arrival,
    failure: Failure,
) -> None:
    if failure.check(CancelledError):
        ingress.in_flight -= 1
        _note_end(ingress, arrival, 'left', Reason.CALLER_GONE.value)
        return
    emit('bug', request_id=arrival.request_id, error=failure.getTraceback())
    refusal = Refusal(Reason.TARGET_FAILED, Verdict.MAY_HAVE_RUN, 0)
    _answer(ingress, req, arrival, refusal)


def _note_end(
    ingress: Ingress,
    arrival: _Arrival,
    outcome: str,
    reason: str,
    retry_after: float = 0,
) -> None:
    dispatcher = ingress.dispatcher
    took = dispatcher.reactor.seconds() - arrival.began
    metrics = dispatcher.metrics
    metrics.requests.labels(arrival.service, outcome, reason).inc()
    metrics.latency.labels(arrival.service).observe(took)
    emit(
        'request',
        request_id=arrival.request_id,
        route=arrival.route.name if arrival.route else '',
        service=arrival.service,
        outcome=outcome,
        reason=reason,
        retry_after=retry_after,
        took_ms=round(took * SECOND_MS, 1),
        version=arrival.version,
        news_age_ms=round(
            min(arrival.began - dispatcher.world.confirmed_at, 1000)
            * SECOND_MS,
        ),
    )


def _header(req: StreamRequest, name: bytes) -> str:
    raw = req.requestHeaders.getRawHeaders(name)
    return raw[0].decode('latin-1') if raw else ''


def _wait_s(req: StreamRequest, name: bytes) -> float:
    raw = _header(req, name)
    try:
        return float(raw) / SECOND_MS if raw else DEFAULT_WAIT_S
    except ValueError:
        emit('bad_wait', value=raw)
        return DEFAULT_WAIT_S
