"""Read and check the settings of a node."""

from pathlib import Path
from typing import cast

from expression import Error, Ok, Result

from marjoramlead.documents import schema_fault
from marjoramlead.errors import Fault, SettingsError
from marjoramlead.generated import settings_validator
from marjoramlead.generated.settings_types import SettingsDocument
from marjoramlead.parsing import parse_object, read_text

__all__ = ('load_settings',)


def load_settings(path: Path) -> SettingsDocument:
    """Read the settings file of a node.

    Raises
    ------
    SettingsError
        Names the file, the path within it and the reason.
    """
    text = read_text(path)
    if text.is_error():
        raise SettingsError(f'{path}: {text.error}')
    settings = parse_object(text.ok).bind(_check)
    if settings.is_error():
        raise SettingsError(f'{path}: {settings.error}')
    return settings.ok


def _check(parsed: dict[str, object]) -> Result[SettingsDocument, Fault]:
    fault = schema_fault(settings_validator.validate, parsed)
    if fault is not None:
        return Error(fault)
    settings = cast(SettingsDocument, parsed)
    ports = list(settings['ports'].values())
    if len(set(ports)) < len(ports):
        return Error(Fault('ports', 'must all differ'))
    return Ok(settings)
