"""Read text files, and JSON with or without comments.

Errors are returned as values, except by ``load_json_object``.
"""

from pathlib import Path

import jsonc
import msgspec
from expression import Error, Ok, Result

from marjoramlead.errors import Fault, SettingsError

__all__ = ('load_json_object', 'parse_json_object', 'read_text')


def load_json_object(path: Path) -> dict[str, object]:
    """Load a settings file that holds a JSON object, with comments or not.

    Raises
    ------
    SettingsError
        If the file cannot be read or parsed; the message names the file.
    """
    parsed = read_text(path).bind(parse_json_object)
    if parsed.is_error():
        raise SettingsError(f'{path}: {parsed.error}')
    return parsed.ok


def read_text(path: Path) -> Result[str, Fault]:
    """Read a UTF-8 text file."""
    try:
        return Ok(path.read_text(encoding='utf-8'))
    except OSError as exc:
        return Error(Fault('', f'cannot be read: {exc.strerror}'))
    except UnicodeDecodeError:
        return Error(Fault('', 'is not UTF-8 text'))


def parse_json_object(text: str) -> Result[dict[str, object], Fault]:
    """Parse JSON, with comments or not, whose top-level value is an object."""
    try:
        parsed = _decode_json(text)
    except (ValueError, RecursionError) as exc:
        return Error(Fault('', f'is not JSON: {exc}'))
    if not isinstance(parsed, dict):
        return Error(Fault('', 'must be a JSON object'))
    return Ok(parsed)


def _decode_json(text: str) -> object:
    """Decode JSON with the fast decoder, which rejects comments.

    Falls back to the slower decoder, which accepts them.
    """
    try:
        return msgspec.json.decode(text)
    except (msgspec.DecodeError, RecursionError):
        return jsonc.loads(text)
