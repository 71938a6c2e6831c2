"""Check the values of fields in the platform's documents."""

from math import isfinite
from reprlib import repr as shorten
from typing import Final

__all__ = ('parse_duration', 'require_count', 'require_text', 'require_weight')

MS_PER_SECOND: Final = 1000


def parse_duration(raw: object) -> float:
    """Convert a number with its unit, such as ``1500ms``, to seconds.

    Raises
    ------
    TypeError
        If it is not a string.
    ValueError
        If the number is invalid, or the unit is neither ``ms`` nor ``s``.
    """
    if not isinstance(raw, str):
        raise TypeError(f'{shorten(raw)} is not a string')
    if raw.endswith('ms'):
        seconds = float(raw[:-2]) / MS_PER_SECOND
    elif raw.endswith('s'):
        seconds = float(raw[:-1])
    else:
        raise ValueError(
            f'duration {shorten(raw)} has no unit: expected ms or s'
        )
    if not isfinite(seconds) or seconds < 0:
        raise ValueError(f'{shorten(raw)} is not a duration')
    return seconds


def require_text(raw: object) -> str:
    """Return a string that is not empty, or raise ``TypeError``."""
    if not isinstance(raw, str) or not raw:
        raise TypeError(f'{shorten(raw)} is not a non-empty string')
    return raw


def require_count(raw: object) -> int:
    """Return an integer of at least 1, or raise ``TypeError``."""
    if not isinstance(raw, int) or isinstance(raw, bool) or raw < 1:
        raise TypeError(f'{shorten(raw)} is not a positive integer')
    return raw


def require_weight(raw: object) -> float:
    """Return a finite number of at least 0.

    Raises
    ------
    TypeError
        If it is not a number.
    ValueError
        If it is negative, infinite, too large or not a number.
    """
    if isinstance(raw, bool) or not isinstance(raw, int | float):
        raise TypeError(f'{shorten(raw)} is not a number')
    try:
        weight = float(raw)
    except OverflowError as exc:
        raise ValueError('the number is too large') from exc
    if not isfinite(weight) or weight < 0:
        raise ValueError(f'{shorten(raw)} is not a number from 0 on')
    return weight
