"""Answer operators at a node's admin port."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final
from urllib.parse import unquote

from marjoramlead.http_server import StreamRequest
from marjoramlead.problems import json_answer
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
    """Answer one question.

    Parameters
    ----------
    req
        For ``/status``, ``/documents/NAME`` or ``/refusals/REQUEST-ID``.
    status
        Describes the node.
    store
        What it has in force.
    refusal_of
        Finds a call that was refused of late.
    """
    path = unquote(req.uri.decode('latin-1'))
    found: object = None
    if path == '/status':
        found = build_status()
    elif path.startswith(DOCUMENT_PREFIX):
        found = _find_document(store, path.removeprefix(DOCUMENT_PREFIX))
    elif path.startswith(REFUSAL_PREFIX):
        found = find_refusal(path.removeprefix(REFUSAL_PREFIX))
    if found is None:
        missing = {'error': f'nothing is known of {path}'}
        req.answer(json_answer(HTTPStatus.NOT_FOUND, missing))
    else:
        req.answer(json_answer(HTTPStatus.OK, found))


def _find_document(store: VersionStore, name: str) -> DocumentText | None:
    held = store.in_force.get(name)
    if held is None or not held.text:
        return None
    return {'name': name, 'revision': held.revision, 'text': held.text}
