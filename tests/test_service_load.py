"""Detection of overload from the requests that a service refused."""

from marjoramlead.service_load import (
    ServiceLoad,
    is_overloaded,
    record_dispatch,
)


def dispatch_many(load, count, refused, now=1.0):
    for number in range(count):
        record_dispatch(load, 'r', now, is_refused=number < refused)


def test_single_refusal_is_not_an_overload():
    load = ServiceLoad()
    assert not is_overloaded(load, 'r', 1)
    dispatch_many(load, 10, refused=1)
    assert not is_overloaded(load, 'r', 1)


def test_overload_of_one_route_is_detected_and_forgotten():
    load = ServiceLoad()
    dispatch_many(load, 20, refused=8)
    assert is_overloaded(load, 'r', 1)
    assert not is_overloaded(load, 'other', 1)
    assert not is_overloaded(load, 'r', 8)
