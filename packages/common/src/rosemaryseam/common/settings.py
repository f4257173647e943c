"""Settings files: YAML read into a named tuple, or one line that names the fault."""

from __future__ import annotations

import pathlib
from typing import TypeVar

from rosemaryseam.common.documents import (
    DocumentFaultsError,
    parse_document,
    validate_document,
)
from rosemaryseam.common.errors import ResultCode, SettingsError

T = TypeVar('T')


def read_text(path: str) -> str:
    """Return a file's text.

    :param path: the file
    :raises SettingsError: the file cannot be read
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8'
        message = f'{path}: {reason}'
        raise SettingsError(message, ResultCode.SETTINGS_FILE_MISSING) from exc


def read_settings(path: str, shape: type[T]) -> T:
    """Read and check a settings file.

    :param path: the YAML file
    :param shape: the named tuple class that declares keys, types and bounds
    :raises SettingsError: the message names file, key and fault in one line
    """
    text = read_text(path)
    try:
        return validate_document(parse_document(text), shape)
    except DocumentFaultsError as exc:
        fault = exc.faults[0]
        code = ResultCode.SETTINGS_INVALID
        if 'IP number' in fault.message:
            code = ResultCode.ADDRESS_INVALID
        raise SettingsError(f'{path}: {fault}', code) from exc
