"""Reads YAML settings files into named tuples and reports errors in one line."""

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
    """Return the text of a UTF-8 file.

    :param path: path of the file
    :raises SettingsError: the file cannot be read
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8'
        message = f'{path}: {reason}'
        raise SettingsError(message, ResultCode.SETTINGS_FILE_MISSING) from exc


def read_settings(path: str, schema: type[T]) -> T:
    """Read and check a settings file.

    :param path: path of the YAML file
    :param schema: the named tuple class that declares keys, types and bounds
    :raises SettingsError: the message names file, line, key and fault in one line
    """
    text = read_text(path)
    try:
        return validate_document(parse_document(text), schema)
    except DocumentFaultsError as exc:
        fault = exc.faults[0]
        code = ResultCode.SETTINGS_INVALID
        if 'IP address' in fault.message:
            code = ResultCode.ADDRESS_INVALID
        raise SettingsError(f'{path}: {fault}', code) from exc
