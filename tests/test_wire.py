from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.frames import summary_frame
from marjoramlead.peers import NodeIdentity
from marjoramlead.versions import VersionStore
from marjoramlead.wire import MAX_FRAME_BYTES, decode_frame, encode_frame

KEY = b'a key of the fleet'
FRAME = summary_frame(NodeIdentity('h', 'd', 'c', (), 1), VersionStore(), 0)
RAW = encode_frame(FRAME, KEY)


def test_frame_comes_back_as_it_was_sent():
    assert decode_frame(RAW, KEY).ok == FRAME


def test_frame_of_another_fleet_is_refused():
    assert decode_frame(RAW, b'another key').is_error()


@given(st.integers(0, len(RAW) - 1), st.integers(1, 255))
def test_any_changed_byte_is_noticed(place, change):
    changed = bytearray(RAW)
    changed[place] ^= change
    assert decode_frame(bytes(changed), KEY).is_error()


@given(st.binary(max_size=200))
def test_noise_is_refused(raw):
    assert decode_frame(raw, KEY).is_error()


def test_too_large_is_refused():
    assert decode_frame(bytes(MAX_FRAME_BYTES + 1), KEY).is_error()


def test_wrong_type_is_refused():
    wrong = {**FRAME, 'newest': 'many'}
    assert decode_frame(encode_frame(wrong, KEY), KEY).is_error()
