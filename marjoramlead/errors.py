"""Every exception of the package, and the fault that a check returns."""

from typing import NamedTuple

__all__ = (
    'DocumentError',
    'Fault',
    'MarjoramleadError',
    'NodeError',
    'PublishError',
    'SettingsError',
)


class Fault(NamedTuple):
    """One reason why a document is refused.

    Attributes
    ----------
    path
        Where in the document, such as ``routes[2].service``.
    reason
        What is wrong there, in one clause.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        """Render as ``path: reason``."""
        return f'{self.path}: {self.reason}' if self.path else self.reason


class MarjoramleadError(Exception):
    """Base of all errors that a user of this package may see."""


class SettingsError(MarjoramleadError):
    """The settings of a node cannot be used."""


class DocumentError(MarjoramleadError):
    """A document cannot be published."""


class PublishError(MarjoramleadError):
    """The place that operators publish to refused a document."""


class NodeError(MarjoramleadError):
    """A node's admin port gave no usable answer."""
