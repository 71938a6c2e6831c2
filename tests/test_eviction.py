"""Which bodies make way for new connections when a port is full."""

from marjoramlead.eviction import KEPT_BODY_BYTES_PER_S, OpenBody, choose_bodies

NOW = 100


def body(number, received=100, **changed):
    known = OpenBody(number, 'a', 0.1, 90, received, False, False)
    return known._replace(**changed)


def choose(*bodies):
    """Return the numbers in the order in which they are ended."""
    last_first = choose_bodies(bodies, KEPT_BODY_BYTES_PER_S, NOW)
    return list(reversed(last_first))


def test_refused_bodies_go_first_then_the_slowest():
    bodies = [
        body(1, received=9_000),
        body(2, received=10),
        body(3, received=10**9, is_refused=True),
        body(4, received=10**9, is_quiet=True),
    ]
    assert choose(*bodies) == [3, 4, 2, 1]


def test_bodies_of_the_host_with_most_connections_go_first():
    many = [
        body(1, received=2, host='b', host_share=0.4),
        body(2, received=3, host='b', host_share=0.4),
    ]
    assert choose(body(3, received=1), *many) == [1, 2, 3]


def test_body_that_arrives_fast_is_kept_unless_its_host_has_most_connections():
    fast = body(1, received=10**9)
    assert choose(fast) == []
    assert choose(fast._replace(host_share=0.6)) == [1]


def test_body_has_a_second_to_arrive_and_a_refusal_to_be_received():
    young = [body(1, since=99.5, is_refused=True), body(2, since=99.5)]
    assert choose(*young) == []
    older = [each._replace(since=99) for each in young]
    assert choose(*older) == [1, 2]
