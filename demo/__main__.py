"""Run the demonstration; exit 0 only if every stated outcome held.

With ``--stay`` the fleet runs on for operators to try the commands.
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
    set_out,
    submit,
    wait_in_force,
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
    """State within what time a revision was in force on all nodes."""
    began = time.monotonic()
    nodes = [f'{ADDRESS}:{member.admin_port}' for member in fleet.members]
    progress = list(
        wait_in_force(nodes, name, revision, began + IN_FORCE_TIMEOUT_S),
    )[-1]
    taken = time.monotonic() - began
    report.record(
        f'{name} at revision {revision}: in force on {progress.done} of '
        f'{len(nodes)} nodes in {taken:.1f} s',
        passed=not progress.behind,
    )


def publish_all(fleet: Fleet, report: CheckReport) -> None:
    """Publish host lists and contracts."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    for name, text in hosts_documents(fleet.members).items():
        publish(publisher, name, text, 0)
    for example in ('te-puna-tatai', 'tamworth'):
        path = fleet.folder / f'{example}.json'
        path.write_text(example_text(example))
        checked = check_contract(path)
        check_in_force(fleet, report, checked.name, submit(publisher, checked))


def example_text(name: str) -> str:
    """Read an example; its keys are remembered for a shorter time here."""
    text = (EXAMPLES / f'{name}.json').read_text()
    return text.replace(
        '"key_memory_ms": 30000', f'"key_memory_ms": {KEY_MEMORY_MS}'
    )


def check_browsing(fleet: Fleet, report: CheckReport, calls: int) -> None:
    """Browse both catalogues through all nodes."""
    ended = Counter(
        call(member, 'GET', path).status
        for member in calls * list(fleet.members)
        for path in ('/te-puna-tatai/catalogue', '/tamworth/kits')
    )
    report.record(
        f'browsing: {dict(ended)} (status: calls)',
        passed=set(ended) == {200},
    )


def check_publication(fleet: Fleet, report: CheckReport) -> None:
    """Publish a template, then ask again with the same key elsewhere."""
    path = '/te-puna-tatai/templates'
    key = 'template-7-version-2'
    time.sleep(KEY_MEMORY_MS / 1000)
    first = call(fleet.members[0], 'POST', path, b'v2', key)
    again = call(fleet.members[5], 'POST', path, b'v2', key)
    report.record(
        f'publication: {first.status} {first.verdict}',
        passed=first.status == 200,
    )
    report.record(
        f'same key at another node: {again.status} {again.verdict}',
        passed=(again.status, again.verdict) == (409, 'may_have_run'),
    )
    report.record(
        f'publication ran {runs_by_key(fleet)[key]} time',
        passed=runs_by_key(fleet)[key] == 1,
    )


def check_upload(fleet: Fleet, report: CheckReport) -> None:
    """Upload a workbook through a node of another service."""
    path = '/te-puna-tatai/workbooks/9'
    ended = call(fleet.members[2], 'PUT', path, bytes(WORKBOOK_BYTES))
    received = json.loads(ended.body).get('bytes')
    report.record(
        f'workbook of {WORKBOOK_BYTES} bytes: {ended.status}, '
        f'{received} bytes arrived',
        passed=received == WORKBOOK_BYTES,
    )


def check_drain_during_upload(fleet: Fleet, report: CheckReport) -> None:
    """Stop a node in the middle of an upload that goes through it."""
    member = fleet.members[2]
    node = fleet.processes[f'node-{member.host}']
    path = '/te-puna-tatai/workbooks/10'
    with ThreadPoolExecutor(1) as pool:
        uploading = pool.submit(slow_upload, member, path, WORKBOOK_BYTES)
        time.sleep(UPLOAD_HEAD_START_S)
        node.terminate()
        ended = uploading.result()
    received = json.loads(ended.body).get('bytes')
    report.record(
        f'upload through a node that was told to stop: {ended.status}, '
        f'{received} bytes arrived',
        passed=received == WORKBOOK_BYTES,
    )
    code = node.wait(IN_FORCE_TIMEOUT_S)
    report.record(f'that node ended with {code}', passed=code == 0)
    start_node(fleet, member)


