"""Analysis of the merged log of many nodes."""

from bench.day import read_events, refusal_totals, request_trace

LINES = [
    ' 0.1 h-1 {"kind": "gate", "host": "h-1", "request_id": "a", "at": "2"}',
    'Traceback',
    '{"kind": "request", "host": "h-2", "request_id": "a", "at": "3",'
    ' "outcome": "503", "reason": "overload", "service": "web"}',
    '{"kind": "request", "host": "h-2", "request_id": "b", "at": "1",'
    ' "outcome": "200", "reason": "200", "service": "web"}',
]


def test_trace_of_a_request_is_in_order_of_time():
    trace = request_trace(read_events(reversed(LINES)), 'a')
    assert [each['kind'] for each in trace] == ['gate', 'request']


def test_refusal_totals_exclude_answered_requests():
    totals = refusal_totals(read_events(LINES), 'service')
    assert totals == {('overload', 'web'): 1}
