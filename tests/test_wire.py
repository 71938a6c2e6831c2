from hypothesis import given
from hypothesis import strategies as st

from marjoramlead.frames import summary_frame
from marjoramlead.peers import NodeIdentity
from marjoramlead.versions import VersionStore
from marjoramlead.wire import MAX_FRAME_BYTES, decode_frame, encode_frame

KEY = b'a key of the fleet'
FRAME = summary_frame(NodeIdentity('h', 'd', 'c', (), 1), VersionStore(), 0)
RAW = encode_frame(FRAME, KEY)


def test_decoding_restores_the_frame():
    assert decode_frame(RAW, KEY).ok == FRAME


def test_frame_with_another_key_is_rejected():
    assert decode_frame(RAW, b'another key').is_error()


@given(st.integers(0, len(RAW) - 1), st.integers(1, 255))
def test_frame_with_any_changed_byte_is_rejected(position, change):
    changed = bytearray(RAW)
    changed[position] ^= change
    assert decode_frame(bytes(changed), KEY).is_error()


@given(st.binary(max_size=200))
def test_random_bytes_are_rejected(raw):
    assert decode_frame(raw, KEY).is_error()


def test_oversized_frame_is_rejected():
    assert decode_frame(bytes(MAX_FRAME_BYTES + 1), KEY).is_error()


def test_field_of_wrong_type_is_rejected():
    invalid = {**FRAME, 'newest': 'many'}
    assert decode_frame(encode_frame(invalid, KEY), KEY).is_error()
