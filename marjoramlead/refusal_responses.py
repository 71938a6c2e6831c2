"""The response that a client gets when its request is refused or has failed."""

from http import HTTPStatus
from typing import Final

from twisted.web.http_headers import Headers

from marjoramlead.problems import BufferedResponse
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = ('build_refusal_response',)

RETRIED_STATUSES: Final = (
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.TOO_MANY_REQUESTS,
)

STATUS_BY_REASON: Final = {  # noqa: WPS407  # never modified
    Reason.BODY_CUT: HTTPStatus.BAD_REQUEST,
    Reason.BODY_STALLED: HTTPStatus.REQUEST_TIMEOUT,
    Reason.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.NO_ACCOUNT: HTTPStatus.UNAUTHORIZED,
    Reason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.QUOTA: HTTPStatus.TOO_MANY_REQUESTS,
}


def build_refusal_response(
    refusal: Refusal, request_id_header: bytes, request_id: str
) -> BufferedResponse:
    """Return the response to a request that was refused or has failed.

    Parameters
    ----------
    refusal
        Why there is no answer of a target.
    request_id_header, request_id
        Header that names the request, and its id; empty if it has none.
    """
    status = _status_of(refusal)
    fields = Headers({b'X-Marjoram-Reason': [refusal.reason.encode()]})
    if request_id:
        raw = request_id.encode('latin-1')
        fields.setRawHeaders(request_id_header, [raw])
    if status == HTTPStatus.UNAUTHORIZED:
        fields.setRawHeaders(b'WWW-Authenticate', [b'Bearer'])
    if status in RETRIED_STATUSES and refusal.retry_after:
        retry_after = f'{refusal.retry_after:.3f}'
        fields.setRawHeaders(b'Retry-After', [retry_after.encode()])
    return BufferedResponse(status, fields, b'')


def _status_of(refusal: Refusal) -> HTTPStatus:
    if refusal.verdict is Verdict.NOT_RUN:
        return STATUS_BY_REASON.get(
            refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE
        )
    if refusal.reason in {Reason.TIMEOUT, Reason.SILENT}:
        return HTTPStatus.GATEWAY_TIMEOUT
    return HTTPStatus.BAD_GATEWAY
