"""Encode and decode control frames, authenticated by keyed BLAKE2 digests."""

from hashlib import blake2b
from hmac import compare_digest
from typing import Final

import msgspec
from expression import Error, Ok, Result

from marjoramlead.errors import DECODING_ERRORS, Fault
from marjoramlead.generated.frame_types import Frame

__all__ = ('MAX_FRAME_BYTES', 'decode_frame', 'encode_frame')

MAC_BYTES: Final = 16
MAX_FRAME_BYTES: Final = 2_000_000
ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame, key: bytes) -> bytes:
    """Serialize a frame to MessagePack, prefixed with its MAC."""
    body = ENCODER.encode(frame)
    return _compute_mac(body, key) + body


def decode_frame(raw: bytes, key: bytes) -> Result[Frame, Fault]:
    """Check the size and MAC of a received frame, then decode it."""
    if len(raw) > MAX_FRAME_BYTES:
        return Error(Fault('', 'frame is too large'))
    mac, body = raw[:MAC_BYTES], raw[MAC_BYTES:]
    if not compare_digest(mac, _compute_mac(body, key)):
        return Error(Fault('', 'frame authentication failed'))
    try:
        return Ok(DECODER.decode(body))
    except DECODING_ERRORS as exc:
        return Error(Fault('', f'invalid frame: {exc}'))


def _compute_mac(body: bytes, key: bytes) -> bytes:
    return blake2b(body, key=key, digest_size=MAC_BYTES).digest()
