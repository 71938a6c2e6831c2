"""Network addresses: an IPv4 address and a port."""

__all__ = ('Address', 'parse_address')

Address = tuple[str, int]
IPV4_DOT_COUNT = 3


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
        raise TypeError(f'address {raw!r} is not a string')
    host, _colon, port = raw.rpartition(':')
    if host.count('.') != IPV4_DOT_COUNT:
        raise ValueError(f'{raw!r} is not an IPv4 address with a port')
    return host, int(port)
