"""Settings of the operators' command."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from pydantic import Field

from rosemaryseam.common.addresses import AddressText
from rosemaryseam.common.settings import read_settings

Seconds = Annotated[float, Field(gt=0.0, le=600.0)]


class OperatorSettings(NamedTuple):
    """Addresses of the key-value service and the hosts, and credentials for the hosts.

    ``hosts`` maps the names of hosts to their admin ports. ``author`` is recorded with
    each change of the catalogue.
    """

    key_value: AddressText
    hosts: dict[str, AddressText]
    admin_token: Annotated[str, Field(min_length=8)]
    author: str = 'operator'
    timeout_s: Seconds = 2.0


def load_operator_settings(path: str) -> OperatorSettings:
    """Read and check a settings file.

    :param path: path of the YAML file
    :raises SettingsError: the message names file, line, key and fault in one line
    """
    return read_settings(path, OperatorSettings)
