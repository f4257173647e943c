"""Splits a text/event-stream body into events."""

from __future__ import annotations

from typing import NamedTuple

MAX_END_BYTES = 4  # of the empty line that ends an event
MAX_EVENT_BYTES = 1_000_000  # bounds the memory that an unterminated event uses


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

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._buffer)

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
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError('an event does not end')
        return events


def _find_end(buffer: bytearray, start: int) -> int:
    """Return the index after the empty line that ends an event, or -1."""
    plain = buffer.find(b'\n\n', start)
    crlf = buffer.find(b'\r\n\r\n', start)
    if plain < 0 and crlf < 0:
        return -1
    if crlf < 0 or 0 <= plain < crlf:
        return plain + 2
    return crlf + 4


def _find_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            return line[3:].strip()
    return None