def check_contract_change(fleet: Fleet, report: CheckReport) -> None:
    """Publish a change, then a contract that must be refused, then mend it."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    text = example_text('tamworth')
    changed = fleet.folder / 'changed.json'
    changed.write_text(text.replace('"queue": 20', '"queue": 25'))
    checked = check_contract(changed)
    revision = submit(publisher, checked)
    check_in_force(fleet, report, checked.name, revision)
    bad = text.replace('"look-up", "service": "kits"', '"x", "service": "x"')
    bad_revision = publish(publisher, checked.name, bad, revision)
    check_refusal(fleet, report, checked.name, revision)
    mended = publish(publisher, checked.name, checked.text, bad_revision)
    check_in_force(fleet, report, checked.name, mended)


def check_refusal(
    fleet: Fleet,
    report: CheckReport,
    name: str,
    revision: int,
) -> None:
    """State that the revision after this one is refused everywhere."""
    nodes = [f'{ADDRESS}:{member.admin_port}' for member in fleet.members]
    refused = wait_until(
        lambda: all(_refuses_revision(node, revision + 1) for node in nodes),
        IN_FORCE_TIMEOUT_S,
    )
    report.record(
        f'bad contract at revision {revision + 1}: refused on all nodes',
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
    """Take a data centre out, call, and bring it back."""
    publisher = f'http://{ADDRESS}:{fleet.source_port}'
    name = DATA_CENTRES[0]
    inside = [each for each in fleet.members if each.data_centre == name]
    check_in_force(
        fleet, report, OPERATIONS, set_out(publisher, name, out=True)
    )
    before = total_runs(inside)
    check_browsing(fleet, report, 2)
    report.record(
        f'{name} is out: {total_runs(inside) - before} new requests there',
        passed=total_runs(inside) == before,
    )
    check_in_force(
        fleet, report, OPERATIONS, set_out(publisher, name, out=False)
    )
    check_browsing(fleet, report, 2)
    report.record(
        f'{name} is back: {total_runs(inside) - before} new requests there',
        passed=total_runs(inside) > before,
    )


def print_documents(fleet: Fleet) -> None:
    """Print what each node says is in force."""
    for member in fleet.members:
        status = fetch_status(f'{ADDRESS}:{member.admin_port}')
        held = ', '.join(
            f'{each["name"]}@{each["revision"]}'
            for each in status['documents']
            if not each['name'].startswith('hosts/')
        )
        sys.stdout.write(f'       {status["host"]}: {held}\n')


def run_checks(fleet: Fleet, report: CheckReport) -> None:
    """Go through the whole of it."""
    nodes = [f'{ADDRESS}:{member.admin_port}' for member in fleet.members]
    up = wait_until(lambda: all(map(fetch_status, nodes)))
    report.record(f'{len(nodes)} nodes are up', passed=up)
    publish_all(fleet, report)
    check_browsing(fleet, report, 3)
    check_publication(fleet, report)
    check_upload(fleet, report)
    check_drain_during_upload(fleet, report)
    check_contract_change(fleet, report)
    check_data_centre_out(fleet, report)
    print_documents(fleet)
    collapses = sum(
        fetch_target_stats(each)['collapses'] for each in fleet.members
    )
    report.record(f'{collapses} cold targets overloaded', passed=not collapses)
    twice = [key for key, count in runs_by_key(fleet).items() if count > 1]
    report.record(f'{len(twice)} requests ran twice', passed=not twice)


def run_checks_on_fleet(
    report: CheckReport,
) -> Sequence['subprocess.Popen[bytes]']:
    """Run the fleet in a folder of its own, and end it."""
    members = build_members(DATA_CENTRES, SERVICES)
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), members) as fleet,
    ):
        run_checks(fleet, report)
        return list(fleet.processes.values())


def keep_running(report: CheckReport) -> None:
    """Keep a fleet with both contracts running until it is interrupted."""
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
                f'callers http://{ADDRESS}:{member.gateway_port}\n',
            )
        sys.stdout.write('Stop with Ctrl-C.\n')
        sys.stdout.flush()
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, signal.default_int_handler)
        with suppress(KeyboardInterrupt):
            signal.pause()


def main() -> int:
    """Run the fleet, and sum up."""
    if '--stay' in sys.argv:
        keep_running(CheckReport())
        return 0
    report = CheckReport()
    processes = run_checks_on_fleet(report)
    alive = sum(process.poll() is None for process in processes)
    report.record(f'{alive} processes left behind', passed=not alive)
    sys.stdout.write(f'{report.failure_count} outcomes failed\n')
    return min(report.failure_count, 1)


if __name__ == '__main__':
    sys.exit(main())
