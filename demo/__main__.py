"""Run the demonstration and exit with 0 only if every check passed.

With ``--stay``, start a configured fleet instead and keep it running until it
is interrupted, so that operators can try the commands.
"""

import json
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path

from demo.calling import (
    call,
    fetch_target_stats,
    runs_by_key,
    slow_upload,
    total_runs,
)
from demo.fleet import (
    ADDRESS,
    Fleet,
    build_members,
    hosts_documents,
    running_fleet,
    start_node,
)
from demo.outcomes import CheckReport, wait_until
from marjoramlead.documents import OPERATIONS
from marjoramlead.node_client import fetch_status, publish
from marjoramlead.porcelain import (
    check_contract,
    follow_rollout,
    set_data_centre_out,
    submit,
)

DATA_CENTRES = ('tamworth', 'walsall', 'nuneaton', 'lichfield')
SERVICES = (
    ('te-puna-tatai', 'catalogue'),
    ('te-puna-tatai', 'publishing'),
    ('tamworth', 'kits'),
)
EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
IN_FORCE_TIMEOUT_S = 6.0
WORKBOOK_BYTES = 3_000_000
KEY_MEMORY_MS = 3000
UPLOAD_HEAD_START_S = 0.4


def check_in_force(
    fleet: Fleet, report: CheckReport, name: str, revision: int
) -> None:
    """Check that a revision is in force on all nodes, and report the time."""
    started_at = time.monotonic()
    nodes = [f'{ADDRESS}:{member.admin_port}' for member in fleet.members]
    progress = list(
        follow_rollout(nodes, name, revision, started_at + IN_FORCE_TIMEOUT_S),
    )[-1]
    elapsed_s = time.monotonic() - started_at
    report.record(
        f'{name} at revision {revision}: in force on '
        f'{progress.nodes_updated} of {len(nodes)} nodes in {elapsed_s:.1f} s',
        passed=not progress.behind,
    )


def publish_all(fleet: Fleet, report: CheckReport) -> None:
    """Publish the host lists and the example contracts."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    for name, text in hosts_documents(fleet.members).items():
        publish(publisher, name, text, 0)
    for example in ('te-puna-tatai', 'tamworth'):
        path = fleet.folder / f'{example}.json'
        path.write_text(example_text(example))
        checked = check_contract(path)
        check_in_force(fleet, report, checked.name, submit(publisher, checked))


def example_text(name: str) -> str:
    """Read an example contract, with a shorter key memory to save time."""
    text = (EXAMPLES / f'{name}.json').read_text()
    return text.replace(
        '"key_memory_ms": 30000', f'"key_memory_ms": {KEY_MEMORY_MS}'
    )


def check_browsing(fleet: Fleet, report: CheckReport, rounds: int) -> None:
    """Check that every node serves lookups of both customers."""
    statuses = Counter(
        call(member, 'GET', path).status
        for member in rounds * list(fleet.members)
        for path in ('/te-puna-tatai/catalogue', '/tamworth/kits')
    )
    report.record(
        f'browsing: {dict(statuses)} (calls by status)',
        passed=set(statuses) == {200},
    )


def check_publication(fleet: Fleet, report: CheckReport) -> None:
    """Check that a publication runs once if its key is sent again.

    Waits for the key memory first, because a replica of a key grants no claim
    until it has been a replica for that long.
    """
    path = '/te-puna-tatai/templates'
    key = 'template-7-version-2'
    time.sleep(KEY_MEMORY_MS / 1000)
    first = call(fleet.members[0], 'POST', path, b'v2', key)
    repeated = call(fleet.members[5], 'POST', path, b'v2', key)
    report.record(
        f'publication: {first.status} {first.verdict}',
        passed=first.status == 200,
    )
    report.record(
        f'same key at another node: {repeated.status} {repeated.verdict}',
        passed=(repeated.status, repeated.verdict) == (409, 'may_have_run'),
    )
    report.record(
        f'runs of the publication: {runs_by_key(fleet)[key]}',
        passed=runs_by_key(fleet)[key] == 1,
    )


def check_upload(fleet: Fleet, report: CheckReport) -> None:
    """Check an upload through a node whose target runs another service."""
    path = '/te-puna-tatai/workbooks/9'
    response = call(fleet.members[2], 'PUT', path, bytes(WORKBOOK_BYTES))
    received = json.loads(response.body).get('bytes')
    report.record(
        f'upload of {WORKBOOK_BYTES} bytes: {response.status}, '
        f'{received} bytes received',
        passed=received == WORKBOOK_BYTES,
    )


def check_drain_during_upload(fleet: Fleet, report: CheckReport) -> None:
    """Check that a node completes an upload before it stops."""
    member = fleet.members[2]
    node = fleet.processes[f'node-{member.host}']
    path = '/te-puna-tatai/workbooks/10'
    with ThreadPoolExecutor(1) as pool:
        uploading = pool.submit(slow_upload, member, path, WORKBOOK_BYTES)
        time.sleep(UPLOAD_HEAD_START_S)
        node.terminate()
        response = uploading.result()
    received = json.loads(response.body).get('bytes')
    report.record(
        f'upload through a stopping node: {response.status}, '
        f'{received} bytes received',
        passed=received == WORKBOOK_BYTES,
    )
    exit_code = node.wait(IN_FORCE_TIMEOUT_S)
    report.record(f'the node exited with {exit_code}', passed=exit_code == 0)
    start_node(fleet, member)


def check_contract_change(fleet: Fleet, report: CheckReport) -> None:
    """Check that a valid change takes effect and an invalid one is refused."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    text = example_text('tamworth')
    path = fleet.folder / 'changed.json'
    path.write_text(text.replace('"queue": 20', '"queue": 25'))
    checked = check_contract(path)
    revision = submit(publisher, checked)
    check_in_force(fleet, report, checked.name, revision)
    invalid = text.replace(
        '"look-up", "service": "kits"', '"x", "service": "x"'
    )
    invalid_revision = publish(publisher, checked.name, invalid, revision)
    check_refusal(fleet, report, checked.name, revision)
    restored = publish(publisher, checked.name, checked.text, invalid_revision)
    check_in_force(fleet, report, checked.name, restored)


