"""The settings of the operators' command."""

from __future__ import annotations

import pathlib
from typing import Annotated, NamedTuple

from pydantic import Field

from rosemaryseam.common.addresses import AddressText
from rosemaryseam.common.documents import (
    DocumentFaultsError,
    parse_document,
    validate_document,
)
from rosemaryseam.common.errors import ResultCode, SettingsError

Seconds = Annotated[float, Field(gt=0.0, le=600.0)]


class OperatorSettings(NamedTuple):
    """Where the platform and the hosts are. ``hosts`` maps names to admin ports."""

    key_value: AddressText
    hosts: dict[str, AddressText]
    admin_token: Annotated[str, Field(min_length=8)]
    author: str = 'operator'
    timeout_s: Seconds = 2.0


def load_operator_settings(path: str) -> OperatorSettings:
    """Read and check a settings file.

    :param path: the YAML file
    :raises SettingsError: the message names file, key and fault in one line
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        return validate_document(parse_document(text), OperatorSettings)
    except (OSError, UnicodeDecodeError) as exc:
        reason = getattr(exc, 'strerror', None) or 'not UTF-8'
        message = f'{path}: {reason}'
        raise SettingsError(message, ResultCode.SETTINGS_FILE_MISSING) from exc
    except DocumentFaultsError as exc:
        raise SettingsError(f'{path}: {exc.faults[0]}') from exc
