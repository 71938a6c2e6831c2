"""Configuration distribution and request routing for a service mesh.

A node beside each target applies contracts, which define limits, within
seconds of their publication.
"""

from marjoramlead.errors import DocumentError, MarjoramleadError, SettingsError

__all__ = ('DocumentError', 'MarjoramleadError', 'SettingsError')
