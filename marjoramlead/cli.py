"""The command ``marjoramlead``, with which operators control the mesh."""

import json
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import wraps
from importlib.metadata import version
from pathlib import Path
from typing import Annotated, Final

from cyclopts import App, Parameter

from marjoramlead.documents import OPERATIONS
from marjoramlead.errors import (
    DocumentError,
    MarjoramleadError,
    NodeError,
    PublishError,
    SettingsError,
)
from marjoramlead.node_client import (
    fetch_refusal,
    fetch_sidecar_status,
    fetch_status,
)
from marjoramlead.platform.settings import load_sidecar_config
from marjoramlead.porcelain import (
    RolloutProgress,
    check_contract,
    check_routing,
    diff_contract,
    fetch_contract,
    follow_rollout,
    set_data_centre_out,
    submit,
)
from marjoramlead.rendering import (
    contract_lines,
    explanation_lines,
    progress_line,
    sidecar_lines,
    status_lines,
)
from marjoramlead.routing_check import FindingKind
from marjoramlead.verdict import Reason

__all__ = ('app', 'main')

EXIT_REFUSED: Final = 1
EXIT_NOT_IN_FORCE: Final = 3
EXIT_NO_RESPONSE: Final = 4
DEFAULT_NODE: Final = '127.0.0.1:8083'
DEFAULT_SIDECAR: Final = '127.0.0.1:9464'
DEFAULT_PUBLISHER: Final = 'http://127.0.0.1:7000'
DEFAULT_WAIT_LIMIT_S: Final = 30.0

app = App(
    name='marjoramlead',
    help=(
        'Submit contracts, take data centres out of service, bring them '
        'back, and show the configuration in force.\n\n'
        'Exit codes: 0 success; 1 refused, nothing was changed; '
        '3 published, but not in force on all nodes within the limit; '
        '4 no response from the node or the publisher.'
    ),
    version=lambda: version('marjoramlead'),
)


@dataclass(frozen=True)
class Publishing:
    """Options for publishing a change and following its rollout.

    Attributes
    ----------
    publisher
        Base URL of the publisher, the server that accepts changes.
    node
        Address and admin port of each node to poll with ``--wait``.
    wait
        Poll the nodes until the change is in force on all of them.
    limit
        Maximum time to wait, in seconds.
    """

    publisher: str = DEFAULT_PUBLISHER
    node: list[str] | None = None
    wait: bool = False
    limit: float = DEFAULT_WAIT_LIMIT_S


DEFAULT_PUBLISHING: Final = Publishing()


def _report_errors(command: Callable[..., int]) -> Callable[..., int]:
    @wraps(command)
    def run(*positional: object, **named: object) -> int:
        try:
            return command(*positional, **named)
        except MarjoramleadError as exc:
            sys.stderr.write(f'marjoramlead: {exc}\n')
            return EXIT_REFUSED if _is_refused_change(exc) else EXIT_NO_RESPONSE

    return run


def _is_refused_change(exc: MarjoramleadError) -> bool:
    if isinstance(exc, SettingsError):
        return True
    if isinstance(exc, PublishError):
        # Only the message distinguishes a conflict from a failed request.
        return 'overtaken' in str(exc)
    return isinstance(exc, DocumentError) and not isinstance(exc, NodeError)


@app.command
@_report_errors
def check(contract: Path) -> int:
    """Check a contract without publishing it.

    Parameters
    ----------
    contract
        Contract file, JSON with comments.
    """
    checked = check_contract(contract)
    sys.stdout.write(f'{contract}: {checked.name} is valid\n')
    return 0


@app.command(name='submit')
@_report_errors
def submit_contract(
    contract: Path,
    *,
    publishing: Annotated[Publishing, Parameter(name='*')] = DEFAULT_PUBLISHING,
) -> int:
    """Check a contract and publish it.

    Parameters
    ----------
    contract
        Contract file, JSON with comments.
    """
    checked = check_contract(contract)
    revision = submit(publishing.publisher, checked)
    sys.stdout.write(f'{checked.name} published at revision {revision}\n')
    return _report_rollout(publishing, checked.name, revision)


@app.command(name='take-out')
@_report_errors
def take_out(
    data_centre: str,
    *,
    publishing: Annotated[Publishing, Parameter(name='*')] = DEFAULT_PUBLISHING,
) -> int:
    """Take a data centre out of service: it gets no new requests.

    Parameters
    ----------
    data_centre
        Name of the data centre.
    """
    return _publish_data_centre_out(publishing, data_centre, out=True)


@app.command(name='bring-back')
@_report_errors
def bring_back(
    data_centre: str,
    *,
    publishing: Annotated[Publishing, Parameter(name='*')] = DEFAULT_PUBLISHING,
) -> int:
    """Bring a data centre back into service, with a slow start of its targets.

    Parameters
    ----------
    data_centre
        Name of the data centre.
    """
    return _publish_data_centre_out(publishing, data_centre, out=False)


