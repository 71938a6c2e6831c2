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
IN_FORCE_LIMIT_S = 6.0
WORKBOOK_BYTES = 3_000_000
KEY_MS = 3000
UPLOAD_UNDER_WAY_S = 0.4


def follow(
    fleet: Fleet, account: CheckReport, name: str, revision: int
) -> None:
    """State within what time a revision was in force on all nodes."""
    began = time.monotonic()
    nodes = [f'{ADDRESS}:{member.admin}' for member in fleet.members]
    progress = list(
        wait_in_force(nodes, name, revision, began + IN_FORCE_LIMIT_S),
    )[-1]
    taken = time.monotonic() - began
    account.state(
        f'{name} at revision {revision}: in force on {progress.done} of '
        f'{len(nodes)} nodes in {taken:.1f} s',
        held=not progress.behind,
    )


def publish_all(fleet: Fleet, account: CheckReport) -> None:
    """Publish host lists and contracts."""
    publisher = f'http://{ADDRESS}:{fleet.source}'
    for name, text in hosts_documents(fleet.members).items():
        publish(publisher, name, text, 0)
    for example in ('te-puna-tatai', 'tamworth'):
        path = fleet.folder / f'{example}.json'
        path.write_text(example_text(example))
        checked = check_contract(path)
        follow(fleet, account, checked.name, submit(publisher, checked))


def example_text(name: str) -> str:
    """Read an example; its keys are remembered for a shorter time here."""
    text = (EXAMPLES / f'{name}.json').read_text()
    return text.replace('"key_memory_ms": 30000', f'"key_memory_ms": {KEY_MS}')


def browse(fleet: Fleet, account: CheckReport, calls: int) -> None:
    """Browse both catalogues through all nodes."""
    ended = Counter(
        call(member, 'GET', path).status
        for member in calls * list(fleet.members)
        for path in ('/te-puna-tatai/catalogue', '/tamworth/kits')
    )
    account.state(
        f'browsing: {dict(ended)} (status: calls)',
        held=set(ended) == {200},
    )


def publish_once(fleet: Fleet, account: CheckReport) -> None:
    """Publish a template, then ask again with the same key elsewhere."""
    path = '/te-puna-tatai/templates'
    key = 'template-7-version-2'
    time.sleep(KEY_MS / 1000)
    first = call(fleet.members[0], 'POST', path, b'v2', key)
    again = call(fleet.members[5], 'POST', path, b'v2', key)
    account.state(
        f'publication: {first.status} {first.verdict}',
        held=first.status == 200,
    )
    account.state(
        f'same key at another node: {again.status} {again.verdict}',
        held=(again.status, again.verdict) == (409, 'may_have_run'),
    )
    account.state(
        f'publication ran {runs_by_key(fleet)[key]} time',
        held=runs_by_key(fleet)[key] == 1,
    )


def upload(fleet: Fleet, account: CheckReport) -> None:
    """Upload a workbook through a node of another service."""
    path = '/te-puna-tatai/workbooks/9'
    ended = call(fleet.members[2], 'PUT', path, bytes(WORKBOOK_BYTES))
    received = json.loads(ended.body).get('bytes')
    account.state(
        f'workbook of {WORKBOOK_BYTES} bytes: {ended.status}, '
        f'{received} bytes arrived',
        held=received == WORKBOOK_BYTES,
    )


def drain_in_upload(fleet: Fleet, account: CheckReport) -> None:
    """Stop a node in the middle of an upload that goes through it."""
    member = fleet.members[2]
    node = fleet.processes[f'node-{member.host}']
    path = '/te-puna-tatai/workbooks/10'
    with ThreadPoolExecutor(1) as pool:
        uploading = pool.submit(slow_upload, member, path, WORKBOOK_BYTES)
        time.sleep(UPLOAD_UNDER_WAY_S)
        node.terminate()
        ended = uploading.result()
    received = json.loads(ended.body).get('bytes')
    account.state(
        f'upload through a node that was told to stop: {ended.status}, '
        f'{received} bytes arrived',
        held=received == WORKBOOK_BYTES,
    )
    code = node.wait(IN_FORCE_LIMIT_S)
    account.state(f'that node ended with {code}', held=code == 0)
    start_node(fleet, member)


def change_contract(fleet: Fleet, account: CheckReport) -> None:
    """Publish a change, then a contract that must be refused, then mend it."""
    publisher = f'http://{ADDRESS}:{fleet.source}'
    text = example_text('tamworth')
    changed = fleet.folder / 'changed.json'
    changed.write_text(text.replace('"queue": 20', '"queue": 25'))
    checked = check_contract(changed)
    revision = submit(publisher, checked)
    follow(fleet, account, checked.name, revision)
    bad = text.replace('"look-up", "service": "kits"', '"x", "service": "x"')
    bad_revision = publish(publisher, checked.name, bad, revision)
    state_refusal(fleet, account, checked.name, revision)
    mended = publish(publisher, checked.name, checked.text, bad_revision)
    follow(fleet, account, checked.name, mended)


