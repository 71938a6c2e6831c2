"""Load and validate the settings of a node."""

from pathlib import Path
from typing import cast

from expression import Error, Ok, Result

from marjoramlead.documents import find_schema_fault
from marjoramlead.errors import Fault, SettingsError
from marjoramlead.generated import settings_validator
from marjoramlead.generated.settings_types import SettingsDocument
from marjoramlead.parsing import load_json_object

__all__ = ('load_settings',)


def load_settings(path: Path) -> SettingsDocument:
    """Load and validate the settings file of a node.

    Raises
    ------
    SettingsError
        If the settings are invalid. The message names the file, the path
        within it and the reason.
    """
    settings = _validate(load_json_object(path))
    if settings.is_error():
        raise SettingsError(f'{path}: {settings.error}')
    return settings.ok


def _validate(parsed: dict[str, object]) -> Result[SettingsDocument, Fault]:
    fault = find_schema_fault(settings_validator.validate, parsed)
    if fault is not None:
        return Error(fault)
    settings = cast(SettingsDocument, parsed)
    ports = list(settings['ports'].values())
    if len(set(ports)) < len(ports):
        return Error(Fault('ports', 'must all differ'))
    return Ok(settings)
