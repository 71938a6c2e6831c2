"""Contracts for a service mesh, in force on every node within seconds."""

from marjoramlead.errors import DocumentError, MarjoramleadError, SettingsError

__all__ = ('DocumentError', 'MarjoramleadError', 'SettingsError')
