"""The answer to a caller, written on the caller's connection."""

from __future__ import annotations

import abc
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rosemaryseam.common.errors import ResultCode
    from rosemaryseam.router.requests import RawHeaders


class CallerGoneError(Exception):
    """The caller closed its connection before the answer was complete."""


class Reply(abc.ABC):
    """Where an answer goes; ``started`` tells whether a byte was written."""

    started = False

    @abc.abstractmethod
    def start(self, status: int, reason: bytes, headers: RawHeaders) -> None:
        """Write the head.

        :param status: the HTTP status
        :param reason: the HTTP reason phrase
        :param headers: without those of the connection
        :raises CallerGoneError: the caller is gone
        """

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Write a part of the body.

        :param data: the part
        :raises CallerGoneError: the caller is gone
        """

    @abc.abstractmethod
    def finish(self) -> None:
        """End the answer so that it is complete.

        :raises CallerGoneError: the caller is gone
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer does not look complete."""

    def refuse(
        self,
        status: int,
        code: ResultCode,
        message: str,
        *,
        retry_after_s: float | None = None,
        close: bool = False,
    ) -> None:
        """Write an answer of the router's own.

        :param status: the HTTP status
        :param code: the numbered result
        :param message: one line for a person
        :param retry_after_s: when another try makes sense
        :param close: whether the caller should use another connection next
        """
        body = json.dumps(
            {'error': {'code': int(code), 'name': code.name, 'message': message}}
        ).encode()
        headers: RawHeaders = [
            (b'Content-Type', b'application/json'),
            (b'Content-Length', str(len(body)).encode()),
        ]
        if retry_after_s is not None:
            headers.append((b'Retry-After', f'{retry_after_s:.2f}'.encode()))
        if close:
            headers.append((b'Connection', b'close'))
        self.start(status, b'', headers)
        self.write(body)
        self.finish()