@app.command
@_report_errors
def status(
    *,
    node: str = DEFAULT_NODE,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> int:
    """Show a node's documents in force, refused documents and targets.

    Parameters
    ----------
    node
        Address and admin port of the node.
    as_json
        Print JSON, for scripts.
    """
    node_status = fetch_status(node)
    return _print_result(
        node_status, status_lines(node_status), as_json=as_json
    )


@app.command
@_report_errors
def targets(
    *,
    node: str = DEFAULT_SIDECAR,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> int:
    """Show the state of a node beside a target, and all targets it knows.

    Parameters
    ----------
    node
        Address and metrics port of the node.
    as_json
        Print JSON, for scripts.
    """
    sidecar_status = fetch_sidecar_status(node)
    return _print_result(
        sidecar_status,
        sidecar_lines(sidecar_status),
        as_json=as_json,
    )


@app.command(name='check-settings')
@_report_errors
def check_settings(settings: Path) -> int:
    """Check the settings of a node beside a target.

    Parameters
    ----------
    settings
        Settings file, JSON with comments, as generated by the platform.
    """
    load_sidecar_config(settings)
    sys.stdout.write(f'{settings}: settings are valid\n')
    return 0


@app.command(name='check-routing')
@_report_errors
def check_routing_file(
    routing: Path, *, in_force: Path | None = None, store: str = ''
) -> int:
    """Check a routing configuration before it is written to the store.

    Prints errors, entries that are never used, limits that contradict each
    other, and what differs from the version in force. Exits with 1 if there
    is an error.

    Parameters
    ----------
    routing
        File with the configuration, as it would be written.
    in_force
        File with the version in force.
    store
        Address and port of the store, to read the version in force.
    """
    findings = check_routing(routing, in_force, store)
    _print_lines(f'{each.kind}: {each.where}: {each.text}' for each in findings)
    has_error = any(each.kind is FindingKind.ERROR for each in findings)
    if not has_error:
        sys.stdout.write(f'{routing}: can be sent\n')
    return EXIT_REFUSED if has_error else 0


@app.command
@_report_errors
def show(
    customer: str,
    *,
    node: str = DEFAULT_NODE,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> int:
    """Show the contract in force for a customer, with its limits.

    Parameters
    ----------
    customer
        Customer whose contract to show.
    node
        Address and admin port of a node.
    as_json
        Print JSON, for scripts.
    """
    contract = fetch_contract(node, customer)
    return _print_result(contract, contract_lines(contract), as_json=as_json)


@app.command
@_report_errors
def diff(contract: Path, *, node: str = DEFAULT_NODE) -> int:
    """Show the differences between the contract in force and a contract file.

    Parameters
    ----------
    contract
        Contract file, JSON with comments.
    node
        Address and admin port of a node.
    """
    return _print_lines(diff_contract(node, check_contract(contract)))


@app.command
@_report_errors
def explain(what: str, *, node: str = DEFAULT_NODE) -> int:
    """Explain a refusal, given its reason, its counter or its request id.

    Parameters
    ----------
    what
        Reason, counter or request id, such as ``overload`` or
        ``guard.refused.overload``.
    node
        Address and admin port of the node that refused the request; used
        with a request id only.
    """
    name = what.rpartition('.')[2]
    if name in set(Reason):
        return _print_lines(explanation_lines(Reason(name)))
    refused = fetch_refusal(node, what)
    if refused is None:
        raise NodeError(
            f'{what} is not a reason, and node {node} has not recently '
            'refused a request with this id; query the node that received '
            'the request',
        )
    tried = ', '.join(refused['tried']) or 'no host'
    sys.stdout.write(f'{what}: {refused["verdict"]}; tried {tried}\n')
    return _print_lines(explanation_lines(Reason(refused['reason'])))


def _publish_data_centre_out(
    publishing: Publishing,
    data_centre: str,
    *,
    out: bool,
) -> int:
    revision = set_data_centre_out(publishing.publisher, data_centre, out=out)
    new_state = 'out of service' if out else 'back in service'
    sys.stdout.write(f'{data_centre} is {new_state} at revision {revision}\n')
    return _report_rollout(publishing, OPERATIONS, revision)


def _print_result(
    content: object,
    lines: Iterable[str],
    *,
    as_json: bool,
) -> int:
    if as_json:
        sys.stdout.write(f'{json.dumps(content, indent=2)}\n')
        return 0
    return _print_lines(lines)


def _print_lines(lines: Iterable[str]) -> int:
    for line in lines:
        sys.stdout.write(f'{line}\n')
    return 0


def _report_rollout(publishing: Publishing, name: str, revision: int) -> int:
    if not publishing.wait:
        return 0
    nodes = publishing.node or [DEFAULT_NODE]
    deadline = time.monotonic() + publishing.limit
    last: RolloutProgress | None = None
    for progress in follow_rollout(nodes, name, revision, deadline):
        if progress != last:
            line = progress_line(progress, len(nodes))
            sys.stdout.write(f'{line}\n')
        last = progress
    if last is None or last.refused or last.behind:
        return EXIT_NOT_IN_FORCE
    return 0


def main() -> None:
    """Run the command with the arguments of the process."""
    sys.exit(app())


if __name__ == '__main__':
    main()
