"""Network addresses: an IPv4 address and a port."""

from reprlib import repr as shorten
from typing import Final

__all__ = ('Address', 'parse_address')

Address = tuple[str, int]
IPV4_PARTS: Final = 4
MAX_PART: Final = 255
MAX_PORT: Final = 65_535


def parse_address(raw: object) -> Address:
    """Parse an address such as ``10.0.0.1:80``.

    Raises
    ------
    TypeError
        If the value is not a string.
    ValueError
        If the string is not an IPv4 address with a port.
    """
    if not isinstance(raw, str):
        raise TypeError(f'address {shorten(raw)} is not a string')
    host, _colon, port = raw.rpartition(':')
    parts = host.split('.')
    is_ipv4 = len(parts) == IPV4_PARTS and all(
        _is_number_up_to(part, MAX_PART) for part in parts
    )
    if not is_ipv4 or not _is_number_up_to(port, MAX_PORT):
        raise ValueError(f'{shorten(raw)} is not an IPv4 address with a port')
    return host, int(port)


def _is_number_up_to(text: str, highest: int) -> bool:
    if not (text.isascii() and text.isdigit()):
        return False
    return len(text) <= len(str(highest)) and int(text) <= highest
