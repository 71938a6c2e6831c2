"""Client accounts: who a request belongs to, by the API key that it carries.

Keys are known by their digests only. This module does no I/O.
"""

from collections.abc import Iterable, Mapping, Sequence
from hashlib import sha256
from typing import Final, NamedTuple

__all__ = (
    'AUTHORIZATION',
    'AccountTable',
    'ClientAccount',
    'build_account_table',
    'digest_key',
    'find_account',
    'read_key',
)

AUTHORIZATION: Final = b'authorization'
SCHEME: Final = b'Bearer '
# Longer keys belong to no account; they are not even digested.
MAX_KEY_BYTES: Final = 1024


class ClientAccount(NamedTuple):
    """An account that clients' requests belong to.

    Attributes
    ----------
    priority
        Priority under load; None if the routes' priorities apply.
    rate_per_s, burst
        Quota over all nodes together: requests per second, and requests
        beyond that rate; a rate of 0 is no limit.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


# An account and its keys.
AccountKeys = tuple[ClientAccount, Iterable[str]]


class AccountTable(NamedTuple):
    """The client accounts of one version of the routing table.

    Attributes
    ----------
    by_digest
        Accounts by the digests of their keys.
    by_name
        The same accounts by name.
    """

    by_digest: Mapping[bytes, ClientAccount]
    by_name: Mapping[str, ClientAccount]


def digest_key(key: bytes) -> bytes:
    """Return the digest by which a key is looked up."""
    return sha256(key).digest()


def build_account_table(
    accounts: Iterable[AccountKeys],
) -> AccountTable:
    """Build the table of accounts from each account and its keys.

    Raises
    ------
    ValueError
        If a name or a key belongs to two accounts. The message has no key.
    """
    by_digest: dict[bytes, ClientAccount] = {}
    by_name: dict[str, ClientAccount] = {}
    for account, keys in accounts:
        if account.name in by_name:
            raise ValueError(f'{account.name} is named twice')
        by_name[account.name] = account
        for key in keys:
            known = by_digest.setdefault(digest_key(key.encode()), account)
            if known is not account:
                raise ValueError(
                    f'{known.name} and {account.name} have a key in common'
                )
    return AccountTable(by_digest, by_name)


def read_key(values: Sequence[bytes] | None) -> bytes | None:
    """Return the key in a request's authorization, None unless it has one.

    Parameters
    ----------
    values
        Values of all its ``Authorization`` headers. Two of them, another
        scheme and a key that cannot be one are all treated alike.
    """
    if values is None or len(values) != 1:
        return None
    authorization = values[0].strip()
    if not authorization.startswith(SCHEME):
        return None
    key = authorization.removeprefix(SCHEME)
    is_key = 0 < len(key) <= MAX_KEY_BYTES and len(key.split()) == 1
    return key if is_key else None


def find_account(
    table: AccountTable, key: bytes | None
) -> ClientAccount | None:
    """Return the account that holds a key, None if there is none."""
    return None if key is None else table.by_digest.get(digest_key(key))
