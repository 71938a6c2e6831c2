"""Make calls as a caller would, and ask targets what they did."""

import http.client
import json
import time
import urllib.error
import urllib.request
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from demo.fleet import ADDRESS, Fleet, Member

__all__ = (
    'CallResult',
    'call',
    'fetch_target_stats',
    'runs_by_key',
    'slow_upload',
    'total_runs',
)

CALL_TIMEOUT_S = 10.0
CHUNK_COUNT = 10
CHUNK_INTERVAL_S = 0.1


class CallResult(NamedTuple):
    """How one call ended."""

    status: int
    verdict: str
    body: bytes


def call(
    member: Member,
    method: str,
    path: str,
    body: bytes | None = None,
    key: str = '',
) -> CallResult:
    """Make one call at a node's gateway."""
    fields = {'Idempotency-Key': key} if key else {}
    address = f'http://{ADDRESS}:{member.gateway_port}{path}'
    req = urllib.request.Request(address, body, fields, method=method)
    try:
        with urllib.request.urlopen(req, timeout=CALL_TIMEOUT_S) as answer:
            verdict = answer.headers['X-Marjoram-Verdict']
            return CallResult(answer.status, verdict, answer.read())
    except urllib.error.HTTPError as exc:
        verdict = exc.headers['X-Marjoram-Verdict']
        return CallResult(exc.code, verdict, exc.read())
    except OSError as exc:
        return CallResult(0, 'none', str(exc).encode())


def slow_upload(member: Member, path: str, size: int) -> CallResult:
    """Upload in chunks, with a pause after each."""
    conn = http.client.HTTPConnection(
        ADDRESS,
        member.gateway_port,
        timeout=CALL_TIMEOUT_S,
    )
    conn.putrequest('PUT', path)
    conn.putheader('Content-Length', str(size))
    conn.endheaders()
    for _ in range(CHUNK_COUNT):
        conn.send(bytes(size // CHUNK_COUNT))
        time.sleep(CHUNK_INTERVAL_S)
    answer = conn.getresponse()
    verdict = answer.headers['X-Marjoram-Verdict']
    return CallResult(answer.status, verdict, answer.read())


def runs_by_key(fleet: Fleet) -> Counter[str]:
    """Add up how often each request ran, over all targets."""
    total: Counter[str] = Counter()
    for member in fleet.members:
        total.update(fetch_target_stats(member)['ran'])
    return total


def fetch_target_stats(member: Member) -> dict:
    """Ask a target what it did."""
    address = f'http://{ADDRESS}:{member.target_port}/ran'
    with urllib.request.urlopen(address, timeout=CALL_TIMEOUT_S) as answer:
        return json.load(answer)


def total_runs(members: Sequence[Member]) -> int:
    """Count the requests that ran at some targets."""
    return sum(
        sum(fetch_target_stats(member)['ran'].values()) for member in members
    )
