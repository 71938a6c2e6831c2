"""HTTP responses held in memory, and refusals as problem documents."""

from http import HTTPStatus
from typing import Final, NamedTuple

import msgspec
from twisted.web.http_headers import Headers

from marjoramlead import headers as names
from marjoramlead.memory_budget import Hold
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'BufferedResponse',
    'json_response',
    'read_refusal',
    'refusal_response',
)

STATUS_BY_REASON: Final = {  # noqa: WPS407  # never mutated
    Reason.BODY_CUT: HTTPStatus.BAD_REQUEST,
    Reason.BODY_STALLED: HTTPStatus.REQUEST_TIMEOUT,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.DUPLICATE: HTTPStatus.CONFLICT,
    Reason.NO_CONTRACT: HTTPStatus.NOT_FOUND,
    Reason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.SILENT: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.TARGET_FAILED: HTTPStatus.BAD_GATEWAY,
}


class BufferedResponse(NamedTuple):
    """A complete HTTP response, held in memory.

    Attributes
    ----------
    hold
        Its bytes in the memory budget, until they are sent.
    """

    status: int
    headers: Headers
    body: bytes
    hold: Hold | None = None


def refusal_response(refusal: Refusal, request_id: str) -> BufferedResponse:
    """Build the response to a refused request.

    Its body is a problem document, which gives the reason, whether the
    request may have run and, if the refusal has one, the retry delay in
    seconds. Nodes read the same values from the headers.
    """
    status = STATUS_BY_REASON.get(
        refusal.reason,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    problem = {
        'title': status.phrase,
        'status': status.value,
        'reason': refusal.reason.value,
        'verdict': refusal.verdict.value,
        'request_id': request_id,
        'retry_after': refusal.retry_after,
    }
    response = json_response(status.value, problem)
    fields = response.headers
    fields.setRawHeaders(b'Content-Type', [b'application/problem+json'])
    fields.setRawHeaders(names.VERDICT, [refusal.verdict.encode()])
    fields.setRawHeaders(names.REASON, [refusal.reason.encode()])
    fields.setRawHeaders(names.REQUEST_ID, [request_id.encode()])
    if refusal.retry_after:
        delay_s = str(refusal.retry_after).encode()
        fields.setRawHeaders(names.RETRY_AFTER, [delay_s])
    return response


def read_refusal(fields: Headers) -> Refusal | None:
    """Read the refusal from the headers of a guard's response.

    Returns
    -------
    None if the response comes from the target, or its headers are invalid.
    """
    reason = fields.getRawHeaders(names.REASON)
    verdict = fields.getRawHeaders(names.VERDICT)
    if not reason or not verdict:
        return None
    raw_delays = fields.getRawHeaders(names.RETRY_AFTER) or [b'0']
    try:
        return Refusal(
            Reason(reason[0].decode()),
            Verdict(verdict[0].decode()),
            int(raw_delays[0]),
        )
    except ValueError:
        return None


def json_response(status: int, content: object) -> BufferedResponse:
    """Build a response with a JSON body."""
    body = msgspec.json.encode(content)
    return BufferedResponse(
        status,
        Headers({b'Content-Type': [b'application/json']}),
        body,
    )
