"""Send requests to gateways, and read the statistics of targets."""

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
    """Outcome of one call.

    Attributes
    ----------
    status
        HTTP status, or 0 if the call got no response.
    verdict
        Value of the verdict header, ``none`` if the call got no response.
    body
        Body of the response, or the error message if there was none.
    """

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
    """Send one request to the gateway of a node."""
    request_headers = {'Idempotency-Key': key} if key else {}
    url = f'http://{ADDRESS}:{member.gateway_port}{path}'
    req = urllib.request.Request(url, body, request_headers, method=method)
    try:
        with urllib.request.urlopen(req, timeout=CALL_TIMEOUT_S) as response:
            verdict = response.headers['X-Marjoram-Verdict']
            return CallResult(response.status, verdict, response.read())
    except urllib.error.HTTPError as exc:
        verdict = exc.headers['X-Marjoram-Verdict']
        return CallResult(exc.code, verdict, exc.read())
    except OSError as exc:
        return CallResult(0, 'none', str(exc).encode())


def slow_upload(member: Member, path: str, size: int) -> CallResult:
    """Upload a body of the given size in chunks, with a pause after each."""
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
    response = conn.getresponse()
    verdict = response.headers['X-Marjoram-Verdict']
    return CallResult(response.status, verdict, response.read())


def runs_by_key(fleet: Fleet) -> Counter[str]:
    """Count the runs of each request on all targets.

    A request is identified by its idempotency key, or by its id if it has
    none.
    """
    total: Counter[str] = Counter()
    for member in fleet.members:
        total.update(fetch_target_stats(member)['ran'])
    return total


def fetch_target_stats(member: Member) -> dict:
    """Read the counters of a stand-in target, such as its runs by key."""
    url = f'http://{ADDRESS}:{member.target_port}/ran'
    with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_S) as response:
        return json.load(response)


def total_runs(members: Sequence[Member]) -> int:
    """Count all runs on the targets of some members."""
    return sum(
        sum(fetch_target_stats(member)['ran'].values()) for member in members
    )
