"""Checks the heads of HTTP/1 answers beyond what their parsers do."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_FINAL_STATUS = 200  # those below are informational
_STATUSES = range(100, 600)
_BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
_FRAMING_HEADERS = ('content-length', 'transfer-encoding')
# Control bytes, line ends that are none, and lines that continue the one before.
_INVALID_BYTES = re.compile(rb'[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|\n[ \t]')
_END = re.compile(rb'\r?\n\r?\n')
_VERSIONS = ('HTTP/1.0', 'HTTP/1.1')


class InvalidHeadError(ValueError):
    """Raised for a head that no HTTP/1 answer has."""


def check_answer_head(
    status: int, version: str, transfer_encoding: str | list[str] | None
) -> None:
    """Check what the parsers of the clients accept and HTTP/1 does not allow.

    :param status: HTTP status
    :param version: HTTP version, as ``HTTP/1.1``
    :param transfer_encoding: value or values of the header, ``None`` without it
    :raises InvalidHeadError: the head is not one of an HTTP/1 answer
    """
    if status not in _STATUSES:
        raise InvalidHeadError(f'status {status}')
    if version not in _VERSIONS:
        raise InvalidHeadError(f'version {version}')
    if transfer_encoding is not None and (
        not isinstance(transfer_encoding, str)
        or transfer_encoding.strip().lower() != 'chunked'
    ):
        raise InvalidHeadError(f'transfer encoding {transfer_encoding}')


def check_head_bytes(data: bytes) -> None:
    """Check the bytes of a head, complete or not.

    Parsers keep control bytes in values, and join lines that begin with a blank to the
    one before.

    :param data: bytes from the status line on; those behind the empty line are ignored
    :raises InvalidHeadError: the bytes are not those of an HTTP/1 head
    """
    end = _END.search(data)
    match = _INVALID_BYTES.search(data, 0, end.start() if end else len(data) - 1)
    if match is not None:
        raise InvalidHeadError(f'{match[0]!r} in the head')


def is_framed(status: int, headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether more than the end of the connection marks the answer's end.

    :param status: HTTP status
    :param headers: names and values
    """
    return status in _BODILESS_STATUSES or any(
        name.lower() in _FRAMING_HEADERS for name, _ in headers
    )