def check_refusal(
    fleet: Fleet,
    report: CheckReport,
    name: str,
    revision: int,
) -> None:
    """Check that all nodes refuse the next revision and keep this one."""
    nodes = [f'{ADDRESS}:{member.admin_port}' for member in fleet.members]
    refused = wait_until(
        lambda: all(_refuses_revision(node, revision + 1) for node in nodes),
        IN_FORCE_TIMEOUT_S,
    )
    report.record(
        f'invalid contract at revision {revision + 1}: refused by all nodes',
        passed=refused,
    )
    kept = all(_has_in_force(node, name, revision) for node in nodes)
    report.record(f'revision {revision} stays in force', passed=kept)


def _refuses_revision(node: str, revision: int) -> bool:
    refused = fetch_status(node)['refused']
    return any(each['revision'] == revision for each in refused)


def _has_in_force(node: str, name: str, revision: int) -> bool:
    documents = fetch_status(node)['documents']
    return any(
        (each['name'], each['revision']) == (name, revision)
        for each in documents
    )


def check_data_centre_out(fleet: Fleet, report: CheckReport) -> None:
    """Check that a data centre receives no requests while it is out."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    name = DATA_CENTRES[0]
    local_members = [each for each in fleet.members if each.data_centre == name]
    check_in_force(
        fleet,
        report,
        OPERATIONS,
        set_data_centre_out(publisher, name, out=True),
    )
    runs_before = total_runs(local_members)
    check_browsing(fleet, report, 2)
    report.record(
        f'{name} is out: '
        f'{total_runs(local_members) - runs_before} new requests',
        passed=total_runs(local_members) == runs_before,
    )
    check_in_force(
        fleet,
        report,
        OPERATIONS,
        set_data_centre_out(publisher, name, out=False),
    )
    check_browsing(fleet, report, 2)
    report.record(
        f'{name} is back: '
        f'{total_runs(local_members) - runs_before} new requests',
        passed=total_runs(local_members) > runs_before,
    )


def print_documents(fleet: Fleet) -> None:
    """Print the documents in force on each node, except host lists."""
    for member in fleet.members:
        status = fetch_status(f'{ADDRESS}:{member.admin_port}')
        documents = ', '.join(
            f'{each["name"]}@{each["revision"]}'
            for each in status['documents']
            if not each['name'].startswith('hosts/')
        )
        sys.stdout.write(f'       {status["host"]}: {documents}\n')


def run_checks(fleet: Fleet, report: CheckReport) -> None:
    """Run all checks against a fleet that has just been started."""
    nodes = [f'{ADDRESS}:{member.admin_port}' for member in fleet.members]
    all_up = wait_until(lambda: all(map(fetch_status, nodes)))
    report.record(f'{len(nodes)} nodes are up', passed=all_up)
    publish_all(fleet, report)
    check_browsing(fleet, report, 3)
    check_publication(fleet, report)
    check_upload(fleet, report)
    check_drain_during_upload(fleet, report)
    check_contract_change(fleet, report)
    check_data_centre_out(fleet, report)
    print_documents(fleet)
    overloads = sum(
        fetch_target_stats(each)['collapses'] for each in fleet.members
    )
    report.record(
        f'{overloads} requests overloaded a target', passed=not overloads
    )
    keys_with_duplicate_runs = [
        key for key, count in runs_by_key(fleet).items() if count > 1
    ]
    report.record(
        f'{len(keys_with_duplicate_runs)} requests ran twice',
        passed=not keys_with_duplicate_runs,
    )


def run_checks_on_fleet(
    report: CheckReport,
) -> Sequence['subprocess.Popen[bytes]']:
    """Run all checks on a temporary fleet, and return its ended processes."""
    members = build_members(DATA_CENTRES, SERVICES)
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), members) as fleet,
    ):
        run_checks(fleet, report)
        return list(fleet.processes.values())


def keep_running(report: CheckReport) -> None:
    """Run a fleet with both contracts until the process is interrupted."""
    members = build_members(DATA_CENTRES, SERVICES)
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), members) as fleet,
    ):
        nodes = [f'{ADDRESS}:{member.admin_port}' for member in members]
        wait_until(lambda: all(map(fetch_status, nodes)))
        publish_all(fleet, report)
        sys.stdout.write(f'publisher  http://{ADDRESS}:{fleet.source_port}\n')
        for member in members:
            sys.stdout.write(
                f'{member.host:20} admin {ADDRESS}:{member.admin_port}  '
                f'gateway http://{ADDRESS}:{member.gateway_port}\n',
            )
        sys.stdout.write('Stop with Ctrl-C.\n')
        sys.stdout.flush()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(signal_number, signal.default_int_handler)
        with suppress(KeyboardInterrupt):
            signal.pause()


def main() -> int:
    """Run all checks and return the exit code."""
    if '--stay' in sys.argv:
        keep_running(CheckReport())
        return 0
    report = CheckReport()
    processes = run_checks_on_fleet(report)
    running = sum(process.poll() is None for process in processes)
    report.record(f'{running} processes still running', passed=not running)
    sys.stdout.write(f'{report.failure_count} checks failed\n')
    return min(report.failure_count, 1)


if __name__ == '__main__':
    sys.exit(main())
