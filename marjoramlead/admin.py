"""Serve a node's status and documents to operators at its admin port."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final
from urllib.parse import unquote

from marjoramlead.http_server import StreamRequest
from marjoramlead.problems import json_response
from marjoramlead.reports import DocumentText, NodeStatus, RefusedCall
from marjoramlead.versions import VersionStore

__all__ = ('handle_admin',)

DOCUMENT_PREFIX: Final = '/documents/'
REFUSAL_PREFIX: Final = '/refusals/'


def handle_admin(
    req: StreamRequest,
    build_status: Callable[[], NodeStatus],
    store: VersionStore,
    find_refusal: Callable[[str], RefusedCall | None],
) -> None:
    """Handle one request at the admin port.

    Parameters
    ----------
    req
        Request for ``/status``, ``/documents/NAME`` or
        ``/refusals/REQUEST-ID``.
    build_status
        Returns the status of the node.
    store
        Documents that the node has in force.
    find_refusal
        Returns a recently refused request by its id.
    """
    path = unquote(req.uri.decode('latin-1'))
    document: object = None
    if path == '/status':
        document = build_status()
    elif path.startswith(DOCUMENT_PREFIX):
        document = _find_document(store, path.removeprefix(DOCUMENT_PREFIX))
    elif path.startswith(REFUSAL_PREFIX):
        document = find_refusal(path.removeprefix(REFUSAL_PREFIX))
    if document is None:
        error_body = {'error': f'{path} was not found'}
        req.send_response(json_response(HTTPStatus.NOT_FOUND, error_body))
    else:
        req.send_response(json_response(HTTPStatus.OK, document))


def _find_document(store: VersionStore, name: str) -> DocumentText | None:
    version = store.in_force.get(name)
    if version is None or not version.text:
        return None
    return {'name': name, 'revision': version.revision, 'text': version.text}
