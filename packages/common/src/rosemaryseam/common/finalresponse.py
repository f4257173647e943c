"""Reads one answer of an HTTP server, and nothing of what follows it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from rosemaryseam.common.answerhead import (
    FIRST_FINAL_STATUS,
    InvalidHeadError,
    check_answer_head,
    check_head_bytes,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_HEADERS = 1000  # decoded, each takes many times its bytes


class FinalResponse(HTTPSocketResponse):
    """The answer to a request, without informational ones before it.

    The parser would go on with bytes behind the answer, as if it were an informational
    one: it would take its head from them and add their body to that of the answer.

    ``on_buffered`` is called with the number of bytes of the body that were received
    and not read.
    """

    on_buffered: Callable[[int], None] | None = None

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._status: int | None = None  # of the final answer
        super().__init__(*args, **kwargs)

    def get_code(self) -> int:
        """Return the status."""
        return super().get_code() if self._status is None else self._status

    def release(self) -> None:
        """Detach from the connection, which the exchange closes."""
        self._sock = None

    def feed(self, data: bytes) -> None:
        """Parse bytes up to the end of the answer.

        :param data: bytes as they were received
        :raises HTTPParseError: they are no answer
        :raises InvalidHeadError: neither is their head
        """
        if not self.message_begun and data and data[:1] != b'H':
            raise InvalidHeadError('not HTTP')  # the parser knows other protocols too
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._is_whole():
                raise
        if self.on_buffered is not None:
            self.on_buffered(len(self._body_buffer))

    def _is_whole(self) -> bool:
        return self._status is not None and self.message_complete

    def _on_message_begin(self) -> None:
        if self._is_whole():
            raise HTTPParseError('bytes behind the answer')
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        if self._status is None:
            self.message_complete = True  # more is read from the connection
        else:
            super()._on_message_complete()

    def _on_status(self, msg: str) -> None:
        check_head_bytes(msg.encode('latin-1', 'replace'))
        super()._on_status(msg)

    def _flush_header(self) -> None:
        if self._header_position > MAX_HEADERS:
            raise InvalidHeadError(f'more than {MAX_HEADERS} headers')
        super()._flush_header()

    def _on_headers_complete(self) -> int | bool | None:
        result = super()._on_headers_complete()
        status = super().get_code()
        check_answer_head(
            status, self.get_http_version(), self.get('transfer-encoding')
        )
        if status >= FIRST_FINAL_STATUS:
            self._status = status
        return result
