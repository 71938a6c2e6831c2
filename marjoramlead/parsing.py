"""Read text files, and JSON with comments, without raising."""

from pathlib import Path

import jsonc
import msgspec
from expression import Error, Ok, Result

from marjoramlead.errors import Fault, SettingsError

__all__ = ('load_json_object', 'parse_json_object', 'read_text')


def load_json_object(path: Path) -> dict[str, object]:
    """Read a settings file.

    Raises
    ------
    SettingsError
        Names the file and the reason.
    """
    parsed = read_text(path).bind(parse_json_object)
    if parsed.is_error():
        raise SettingsError(f'{path}: {parsed.error}')
    return parsed.ok


def read_text(path: Path) -> Result[str, Fault]:
    """Read a text file."""
    try:
        return Ok(path.read_text(encoding='utf-8'))
    except OSError as exc:
        return Error(Fault('', f'cannot be read: {exc.strerror}'))
    except UnicodeDecodeError:
        return Error(Fault('', 'is not UTF-8 text'))


def parse_json_object(text: str) -> Result[dict[str, object], Fault]:
    """Read JSON with comments whose outermost value is an object."""
    try:
        parsed = _decode_json(text)
    except (ValueError, RecursionError) as exc:
        return Error(Fault('', f'is not JSON: {exc}'))
    if not isinstance(parsed, dict):
        return Error(Fault('', 'must be a JSON object'))
    return Ok(parsed)


def _decode_json(text: str) -> object:
    """Read plain JSON the fast way, and all else with comments."""
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return jsonc.loads(text)
