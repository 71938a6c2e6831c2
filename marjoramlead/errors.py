"""Exceptions of the package, and the error value that checks return."""

from typing import Final, NamedTuple

import msgspec

__all__ = (
    'DECODING_ERRORS',
    'DocumentError',
    'Fault',
    'MarjoramleadError',
    'NodeError',
    'PublishError',
    'SettingsError',
)


# What a decoder raises for bytes of another writer. Lists or objects that are
# nested too deep exceed the limit on recursion.
DECODING_ERRORS: Final = (msgspec.MsgspecError, RecursionError)


class Fault(NamedTuple):
    """An error that is returned as a value instead of being raised.

    Attributes
    ----------
    path
        Location of the error in a document, such as ``routes[2].service``;
        empty if the error concerns the whole document. Errors without a
        document have the kind of failure here, such as ``connection``.
    reason
        Description of the error, without a final period.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """Render as ``path: reason``."""
        return f'{self.path}: {self.reason}' if self.path else self.reason


class MarjoramleadError(Exception):
    """Base class of all exceptions that this package raises for its users."""


class SettingsError(MarjoramleadError):
    """Raised if a settings file is unreadable or invalid."""


class DocumentError(MarjoramleadError):
    """Raised if a document is unreadable or invalid."""


class PublishError(MarjoramleadError):
    """Raised if the publisher rejects a document or does not respond."""


class NodeError(MarjoramleadError):
    """Raised if a node does not respond, or lacks the requested item."""