def state_refusal(
    fleet: Fleet,
    account: CheckReport,
    name: str,
    revision: int,
) -> None:
    """State that the revision after this one is refused everywhere."""
    nodes = [f'{ADDRESS}:{member.admin}' for member in fleet.members]
    refused = wait_until(
        lambda: all(_refuses(node, revision + 1) for node in nodes),
        IN_FORCE_LIMIT_S,
    )
    account.state(
        f'bad contract at revision {revision + 1}: refused on all nodes',
        held=refused,
    )
    kept = all(_holds(node, name, revision) for node in nodes)
    account.state(f'revision {revision} stays in force', held=kept)


def _refuses(node: str, revision: int) -> bool:
    refused = fetch_status(node)['refused']
    return any(each['revision'] == revision for each in refused)


def _holds(node: str, name: str, revision: int) -> bool:
    documents = fetch_status(node)['documents']
    return any(
        (each['name'], each['revision']) == (name, revision)
        for each in documents
    )


def take_out(fleet: Fleet, account: CheckReport) -> None:
    """Take a data centre out, call, and bring it back."""
    publisher = f'http://{ADDRESS}:{fleet.source}'
    name = DATA_CENTRES[0]
    inside = [each for each in fleet.members if each.data_centre == name]
    follow(fleet, account, OPERATIONS, set_out(publisher, name, out=True))
    before = total_runs(inside)
    browse(fleet, account, 2)
    account.state(
        f'{name} is out: {total_runs(inside) - before} new requests there',
        held=total_runs(inside) == before,
    )
    follow(fleet, account, OPERATIONS, set_out(publisher, name, out=False))
    browse(fleet, account, 2)
    account.state(
        f'{name} is back: {total_runs(inside) - before} new requests there',
        held=total_runs(inside) > before,
    )


def show(fleet: Fleet) -> None:
    """Print what each node says is in force."""
    for member in fleet.members:
        status = fetch_status(f'{ADDRESS}:{member.admin}')
        held = ', '.join(
            f'{each["name"]}@{each["revision"]}'
            for each in status['documents']
            if not each['name'].startswith('hosts/')
        )
        sys.stdout.write(f'       {status["host"]}: {held}\n')


def run(fleet: Fleet, account: CheckReport) -> None:
    """Go through the whole of it."""
    nodes = [f'{ADDRESS}:{member.admin}' for member in fleet.members]
    up = wait_until(lambda: all(map(fetch_status, nodes)))
    account.state(f'{len(nodes)} nodes are up', held=up)
    publish_all(fleet, account)
    browse(fleet, account, 3)
    publish_once(fleet, account)
    upload(fleet, account)
    drain_in_upload(fleet, account)
    change_contract(fleet, account)
    take_out(fleet, account)
    show(fleet)
    collapses = sum(
        fetch_target_stats(each)['collapses'] for each in fleet.members
    )
    account.state(f'{collapses} cold targets overloaded', held=not collapses)
    twice = [key for key, count in runs_by_key(fleet).items() if count > 1]
    account.state(f'{len(twice)} requests ran twice', held=not twice)


def run_fleet(account: CheckReport) -> Sequence['subprocess.Popen[bytes]']:
    """Run the fleet in a folder of its own, and end it."""
    members = build_members(DATA_CENTRES, SERVICES)
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), members) as fleet,
    ):
        run(fleet, account)
        return list(fleet.processes.values())


def stay(account: CheckReport) -> None:
    """Keep a fleet with both contracts running until it is interrupted."""
    members = build_members(DATA_CENTRES, SERVICES)
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), members) as fleet,
    ):
        nodes = [f'{ADDRESS}:{member.admin}' for member in members]
        wait_until(lambda: all(map(fetch_status, nodes)))
        publish_all(fleet, account)
        sys.stdout.write(f'publisher  http://{ADDRESS}:{fleet.source}\n')
        for member in members:
            sys.stdout.write(
                f'{member.host:20} admin {ADDRESS}:{member.admin}  '
                f'callers http://{ADDRESS}:{member.gateway}\n',
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
        stay(CheckReport())
        return 0
    account = CheckReport()
    processes = run_fleet(account)
    alive = sum(process.poll() is None for process in processes)
    account.state(f'{alive} processes left behind', held=not alive)
    sys.stdout.write(f'{account.failed} outcomes failed\n')
    return min(account.failed, 1)


if __name__ == '__main__':
    sys.exit(main())
