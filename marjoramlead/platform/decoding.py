"""Decode the records of the platform's store into the product's types.

Some names in the documents mislead. ``Service`` may be the service of a
route, of a target or of this host. ``Version`` is the version of the
configuration in ``op/config``, but of the target's software in a target's
entry. ``Kind`` states which requests may be retried. A target's ``Zone`` is
its data centre.
"""

from reprlib import repr as shorten
from typing import Final, cast

import msgspec

from marjoramlead.address import parse_address
from marjoramlead.errors import DECODING_ERRORS
from marjoramlead.events import emit
from marjoramlead.mesh_entries import (
    DecodedRecord,
    ExcludedDataCentre,
    TargetEntry,
)
from marjoramlead.platform.fields import parse_duration, require_text
from marjoramlead.platform.names import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    TARGET_PREFIX,
)
from marjoramlead.platform.routing import RouteCache, decode_routing_table
from marjoramlead.record_log import Record

__all__ = ('decode_record', 'reduce_value')

TARGET_STATES: Final = ('ready', 'draining')
TARGET_FIELDS: Final = (
    'Service',
    'Address',
    'Zone',
    'Slots',
    'State',
    'WarmupLeft',
    'born',
)
# Values of up to this size are kept as they are. The entry of a target has
# about 250 bytes.
MAX_ENTRY_BYTES: Final = 1024
# Upper bound on the slots of a target.
MAX_SLOTS: Final = 1_000_000
# Longest reason in a log line about an unreadable entry.
MAX_REASON_LENGTH: Final = 200


def decode_record(
    cache: RouteCache, record: Record, now: float
) -> DecodedRecord:
    """Decode one record of the store; return None if it names nothing to use.

    Invalid entries of targets are logged; records with an unknown key are
    ignored. A routing table that cannot be used is returned as refused.
    """
    try:
        return _decode(cache, record, now)
    except Exception as exc:  # no entry may keep others from being applied
        emit(
            'record_refused',
            key=record.key,
            revision=record.revision.number,
            era=record.revision.era,
            reason=f'{type(exc).__name__}: {exc}'[:MAX_REASON_LENGTH],
        )
    return None


def reduce_value(key: str, body: bytes) -> bytes:
    """Return what nodes use of a value, which they keep and pass on.

    Other writers may store large values under any key. One that names nothing
    to use is reduced to an empty text, which names nothing either.
    """
    if key == CONFIG_KEY or len(body) <= MAX_ENTRY_BYTES:
        return body
    if not key.startswith(TARGET_PREFIX):
        return b''
    try:
        document = msgspec.json.decode(body)
    except DECODING_ERRORS as exc:
        emit('record_refused', key=key, reason=str(exc))
        return b''
    if not isinstance(document, dict):
        return b''
    used = {name: document.get(name) for name in TARGET_FIELDS}
    reduced = msgspec.json.encode(used)
    return reduced if len(reduced) <= MAX_ENTRY_BYTES else b''


def _decode(cache: RouteCache, record: Record, now: float) -> DecodedRecord:
    if record.key.startswith(EVACUATION_PREFIX):
        return ExcludedDataCentre(record.key.removeprefix(EVACUATION_PREFIX))
    if record.key == CONFIG_KEY:
        return decode_routing_table(cache, record.body or b'')
    if record.key.startswith(TARGET_PREFIX):
        return _decode_target(record, now)
    return None


def _decode_target(record: Record, now: float) -> TargetEntry:
    document = msgspec.json.decode(cast(bytes, record.body))
    if document['State'] not in TARGET_STATES:
        raise ValueError(f'unknown State {shorten(document["State"])}')
    slots, born = document['Slots'], document.get('born', 0)
    for number in (slots, born):
        if not isinstance(number, int) or isinstance(number, bool):
            raise TypeError(f'{shorten(number)} is not an integer')
    if not 1 <= slots <= MAX_SLOTS:
        raise ValueError(
            f'Slots is {shorten(slots)}: not from 1 to {MAX_SLOTS}'
        )
    return TargetEntry(
        target_id=record.key.removeprefix(TARGET_PREFIX),
        service=require_text(document['Service']),
        address=parse_address(document['Address']),
        data_centre=require_text(document['Zone']),
        slots=slots,
        is_draining=document['State'] == 'draining',
        started_ms=born,
        warmup_left_s=parse_duration(document['WarmupLeft']),
        seen_at=now,
    )
