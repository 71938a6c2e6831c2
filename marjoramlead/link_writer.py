"""Write answers to other nodes in the order of the host's link schedule."""

from dataclasses import dataclass, field
from itertools import count
from typing import Final, NamedTuple

from marjoramlead.clock import Clock, Timer
from marjoramlead.events import emit
from marjoramlead.http_server import StreamRequest
from marjoramlead.link_schedule import (
    SHORT_ANSWER_BYTES,
    LinkSchedule,
    Part,
    Transfer,
    add_transfer,
    backlog_s,
    next_write_time,
    record_written,
    remove_transfer,
    take_part,
)
from marjoramlead.problems import BufferedResponse

__all__ = ('AnswerTerms', 'LinkWriter', 'send_answer')

MS_PER_SECOND: Final = 1000
# Time after which an answer is given up if its receiver reads nothing of it.
MAX_STALL_S: Final = 5.0
# Size of the acknowledgement of a request and of the head of its answer.
HEAD_BYTES: Final = 600


class AnswerTerms(NamedTuple):
    """Whose answer is sent, and how urgent it is; see ``Transfer``."""

    request_id: str
    route: str
    priority: int
    soft_deadline: float
    deadline: float


@dataclass(slots=True)
class _OutgoingAnswer:
    req: StreamRequest
    response: BufferedResponse
    terms: AnswerTerms
    began_at: float
    give_up_at: float


@dataclass(slots=True)
class LinkWriter:
    """Answers that are being sent to other nodes.

    Attributes
    ----------
    schedule
        Order of the transfers.
    answers
        Answers that are not written whole, by the number of their transfer.
    timer
        Timer of the next write.
    """

    schedule: LinkSchedule
    reactor: Clock
    answers: dict[int, _OutgoingAnswer] = field(default_factory=dict)
    numbers: 'count[int]' = field(default_factory=count)
    timer: Timer | None = None


def send_answer(
    writer: LinkWriter,
    req: StreamRequest,
    response: BufferedResponse,
    terms: AnswerTerms | None,
) -> None:
    """Send an answer at once if it is short, or else as the link allows.

    Parameters
    ----------
    writer
        Answers to other nodes.
    req
        Request to answer.
    response
        Answer to send.
    terms
        How urgent it is; without them, it is sent at once.
    """
    length = len(response.body)
    now = writer.reactor.seconds()
    record_written(writer.schedule, HEAD_BYTES, now)
    if terms is None or length <= SHORT_ANSWER_BYTES:
        record_written(writer.schedule, length, now)
        req.send_response(response)
        return
    if not req.begin_response(response):
        return
    number = next(writer.numbers)
    add_transfer(
        writer.schedule,
        Transfer(
            number, length, terms.priority, terms.soft_deadline, terms.deadline
        ),
    )
    writer.answers[number] = _OutgoingAnswer(
        req, response, terms, now, now + MAX_STALL_S
    )
    req.notifyFinish().addErrback(lambda _gone: _drop(writer, number))
    _write_parts(writer)


def _drop(writer: LinkWriter, number: int) -> None:
    """Drop an answer whose receiver has left."""
    remove_transfer(writer.schedule, number)
    answer = writer.answers.pop(number, None)
    if answer is not None:
        _log_end(writer, answer, is_sent=False)


def _on_timer(writer: LinkWriter) -> None:
    writer.timer = None
    _write_parts(writer)


def _write_parts(writer: LinkWriter) -> None:
    """Write the parts that the link has room for, and set the timer."""
    now = writer.reactor.seconds()
    stalled = _stalled_answers(writer, now)
    part = take_part(writer.schedule, stalled, now)
    while part is not None:
        _write_part(writer, part)
        part = take_part(writer.schedule, stalled, now)
    next_at = next_write_time(writer.schedule, now)
    if next_at is not None and writer.timer is None:
        writer.timer = writer.reactor.callLater(
            max(0, next_at - now), _on_timer, writer
        )


def _stalled_answers(writer: LinkWriter, now: float) -> list[int]:
    """Return the answers whose receivers do not read; end hopeless ones."""
    stalled: list[int] = []
    for number, answer in list(writer.answers.items()):
        is_stalled = answer.req.has_unsent_bytes()
        if is_stalled and now >= answer.give_up_at:
            _drop(writer, number)
            answer.req.abort()
        elif is_stalled:
            stalled.append(number)
        else:
            answer.give_up_at = now + MAX_STALL_S
    return stalled


def _write_part(writer: LinkWriter, part: Part) -> None:
    answer = writer.answers[part.number]
    body = answer.response.body
    answer.req.write(body[part.start : part.stop])
    if part.stop == len(body):
        writer.answers.pop(part.number)
        _log_end(writer, answer, is_sent=True)
        answer.req.end_response(answer.response)


def _log_end(
    writer: LinkWriter, answer: _OutgoingAnswer, *, is_sent: bool
) -> None:
    now = writer.reactor.seconds()
    emit(
        'transfer',
        request_id=answer.terms.request_id,
        route=answer.terms.route,
        size=len(answer.response.body),
        is_sent=is_sent,
        took_ms=round((now - answer.began_at) * MS_PER_SECOND),
        left_ms=round((answer.terms.deadline - now) * MS_PER_SECOND),
        transfers=len(writer.answers),
        backlog_ms=round(backlog_s(writer.schedule, now) * MS_PER_SECOND),
    )
