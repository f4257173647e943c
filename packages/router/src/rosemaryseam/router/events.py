"""Splits a text/event-stream body into events."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_END_BYTES = 4  # of the empty line that ends an event
MAX_EVENT_BYTES = 1_000_000  # bounds the memory that an unterminated event uses
LINE_ENDS = (b'\n', b'\r')
COMMENT = b':'

# The atomic groups keep a CRLF from matching as two line ends.
_END = re.compile(rb'(?>\r\n|\n|\r)(?>\r\n|\n|\r)')


class Event(NamedTuple):
    """One event of a stream.

    ``data`` holds the raw bytes with the terminating empty line. ``id`` is ``None``
    when the event has no ``id`` field.
    """

    data: bytes
    id: bytes | None


class EventTooLongError(Exception):
    """Raised when an event does not end within :data:`MAX_EVENT_BYTES`."""


class EventSplitter:
    """Splits a byte stream into complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.event_count = 0

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def inside_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event or a line."""
        if not self._buffer:
            return False
        if not self._buffer.endswith(LINE_ENDS):
            return True
        lines = self._buffer.splitlines()
        return any(line and not line.startswith(COMMENT) for line in lines)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete after new bytes were added.

        :param data: next bytes of the stream
        :raises EventTooLongError: if the incomplete event exceeds the limit
        """
        buffer = self._buffer
        searched = max(0, len(buffer) - MAX_END_BYTES + 1)
        buffer += data
        events = []
        start = 0
        while (end := _find_end(buffer, max(start, searched))) >= 0:
            event = bytes(buffer[start:end])
            events.append(Event(event, _find_id(event)))
            start = end
        del buffer[:start]
        self.event_count += len(events)
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError('an event does not end')
        return events


def _find_end(buffer: bytearray, start: int) -> int:
    """Return the index after the empty line that ends an event, or -1."""
    match = _END.search(buffer, start)
    return match.end() if match else -1


def _find_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip()
    return None
