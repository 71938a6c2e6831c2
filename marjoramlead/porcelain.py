"""What operators do, as plain functions; the command line only calls these."""

import json
import time
from collections.abc import Callable, Iterator, Sequence
from difflib import unified_diff
from pathlib import Path
from typing import Final, NamedTuple, cast

from expression import Error, Result

from marjoramlead.documents import (
    CONTRACTS,
    OPERATIONS,
    check_document,
    parse_json_object,
)
from marjoramlead.errors import DocumentError, Fault, NodeError
from marjoramlead.generated.contract_types import ContractDocument
from marjoramlead.node_client import (
    fetch_document,
    fetch_status,
    publish,
    published,
)
from marjoramlead.parsing import read_text
from marjoramlead.reports import DocumentStatus, NodeStatus

__all__ = (
    'CheckedContract',
    'RolloutProgress',
    'check_contract',
    'diff_contract',
    'fetch_contract',
    'find_document',
    'follow_rollout',
    'set_data_centre_out',
    'submit',
)

POLL_INTERVAL_S: Final = 0.2


class CheckedContract(NamedTuple):
    """A contract that passed the check."""

    name: str
    text: str


class RolloutProgress(NamedTuple):
    """How far a revision is in force.

    Attributes
    ----------
    done
        Nodes that have it, or a newer one, in force.
    behind
        Nodes that do not yet, by data centre and host.
    refused
        Reasons of nodes that refused it.
    overtaken
        The newer revision of the document that is in force instead, or 0.
    """

    nodes_updated: int
    behind: Sequence[str]
    refused: Sequence[str]
    superseded_by: int


def check_contract(path: Path) -> CheckedContract:
    """Check a contract file.

    Raises
    ------
    DocumentError
        Names the file, the path within it and the reason.
    """
    checked = read_text(path).bind(_check_text)
    if checked.is_error():
        raise DocumentError(f'{path}: {checked.error}')
    return checked.ok


def submit(publisher: str, contract: CheckedContract) -> int:
    """Hand a checked contract to the place that operators publish to.

    Returns
    -------
    The revision that it got; the one that it already had if nothing changes.

    Raises
    ------
    PublishError
        If another operator's change came first.
    """
    held = published(publisher, contract.name)
    if held['text'] == contract.text:
        return held['revision']
    return publish(publisher, contract.name, contract.text, held['revision'])


def set_data_centre_out(publisher: str, data_centre: str, *, out: bool) -> int:
    """Take a data centre out, or bring it back.

    Returns
    -------
    The revision under which that is published.

    Raises
    ------
    PublishError
        If another operator's change came first.
    """
    held = published(publisher, OPERATIONS)
    parsed = parse_json_object(held['text'] or '{"out": []}')
    if parsed.is_error():
        raise DocumentError(f'{OPERATIONS}: {parsed.error}')
    current = set(_list_of_names(parsed.ok.get('out')))
    wanted = current | {data_centre} if out else current - {data_centre}
    if wanted == current and held['revision']:
        return held['revision']
    text = json.dumps({'out': sorted(wanted)})
    return publish(publisher, OPERATIONS, text, held['revision'])


def fetch_contract(node: str, customer: str) -> ContractDocument:
    """Read a customer's contract as it is in force on a node.

    Raises
    ------
    NodeError
        If the node does not answer, or has none.
    """
    held = fetch_document(node, f'{CONTRACTS}{customer}')
    parsed = parse_json_object(held['text'] if held else '')
    if parsed.is_error():
        raise NodeError(f'node {node} has no contract of {customer} in force')
    return cast(ContractDocument, parsed.ok)


def diff_contract(node: str, contract: CheckedContract) -> list[str]:
    """List what a contract would change against what is in force.

    Returns
    -------
    Lines of a unified diff; none if nothing would change.
    """
    held = fetch_document(node, contract.name)
    before = _indented_lines(held['text'] if held else '{}')
    after = _indented_lines(contract.text)
    revision = held['revision'] if held else 0
    return list(
        unified_diff(
            before,
            after,
            f'in force, revision {revision}',
            'submitted',
            lineterm='',
        ),
    )


def find_document(status: NodeStatus, name: str) -> DocumentStatus | None:
    """Find one document among those that a node has in force."""
    return next(
        (each for each in status['documents'] if each['name'] == name),
        None,
    )


def follow_rollout(
    nodes: Sequence[str],
    name: str,
    revision: int,
    deadline: float,
    sleep: Callable[[float], None] = time.sleep,
) -> Iterator[RolloutProgress]:
    """Follow a revision until it is in force everywhere.

    Parameters
    ----------
    nodes
        Admin ports to ask.
    name
        Of the document.
    revision
        That was published.
    deadline
        On the monotonic clock; the last progress may then be incomplete.
    sleep
        Waits between looks.
    """
    while True:  # noqa: WPS457  # ends at the deadline
        progress = _fetch_progress(nodes, name, revision)
        yield progress
        if not progress.behind or progress.refused:
            return
        if time.monotonic() >= deadline:
            return
        sleep(POLL_INTERVAL_S)


def _check_text(text: str) -> Result[CheckedContract, Fault]:
    parsed = parse_json_object(text)
    if parsed.is_error():
        return Error(parsed.error)
    name = f'{CONTRACTS}{parsed.ok.get("customer", "")}'
    return check_document(name, text).map(
        lambda _parsed: CheckedContract(name, text)
    )


def _fetch_progress(
    nodes: Sequence[str], name: str, revision: int
) -> RolloutProgress:
    behind: list[str] = []
    refused: list[str] = []
    newest = 0
    for node in nodes:
        try:
            status = fetch_status(node)
        except NodeError as exc:
            behind.append(str(exc))
            continue
        place = f'{status["data_centre"]}/{status["host"]}'
        held = find_document(status, name)
        at = held['revision'] if held else 0
        newest = max(newest, at)
        if at < revision:
            behind.append(place)
        refused.extend(
            f'{place}: {each["reason"]}'
            for each in status['refused']
            if (each['name'], each['revision']) == (name, revision)
        )
    return RolloutProgress(
        nodes_updated=len(nodes) - len(behind),
        behind=behind,
        refused=refused,
        superseded_by=newest if newest > revision else 0,
    )


def _indented_lines(text: str) -> list[str]:
    parsed = parse_json_object(text).default_value({})
    return json.dumps(parsed, indent=1).splitlines()


def _list_of_names(listed: object) -> list[str]:
    return [str(each) for each in listed] if isinstance(listed, list) else []
