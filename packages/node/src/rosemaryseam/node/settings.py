"""Settings of a node with their types, bounds and defaults."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from rosemaryseam.common.addresses import AddressText
from rosemaryseam.common.catalogue import Name
from rosemaryseam.common.settings import read_settings

Seconds = Annotated[float, Field(gt=0.0, le=3600.0)]
Bytes = Annotated[int, Field(ge=1024, le=1_000_000_000)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]


class LogSettings(NamedTuple):
    """Level and format of the log."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    format: Literal['text', 'json'] = 'text'


class Bounds(NamedTuple):
    """Limits on the time and memory that callers can occupy.

    ``memory_bytes`` limits the memory that all callers occupy together. ``body_s`` and
    ``head_s`` limit the time to receive a request, ``send_s`` each wait for a caller to
    read a part of its answer. ``queue_length`` limits the waiting requests of a
    partition, ``kept_answer_bytes`` an answer kept for duplicates.
    """

    memory_bytes: Bytes = 64_000_000
    head_bytes: Bytes = 32_768

    body_bytes: Bytes = 4_000_000
    body_s: Seconds = 10.0
    head_s: Seconds = 10.0
    idle_connection_s: Seconds = 75.0
    send_s: Seconds = 10.0
    connections: Count = 10_000
    queue_length: Count = 2_000
    kept_answer_bytes: Bytes = 65_536


class Timing(NamedTuple):
    """Timeouts and intervals in seconds.

    A peer is unreachable after ``silence_s`` without a heartbeat. A grant is accepted
    within ``grant_ttl_s`` of the last grant request, which is resent every
    ``resend_s``. Each waiting class with a floor is served once in ``starvation_s``. A
    leaving host accepts connections for ``drain_s``.
    """

    heartbeat_s: Seconds = 0.2
    silence_s: Seconds = 1.0
    lease_s: Seconds = 1.0
    grant_ttl_s: Seconds = 1.0
    resend_s: Seconds = 0.25
    starvation_s: Seconds = 5.0
    key_value_s: Seconds = 1.0
    catalogue_poll_s: Seconds = 5.0
    catalogue_watch_s: Seconds = 30.0
    host_list_poll_s: Seconds = 1.0
    load_report_poll_s: Seconds = 0.5
    upstream_connect_s: Seconds = 1.0
    upstream_first_byte_s: Seconds = 15.0
    upstream_between_bytes_s: Seconds = 5.0
    upstream_cancel_s: Seconds = 5.0
    drain_s: Seconds = 2.0


class Settings(NamedTuple):
    """All settings of a node.

    ``peer_advertise`` is the address under which other hosts reach ``peer_listen``, if
    the two differ.
    """

    host: Name
    zone: Name
    listen: AddressText
    peer_listen: AddressText
    admin_listen: AddressText
    admin_token: Annotated[str, Field(min_length=8)]
    key_value: AddressText
    host_list: AddressText
    peer_advertise: AddressText | None = None
    region: Name = 'home'
    seeds: tuple[AddressText, ...] = ()
    log: LogSettings = LogSettings()
    bounds: Bounds = Bounds()
    timing: Timing = Timing()


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    :param path: path of the YAML file
    :raises SettingsError: the file is missing or invalid; its one-line message names
        the file, the key and the error
    """
    return read_settings(path, Settings)
