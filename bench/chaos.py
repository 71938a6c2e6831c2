"""Call a fleet of real processes while its nodes are killed and frozen.

Bookings carry a key and are asked again at another node until they have an
answer or a duplicate. At the end the targets, which are left alone, say what
ran: no booking twice, and none that was refused as not run.
"""

import json
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Annotated, NamedTuple

from cyclopts import App, Parameter

from demo.__main__ import DATA_CENTRES, SERVICES, CheckReport, publish_all
from demo.calling import CallResult, call, runs_by_key
from demo.fleet import ADDRESS, Fleet, build_members, running_fleet, start_node
from demo.outcomes import wait_until
from marjoramlead.node_client import fetch_status

CALLERS = 6
TRIES = 4
KEY_MEMORY_S = 3.0
FREEZE_S = 1.5
FAULT_GAP_S = 1.0

app = App(name='chaos', help=__doc__)


class Booking(NamedTuple):
    """A booking, and how each try at it ended."""

    key: str
    ends: Sequence[CallResult]


def book(fleet: Fleet, rng: Random, key: str) -> Booking:
    """Ask for one publication until its fate is told."""
    ends: list[CallResult] = []
    for _ in range(TRIES):
        member = rng.choice(fleet.members)
        path = '/te-puna-tatai/templates'
        ends.append(call(member, 'POST', path, b'x', key))
        if ends[-1].status in {HTTPStatus.OK, HTTPStatus.CONFLICT}:
            break
    return Booking(key, ends)


def caller(fleet: Fleet, number: int, until: float) -> list[Booking]:
    """Make bookings one after another."""
    rng = Random(number)
    made: list[Booking] = []
    while time.monotonic() < until:
        made.append(book(fleet, rng, f'{number}-{len(made)}'))
    return made


def cause_faults(fleet: Fleet, until: float) -> Counter[str]:
    """Kill or freeze one node after another."""
    rng = Random(0)
    caused: Counter[str] = Counter()
    while time.monotonic() < until:
        member = rng.choice(fleet.members)
        process = fleet.processes[f'node-{member.host}']
        if rng.choice((True, False)):
            process.kill()
            process.wait()
            start_node(fleet, member)
            caused['killed'] += 1
        else:
            process.send_signal(signal.SIGSTOP)
            thaw = threading.Timer(
                FREEZE_S,
                process.send_signal,
                [signal.SIGCONT],
            )
            thaw.start()
            caused['frozen'] += 1
        time.sleep(FAULT_GAP_S)
    return caused


def judge(bookings: Sequence[Booking], ran: Counter[str]) -> dict[str, int]:
    """Count what ended how, and what must not be."""
    ends = Counter(
        f'ended_{end.verdict}' for made in bookings for end in made.ends
    )
    return {
        'bookings': len(bookings),
        'answered': sum(is_answered(made) for made in bookings),
        'ran': sum(ran[made.key] > 0 for made in bookings),
        'ran_twice': sum(ran[made.key] > 1 for made in bookings),
        'untrue_not_run': sum(
            says_not_run(made) and ran[made.key] > 0 for made in bookings
        ),
        **ends,
    }


def is_answered(booking: Booking) -> bool:
    """Whether one try had the target's answer."""
    return any(end.status == HTTPStatus.OK for end in booking.ends)


def says_not_run(booking: Booking) -> bool:
    """Whether every try was refused as not run."""
    return all(end.verdict == 'not_run' for end in booking.ends)


@app.default
def run(
    *,
    seconds: float = 15,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> int:
    """Call while nodes fail, then judge.

    Parameters
    ----------
    seconds
        How long to call for.
    as_json
        End with one JSON object on the last line.
    """
    members = build_members(DATA_CENTRES, SERVICES)
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), members) as fleet,
        ThreadPoolExecutor(CALLERS) as pool,
    ):
        nodes = [f'{ADDRESS}:{member.admin_port}' for member in members]
        wait_until(lambda: all(map(fetch_status, nodes)))
        publish_all(fleet, CheckReport())
        time.sleep(KEY_MEMORY_S)
        until = time.monotonic() + seconds
        calling = [
            pool.submit(caller, fleet, number, until)
            for number in range(CALLERS)
        ]
        caused = cause_faults(fleet, until)
        bookings = [each for made in calling for each in made.result()]
        time.sleep(FREEZE_S)
        judged = judge(bookings, runs_by_key(fleet)) | caused
    sys.stdout.write(f'{judged}\n')
    if as_json:
        sys.stdout.write(f'{json.dumps(judged)}\n')
    return min(1, judged['ran_twice'] + judged['untrue_not_run'])


if __name__ == '__main__':
    sys.exit(app())
