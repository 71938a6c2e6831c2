"""Recognition of clients that return after a refusal."""

from marjoramlead.platform.names import parent_request_id
from marjoramlead.request_origin import (
    MAX_REMEMBERED,
    FirstAttempt,
    RefusedAttempts,
    find_first_attempt,
    remember_refusal,
)

KEY = (b'GET', 'shop.example', b'/a')
NOW = 10


def key_of(number):
    return b'GET', 'shop.example', b'/%d' % number


def test_returning_client_is_recognised_by_its_deadline():
    refused = RefusedAttempts()
    first = FirstAttempt(deadline=11.2, soft_deadline=10.3, return_at=10.1)
    remember_refusal(refused, KEY, first, NOW)
    assert find_first_attempt(refused, KEY, 11.25) == first
    assert find_first_attempt(refused, KEY, 11.7) is None
    assert find_first_attempt(refused, (b'POST', *KEY[1:]), 11.2) is None


def test_number_of_remembered_refusals_is_limited():
    refused = RefusedAttempts()
    for number in range(MAX_REMEMBERED + 5):
        remember_refusal(refused, key_of(number), FirstAttempt(11, 10, 10), NOW)
    assert len(refused.by_key) == MAX_REMEMBERED


def test_refusals_are_forgotten_at_their_deadline():
    refused = RefusedAttempts()
    remember_refusal(refused, key_of(0), FirstAttempt(40, 10, 10), NOW)
    remember_refusal(refused, key_of(1), FirstAttempt(11, 10, 10), NOW)
    remember_refusal(refused, key_of(2), FirstAttempt(11, 10, 10), NOW)
    remember_refusal(refused, key_of(2), FirstAttempt(13, 12, 12), 10.5)
    remember_refusal(refused, KEY, FirstAttempt(12, 11, 11), 11)
    assert list(refused.by_key) == [key_of(0), key_of(2), KEY]


def test_memory_is_limited_while_a_client_is_refused_again_and_again():
    refused = RefusedAttempts()
    for number in range(5 * MAX_REMEMBERED):
        attempt = FirstAttempt(11 + number, 10, 10)
        remember_refusal(refused, key_of(number % 2), attempt, NOW)
    assert len(refused.deadlines) <= 2 * MAX_REMEMBERED
    later = 11 + 5 * MAX_REMEMBERED
    remember_refusal(refused, KEY, FirstAttempt(later + 1, 10, 10), later)
    assert list(refused.by_key) == [KEY]


def test_call_names_the_request_that_its_target_runs():
    assert parent_request_id('9c41d07be2a35f68') == ''
    assert parent_request_id('9c41d07be2a35f68.77') == '9c41d07be2a35f68'
    assert parent_request_id('9c41.77.b') == '9c41.77'


# Memory: 4,000 refused requests with URIs of 15 KB took 60 MB.
def test_long_keys_are_told_apart_but_not_kept():
    refused = RefusedAttempts()
    first = FirstAttempt(deadline=11.2, soft_deadline=10.3, return_at=10.1)
    key = (b'GET', 'shop.example', bytes(9_999))
    remember_refusal(refused, key, first, NOW)
    assert find_first_attempt(refused, key, 11.2) == first
    longer = (b'GET', 'shop.example', bytes(10_000))
    assert find_first_attempt(refused, longer, 11.2) is None
    assert sum(map(len, next(iter(refused.by_key)))) < 100
