"""Addresses of processes: an IP number and a port."""

__all__ = ('Address', 'parse_address')

Address = tuple[str, int]
IPV4_DOTS = 3


def parse_address(raw: object) -> Address:
    """Read an address such as ``10.0.0.1:80``.

    Raises
    ------
    TypeError
        If it is no text.
    ValueError
        If it is no IP number with a port.
    """
    if not isinstance(raw, str):
        raise TypeError(f'{raw!r} is no address')
    host, _colon, port = raw.rpartition(':')
    if host.count('.') != IPV4_DOTS:
        raise ValueError(f'{raw!r} is no address')
    return host, int(port)
