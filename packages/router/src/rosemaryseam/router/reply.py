"""Interface for writing the answer to a caller."""

from __future__ import annotations

import abc
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rosemaryseam.common.errors import ResultCode
    from rosemaryseam.router.requests import Framing, RawHeaders


class CallerGoneError(Exception):
    """Raised when the connection to a caller ends before the answer is complete."""


class CutOffError(CallerGoneError):
    """Raised in a request whose answer can't end before the process does."""


class Reply(abc.ABC):
    """Writes one answer.

    ``started`` is true once the head was written. ``framing`` is how the end of the
    body is marked for the caller then.
    """

    started = False
    framing: Framing | None = None

    @abc.abstractmethod
    def start(
        self,
        status: int,
        reason: bytes,
        headers: RawHeaders,
        *,
        ends_connection: bool = False,
    ) -> None:
        """Write the status line and the headers.

        :param status: HTTP status
        :param reason: HTTP reason phrase
        :param headers: headers without hop-by-hop headers
        :param ends_connection: whether to mark the end of a body without a length by
            that of the connection, as nothing else says where it is
        :raises CallerGoneError: if the caller has closed the connection
        """

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Write a part of the body.

        :param data: bytes of the part
        :raises CallerGoneError: if the caller has closed the connection
        """

    @abc.abstractmethod
    def finish(self) -> None:
        """Write the end of the body, which completes the answer.

        :raises CallerGoneError: if the caller has closed the connection
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete answer."""

    def reserve(self, count: int) -> bool:
        """Reserve memory for parts of the answer that are not written yet.

        :param count: number of bytes
        :returns: whether there is room for them
        """
        return True

    def refuse(
        self,
        status: int,
        code: ResultCode,
        message: str,
        *,
        retry_after_s: float | None = None,
        close: bool = False,
    ) -> None:
        """Write a complete error answer with a JSON body.

        :param status: HTTP status
        :param code: result code for the body
        :param message: one line of text for the body
        :param retry_after_s: delay in seconds after which the caller can retry
        :param close: whether the answer asks the caller to close the connection
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
