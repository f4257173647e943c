"""Checks the heads of HTTP/1 answers beyond what their parsers do."""

from __future__ import annotations

FIRST_FINAL_STATUS = 200  # those below are informational
_STATUSES = range(100, 600)
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
