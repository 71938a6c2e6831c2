"""Structured logs: one JSON object a line, bounded, and never blocking."""

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


def lines(reader):
    return [json.loads(raw) for raw in os.read(reader, 10**6).splitlines()]


def test_line_names_its_kind_host_and_fields(pipe):
    emit('request', request_id='r1', outcome='200')
    written = lines(pipe)[-1]
    assert written['kind'] == 'request'
    assert written['host'] == 'h-1'
    assert written['request_id'] == 'r1'
    assert 'at' in written


def test_one_kind_is_bounded_and_does_not_push_out_another(pipe, monkeypatch):
    monkeypatch.setattr('marjoramlead.events.time.monotonic', lambda: 5.0)
    for _each in range(MAX_LINES_PER_S * 3):
        emit('request')
    emit('reload')
    kinds = [each['kind'] for each in lines(pipe)]
    assert kinds.count('request') == MAX_LINES_PER_S
    assert kinds.count('reload') == 1
    monkeypatch.setattr('marjoramlead.events.time.monotonic', lambda: 6.0)
    emit('reload')
    left_out = [each for each in lines(pipe) if each['kind'] == 'left_out']
    assert left_out[0]['count'] == MAX_LINES_PER_S * 2


def test_reader_that_stops_does_not_stop_the_node(pipe, monkeypatch):
    ticks = iter(range(10**6))
    monkeypatch.setattr(
        'marjoramlead.events.time.monotonic', lambda: next(ticks)
    )
    for number in range(5000):  # far more than a pipe holds
        emit('request', number=number, text='x' * 100)
    first = os.read(pipe, 10**6)
    assert first.count(b'\n') < 5000
    for raw in first.splitlines()[:-1]:
        json.loads(raw)
