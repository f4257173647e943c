"""Reads the head and the body of a WSGI request within bounds."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent.pywsgi import Input

if TYPE_CHECKING:
    from collections.abc import Iterator

SMALL_BODY_BYTES = 65_536  # read to its end also if its request is refused
PART_BYTES = 16_384  # read at a time
CHUNKED_PART_BYTES = 512  # of chunks, each of which may hold a single byte
FRAMING_PER_TURN = 512  # bytes between chunks before other greenlets get a turn


class RequestInput(Input):
    """The body of a request, which is discarded only if its rest is small."""

    @property
    def stated_length(self) -> int | None:
        """The length of the body, ``None`` if it is sent in chunks."""
        return None if self.chunked_input else self.content_length or 0

    @property
    def is_unread(self) -> bool:
        """Whether a part of the body was not read."""
        if self._chunked_input_error:
            return True
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    @property
    def is_worth_reading(self) -> bool:
        """Whether to read what is left, so that the connection can be used again."""
        if self.chunked_input or self._chunked_input_error or self.awaits_continue:
            return False
        return (self.content_length or 0) - self.position <= SMALL_BODY_BYTES

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller waits to be told to send the body."""
        return self.socket is not None

    def parts(self) -> Iterator[bytes]:
        """Yield the parts of the body; other greenlets get a turn after each.

        :raises OSError: if the body ends early or its framing is invalid
        """
        size = CHUNKED_PART_BYTES if self.chunked_input else PART_BYTES
        while part := self.read(size):
            yield part
            gevent.sleep(0)

    def _discard(self) -> None:
        """Read what is left if it is little; the connection closes otherwise."""
        if self.is_unread and self.is_worth_reading:
            self.send_100_continue_enabled = False
            for _ in self.parts():
                pass
            self.send_100_continue_enabled = True


class FramingReader:
    """Gives other greenlets turns while what is between chunks is read.

    Extensions and trailers may be long or without end. They are read byte by byte.

    :param stream: buffered stream of the connection
    """

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._count = 0

    def read(self, size: int = -1) -> bytes:
        """Read up to a number of bytes."""
        if size == 1:
            self._count += 1
            if self._count % FRAMING_PER_TURN == 0:
                gevent.sleep(0)
        return self._stream.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Read up to the end of a line."""
        return self._stream.readline(size)


class HeadTooLargeError(ValueError):
    """Raised when a head exceeds the limit on its size."""


class HeadReader:
    """Reads the lines of a head up to a limit on their total size.

    :param stream: buffered stream of the connection
    :param limit: number of bytes that may be read
    """

    def __init__(self, stream: Any, limit: int) -> None:
        self._stream = stream
        self._left = limit

    def readline(self, size: int = -1) -> bytes:
        """Read a line.

        :param size: maximum number of bytes, negative for no maximum
        :raises HeadTooLargeError: if the limit is exceeded
        :raises ValueError: if the connection ended before the head
        """
        limit = self._left + 1 if size < 0 else min(size, self._left + 1)
        line = self._stream.readline(limit)
        if not line.endswith(b'\n') and len(line) < limit:
            raise ValueError('the head is truncated')
        self._left -= len(line)
        if self._left < 0:
            raise HeadTooLargeError('the head is too large')
        return line
