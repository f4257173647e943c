"""The answer to one request on a caller's connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11

from rosemaryseam.router.reply import CallerGoneError, Reply

if TYPE_CHECKING:
    from rosemaryseam.router.callerconnection import CallerConnection
    from rosemaryseam.router.requests import RawHeaders


class ConnectionReply(Reply):
    """Writes the answer to one request on the caller's connection.

    :param conn: connection of the caller
    """

    def __init__(self, conn: CallerConnection) -> None:
        self._conn = conn
        self.started = False

    def start(
        self,
        status: int,
        reason: bytes,
        headers: RawHeaders,
        *,
        ends_connection: bool = False,
    ) -> None:
        """Write the status line and the headers."""
        self.started = True
        self.framing = self._conn.begin_answer(headers, ends_connection)
        if self._conn.must_close():
            names = {name.lower() for name, _ in headers}
            if b'connection' not in names:
                headers = [*headers, (b'Connection', b'close')]
        self._conn.send(
            h11.Response(status_code=status, reason=reason, headers=headers)
        )

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if data:
            self._conn.send(h11.Data(data=data))

    def finish(self) -> None:
        """Write the end of the body, which completes the answer."""
        self._conn.send(h11.EndOfMessage())
        self._conn.end_answer()

    def abort(self) -> None:
        """Close the connection so that the caller sees an incomplete answer."""
        raise CallerGoneError('the answer was aborted before its end')

    def reserve(self, count: int) -> bool:
        """Reserve memory for parts of the answer that are not written yet."""
        return self._conn.reserve(count)
