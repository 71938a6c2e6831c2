"""Reading the log lines of a day."""

from bench.day import read_events, refusal_totals, way_of

LINES = [
    ' 0.1 h-1 {"kind": "gate", "host": "h-1", "request_id": "a", "at": "2"}',
    'Traceback',
    '{"kind": "request", "host": "h-2", "request_id": "a", "at": "3",'
    ' "outcome": "503", "reason": "overload", "service": "web"}',
    '{"kind": "request", "host": "h-2", "request_id": "b", "at": "1",'
    ' "outcome": "200", "reason": "200", "service": "web"}',
]


def test_events_of_a_request_are_sorted_by_time():
    events = way_of(read_events(reversed(LINES)), 'a')
    assert [each['kind'] for each in events] == ['gate', 'request']


def test_successful_requests_are_not_counted_as_refusals():
    totals = refusal_totals(read_events(LINES), 'service')
    assert totals == {('overload', 'web'): 1}
