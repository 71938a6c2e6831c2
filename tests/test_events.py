"""The event log: one JSON object per line, rate-limited and non-blocking."""

import json
import os

import pytest

from marjoramlead.events import (
    EVENT_COUNTS,
    MAX_LINES_PER_S,
    configure_event_log,
    emit,
)


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    EVENT_COUNTS.second = 0
    configure_event_log('h-1', writer)
    yield reader
    os.close(writer)
    os.close(reader)


def read_lines(reader):
    return [json.loads(raw) for raw in os.read(reader, 10**6).splitlines()]


def test_line_has_kind_host_time_and_fields(pipe):
    emit('request', request_id='r1', outcome='200')
    written = read_lines(pipe)[-1]
    assert written['kind'] == 'request'
    assert written['host'] == 'h-1'
    assert written['request_id'] == 'r1'
    assert 'at' in written


def test_line_rate_is_limited_for_each_kind_separately(pipe, monkeypatch):
    monkeypatch.setattr('marjoramlead.events.time.monotonic', lambda: 5.0)
    for _each in range(MAX_LINES_PER_S * 3):
        emit('request')
    emit('reload')
    kinds = [each['kind'] for each in read_lines(pipe)]
    assert kinds.count('request') == MAX_LINES_PER_S
    assert kinds.count('reload') == 1
    monkeypatch.setattr('marjoramlead.events.time.monotonic', lambda: 6.0)
    emit('reload')
    left_out = [each for each in read_lines(pipe) if each['kind'] == 'left_out']
    assert left_out[0]['count'] == MAX_LINES_PER_S * 2


def test_full_pipe_does_not_block_the_node(pipe, monkeypatch):
    ticks = iter(range(10**6))
    monkeypatch.setattr(
        'marjoramlead.events.time.monotonic', lambda: next(ticks)
    )
    for number in range(5000):  # far more than fits into a pipe
        emit('request', number=number, text='x' * 100)
    received = os.read(pipe, 10**6)
    assert received.count(b'\n') < 5000
    for raw in received.splitlines()[:-1]:
        json.loads(raw)
