"""Send bookings to a fleet of real processes while nodes fail.

Nodes are killed and restarted, or suspended for a while; targets stay up.
Each booking carries an idempotency key and is retried, each time at a random
node, until it is answered or refused as a duplicate. At the end the targets
report what they ran: no booking may have run twice, and none may have run if
all its attempts were refused as not run.
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

CLIENT_COUNT = 6
MAX_ATTEMPTS = 4
# Key memory of the demo's contracts. A replica of a key grants no claim of it
# until it has been a replica for this long.
KEY_MEMORY_S = 3.0
FREEZE_DURATION_S = 1.5
FAULT_INTERVAL_S = 1.0

app = App(name='chaos', help=__doc__)


class Booking(NamedTuple):
    """A booking and the outcomes of its attempts.

    Attributes
    ----------
    key
        Idempotency key, the same for all attempts.
    ends
        Outcome of each attempt, in order.
    """

    key: str
    ends: Sequence[CallResult]


def send_booking(fleet: Fleet, rng: Random, key: str) -> Booking:
    """Send a booking, and retry it until it is answered or a duplicate."""
    ends: list[CallResult] = []
    for _ in range(MAX_ATTEMPTS):
        member = rng.choice(fleet.members)
        path = '/te-puna-tatai/templates'
        ends.append(call(member, 'POST', path, b'x', key))
        if ends[-1].status in {HTTPStatus.OK, HTTPStatus.CONFLICT}:
            break
    return Booking(key, ends)


def send_bookings(fleet: Fleet, client: int, deadline: float) -> list[Booking]:
    """Send bookings one after another until the deadline."""
    rng = Random(client)
    bookings: list[Booking] = []
    while time.monotonic() < deadline:
        bookings.append(send_booking(fleet, rng, f'{client}-{len(bookings)}'))
    return bookings


def cause_faults(fleet: Fleet, deadline: float) -> Counter[str]:
    """Kill and restart, or suspend, one random node after another."""
    rng = Random(0)
    fault_counts: Counter[str] = Counter()
    while time.monotonic() < deadline:
        member = rng.choice(fleet.members)
        process = fleet.processes[f'node-{member.host}']
        if rng.choice((True, False)):
            process.kill()
            process.wait()
            start_node(fleet, member)
            fault_counts['killed'] += 1
        else:
            process.send_signal(signal.SIGSTOP)
            resume_timer = threading.Timer(
                FREEZE_DURATION_S,
                process.send_signal,
                [signal.SIGCONT],
            )
            resume_timer.start()
            fault_counts['frozen'] += 1
        time.sleep(FAULT_INTERVAL_S)
    return fault_counts


def summarize(
    bookings: Sequence[Booking], run_counts: Counter[str]
) -> dict[str, int]:
    """Count bookings, outcomes of attempts and violated guarantees.

    Parameters
    ----------
    bookings
        All bookings that were sent.
    run_counts
        Times that the targets ran each booking, by idempotency key.

    Returns
    -------
    Counts by label; ``ran_twice`` and ``untrue_not_run`` must be 0.
    """
    ends = Counter(
        f'ended_{end.verdict}' for booking in bookings for end in booking.ends
    )
    return {
        'bookings': len(bookings),
        'answered': sum(was_answered(booking) for booking in bookings),
        'ran': sum(run_counts[booking.key] > 0 for booking in bookings),
        'ran_twice': sum(run_counts[booking.key] > 1 for booking in bookings),
        'untrue_not_run': sum(
            was_refused_as_not_run(booking) and run_counts[booking.key] > 0
            for booking in bookings
        ),
        **ends,
    }


def was_answered(booking: Booking) -> bool:
    """Whether any attempt returned the target's answer."""
    return any(end.status == HTTPStatus.OK for end in booking.ends)


def was_refused_as_not_run(booking: Booking) -> bool:
    """Whether every attempt was refused as not run."""
    return all(end.verdict == 'not_run' for end in booking.ends)


@app.default
def run(
    *,
    seconds: float = 15,
    as_json: Annotated[bool, Parameter(name='--json')] = False,
) -> int:
    """Send bookings while nodes fail, then check what the targets ran.

    Parameters
    ----------
    seconds
        Time for which bookings are sent.
    as_json
        Print the result as one JSON object on the last line.
    """
    members = build_members(DATA_CENTRES, SERVICES)
    with (
        tempfile.TemporaryDirectory() as folder,
        running_fleet(Path(folder), members) as fleet,
        ThreadPoolExecutor(CLIENT_COUNT) as pool,
    ):
        nodes = [f'{ADDRESS}:{member.admin_port}' for member in members]
        wait_until(lambda: all(map(fetch_status, nodes)))
        publish_all(fleet, CheckReport())
        time.sleep(KEY_MEMORY_S)
        deadline = time.monotonic() + seconds
        pending = [
            pool.submit(send_bookings, fleet, client, deadline)
            for client in range(CLIENT_COUNT)
        ]
        fault_counts = cause_faults(fleet, deadline)
        bookings = [each for future in pending for each in future.result()]
        time.sleep(FREEZE_DURATION_S)
        totals = summarize(bookings, runs_by_key(fleet)) | fault_counts
    sys.stdout.write(f'{totals}\n')
    if as_json:
        sys.stdout.write(f'{json.dumps(totals)}\n')
    return min(1, totals['ran_twice'] + totals['untrue_not_run'])


if __name__ == '__main__':
    sys.exit(app())
