"""Messages between nodes: requests and fate queries.

A request is forwarded to the target's node unchanged, with its terms
(``JobTerms``) in one extra header; the response carries a ``HopReport`` in
another. Both headers are JSON and defined by the schema. A fate query asks for
the outcome of a request that was sent earlier.
"""

from typing import Final, NamedTuple

import msgspec
from expression import Error, Ok, Result

from marjoramlead.errors import DECODING_ERRORS, Fault
from marjoramlead.generated.hop_types import (
    FateQuestion,
    HopReport,
    JobTerms,
)
from marjoramlead.headers import parse_integer
from marjoramlead.ledger import LedgerMark
from marjoramlead.revisions import NO_REVISION, Revision
from marjoramlead.routes import RetryPolicy
from marjoramlead.target_pace import USUAL
from marjoramlead.target_queue import LoadReport
from marjoramlead.upstream import HeaderList, header_value
from marjoramlead.verdict import Reason, Refusal, Verdict

__all__ = (
    'FATE_PATH',
    'JOB_HEADER',
    'LEDGER_HEADER',
    'REPORT_HEADER',
    'Job',
    'attempt_id',
    'decode_fate_query',
    'decode_job',
    'decode_report',
    'encode_fate_query',
    'encode_job',
    'encode_mark',
    'encode_report',
    'load_from_report',
    'mark_from_headers',
    'mark_from_query',
    'refusal_from_report',
    'revision_from_report',
)

JOB_HEADER: Final = b'x-marjoram-job'
REPORT_HEADER: Final = b'x-marjoram-report'
# Part of the interim response that acknowledges a job or a query.
LEDGER_HEADER: Final = b'x-marjoram-ledger'
FATE_PATH: Final = b'/-/marjoram/fate'
MS_PER_SECOND: Final = 1000

JOB_DECODER: Final = msgspec.json.Decoder(JobTerms)
REPORT_DECODER: Final = msgspec.json.Decoder(HopReport)
FATE_QUERY_DECODER: Final = msgspec.json.Decoder(FateQuestion)


def attempt_id(request_id: str, attempt: int) -> str:
    """Return the identifier of one attempt at a request."""
    return f'{request_id}/{attempt}'


class Job(NamedTuple):
    """One offer of a request to one target.

    Attributes
    ----------
    headers
        Headers for the target, without those of the hop itself.
    attempt
        Number of the attempt that this offer makes, unique within the request.
    is_retry
        Whether a target has received the request before.
    calling_service
        Service of the host that the request came from.
    may_wait
        Whether the request may wait for a slot. If not, the target's node
        refuses it unless it can start at once.
    is_nested
        Whether another request, which is running, needs the answer.
    has_reservation
        Whether the client was refused before and told to return by now.
    rate_limit_per_s
        Rate limit that the target has reported to the sender, or None.
    soft_deadline
        Latest time of a response that meets the route's latency objective, on
        this node's clock.
    deadline
        Time at which the request ends, on this node's clock.
    received_at
        When the sender received the request from its client, on this node's
        clock.
    version
        Version of the routing table by which the sender chose the service of
        the target, or None if the sender does not say.
    account
        Client account that the request belongs to; empty if to none.
    crosses_link
        Whether the answer is sent to another host.
    """

    request_id: str
    attempt: int
    is_retry: bool
    target_id: str
    route: str
    retry_policy: RetryPolicy
    priority: int
    soft_deadline: float
    deadline: float
    calling_service: str
    may_wait: bool
    is_nested: bool
    has_reservation: bool
    rate_limit_per_s: float | None
    method: bytes
    uri: bytes
    headers: HeaderList
    body: bytes
    received_at: float = 0
    version: int | None = None
    crosses_link: bool = False
    account: str = ''


def encode_job(job: Job, now: float, body_window: int) -> bytes:
    """Encode the terms of a job.

    Its times are sent as milliseconds from or before now, because the clocks of
    two nodes cannot be compared. ``body_window`` is the number of bytes that
    this host's link carries soon.
    """
    terms: JobTerms = {
        'request_id': job.request_id,
        'attempt': job.attempt,
        'is_repeat': job.is_retry,
        'target_id': job.target_id,
        'route': job.route,
        'repeat': job.retry_policy,
        'priority': job.priority,
        'wait_ms': (job.deadline - now) * MS_PER_SECOND,
        'aim_ms': (job.soft_deadline - now) * MS_PER_SECOND,
        'caller': job.calling_service,
        'may_wait': job.may_wait,
        'is_nested': job.is_nested,
        'has_reservation': job.has_reservation,
    }
    if job.body:
        terms['body_window'] = body_window
    if job.rate_limit_per_s is not None:
        terms['rate_limit_per_s'] = job.rate_limit_per_s
    if job.account:
        terms['account'] = job.account
    if job.version is not None:
        terms['version'] = job.version
        terms['age_ms'] = (now - job.received_at) * MS_PER_SECOND
    return msgspec.json.encode(terms)


