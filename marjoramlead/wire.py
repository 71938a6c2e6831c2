"""Encode control frames, sealed with a keyed digest."""

from hashlib import blake2b
from hmac import compare_digest
from typing import Final

import msgspec
from expression import Error, Ok, Result

from marjoramlead.errors import Fault
from marjoramlead.generated.frame_types import Frame

__all__ = ('MAX_FRAME_BYTES', 'decode_frame', 'encode_frame')

SEAL_BYTES: Final = 16
MAX_FRAME_BYTES: Final = 2_000_000
ENCODER: Final = msgspec.msgpack.Encoder()
DECODER: Final = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame, key: bytes) -> bytes:
    """Return the seal and the MessagePack form of a frame."""
    body = ENCODER.encode(frame)
    return _seal(body, key) + body


def decode_frame(raw: bytes, key: bytes) -> Result[Frame, Fault]:
    """Read a frame whose seal, size and types are right."""
    if len(raw) > MAX_FRAME_BYTES:
        return Error(Fault('', 'frame is too large'))
    seal, body = raw[:SEAL_BYTES], raw[SEAL_BYTES:]
    if not compare_digest(seal, _seal(body, key)):
        return Error(Fault('', 'frame has a wrong seal'))
    try:
        return Ok(DECODER.decode(body))
    except msgspec.MsgspecError as exc:
        return Error(Fault('', f'frame does not decode: {exc}'))


def _seal(body: bytes, key: bytes) -> bytes:
    return blake2b(body, key=key, digest_size=SEAL_BYTES).digest()