def decode_job(raw: bytes) -> Result[JobTerms, Fault]:
    """Decode the terms of a job from its header."""
    try:
        return Ok(JOB_DECODER.decode(raw))
    except DECODING_ERRORS as exc:
        return Error(Fault('job', str(exc)))


def encode_report(
    load: LoadReport,
    refusal: Refusal | None,
    revision: Revision,
) -> bytes:
    """Encode the outcome of a request and the load of the target.

    The expected wait is infinite for a target without slots; it is capped at
    1000 s because JSON has no infinity.
    """
    report: HopReport = {
        'verdict': Verdict.RAN.value,
        'reason': '',
        'retry_after': 0,
        'reached': True,
        'room': load.room,
        'wait_s': min(load.wait_s, MS_PER_SECOND),
        'work_s': load.work_s,
        'revision': revision.number,
        'era': revision.era,
    }
    if load.link_s:
        report['link_s'] = load.link_s
    if load.transfer_s:
        report['transfer_s'] = load.transfer_s
    if load.pace != USUAL:
        report['pace'] = load.pace
    if refusal is not None:
        report['verdict'] = refusal.verdict.value
        report['reason'] = refusal.reason.value
        report['retry_after'] = refusal.retry_after
        report['reached'] = refusal.reached_target
    return msgspec.json.encode(report)


def decode_report(raw: str) -> Result[HopReport, Fault]:
    """Decode the report in the header of a response."""
    try:
        return Ok(REPORT_DECODER.decode(raw))
    except DECODING_ERRORS as exc:
        return Error(Fault('report', str(exc)))


def refusal_from_report(report: HopReport) -> Refusal | None:
    """Return the refusal in a report, or None if the target responded."""
    if report['verdict'] == Verdict.RAN.value:
        return None
    try:
        return Refusal(
            Reason(report['reason']),
            Verdict(report['verdict']),
            report['retry_after'],
            report['reached'],
        )
    except ValueError:
        return Refusal(
            Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN, 0, reached_target=True
        )


def revision_from_report(report: HopReport) -> Revision:
    """Return the revision of the store that the other node knows."""
    return Revision(report.get('era', NO_REVISION.era), report['revision'])


def load_from_report(report: HopReport) -> LoadReport:
    """Return the target's load in a report."""
    return LoadReport(
        report['room'],
        report['wait_s'],
        report['work_s'],
        report.get('link_s', 0),
        report.get('transfer_s', 0),
        report.get('pace', USUAL),
    )


def encode_mark(mark: LedgerMark) -> bytes:
    """Encode the mark of a ledger as the value of a header."""
    return f'{mark.run} {mark.number}'.encode()


def mark_from_headers(headers: HeaderList) -> LedgerMark | None:
    """Return the mark in an acknowledgement; None if it has none."""
    run, _space, number = header_value(headers, LEDGER_HEADER).partition(' ')
    parsed = parse_integer(number)
    return None if parsed is None else LedgerMark(run, parsed)


def encode_fate_query(
    job: Job,
    sent_ago_s: float,
    mark: LedgerMark | None,
    *,
    is_withdrawn: bool = False,
) -> bytes:
    """Encode a query for the outcome of an attempt, or its withdrawal."""
    query: FateQuestion = {
        'request_id': job.request_id,
        'attempt': job.attempt,
        'sent_ago_s': sent_ago_s,
    }
    if mark is not None:
        query['run'] = mark.run
        query['number'] = mark.number
    if is_withdrawn:
        query['is_withdrawn'] = True
    return msgspec.json.encode(query)


def decode_fate_query(raw: bytes) -> Result[FateQuestion, Fault]:
    """Decode a query for the outcome of an attempt."""
    try:
        return Ok(FATE_QUERY_DECODER.decode(raw))
    except DECODING_ERRORS as exc:
        return Error(Fault('question', str(exc)))


def mark_from_query(query: FateQuestion) -> LedgerMark | None:
    """Return the mark that a query names; None if it names none."""
    run, number = query.get('run'), query.get('number')
    if run is None or number is None:
        return None
    return LedgerMark(run, number)
