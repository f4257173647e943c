"""Structured logs of decisions: rate-limited JSON lines, written without blocking."""

from __future__ import annotations

import json
import os
from collections import deque
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking
from loguru import logger

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock

LINES_PER_S = 400  # rate limit; a host's share of 50 requests/s logs fewer lines
MAX_BUFFERED_LINES = 2000
RETRY_S = 0.05  # delay before the next write to a full pipe


class LineWriter:
    """Writes lines to a descriptor from a dedicated greenlet.

    Lines beyond the rate limit, or beyond the buffer while the reader is slow, are
    dropped and counted; a later line reports the count.

    :param descriptor: file descriptor to write to
    :param clock: clock of the process
    :param lines_per_s: rate limit, :data:`LINES_PER_S` by default
    """

    def __init__(
        self, descriptor: int, clock: Clock, lines_per_s: int = LINES_PER_S
    ) -> None:
        make_nonblocking(descriptor)
        self._descriptor = descriptor
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._line_tokens = float(lines_per_s)
        self._refilled_at = clock.monotonic()
        self._lines: deque[bytes] = deque()
        self._pending = Event()
        self.dropped = 0
        self._reported_drops = 0
        gevent.spawn(self._run)

    def put(self, line: bytes) -> None:
        """Queue a line, or drop it.

        :param line: the line without its newline
        """
        if not self._take_token():
            self.dropped += 1
            return
        self._lines.append(line)
        self._pending.set()

    def flush(self) -> None:
        """Write the queued lines until a write would block."""
        while self._lines and self._write(self._lines[0] + b'\n'):
            self._lines.popleft()

    def _take_token(self) -> bool:
        now = self._clock.monotonic()
        gained = (now - self._refilled_at) * self._lines_per_s
        self._line_tokens = min(self._lines_per_s, self._line_tokens + gained)
        self._refilled_at = now
        if self._line_tokens < 1.0 or len(self._lines) >= MAX_BUFFERED_LINES:
            return False
        self._line_tokens -= 1.0
        return True

    def _run(self) -> None:
        while True:
            self._pending.wait()
            self._pending.clear()
            self._report_dropped()
            while self._lines:
                self.flush()
                if self._lines:
                    gevent.sleep(RETRY_S)

    def _report_dropped(self) -> None:
        if self.dropped > self._reported_drops:
            count = self.dropped - self._reported_drops
            self._reported_drops = self.dropped
            self._lines.append(
                json.dumps({'event': 'lines_dropped', 'count': count}).encode()
            )

    def _write(self, data: bytes) -> bool:
        """Write a line and return whether all of it was written.

        A pipe takes lines below its atomic write size whole or not at all.
        """
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        if written < len(data):
            self._lines[0] = data[written:-1]
            return False
        return True


class _JsonSink:
    """Formats loguru's records as JSON lines.

    :param writer: writer of the lines
    :param host: host name to put in each line
    """

    def __init__(self, writer: LineWriter, host: str) -> None:
        self._writer = writer
        self._host = host

    def __call__(self, message: Any) -> None:
        record = message.record
        line = {
            'time': record['time'].isoformat(timespec='milliseconds'),
            'host': self._host,
            'level': record['level'].name,
            'event': record['message'],
            **record['extra'],
        }
        if record['exception'] is not None:
            line['exception'] = str(message).rstrip().splitlines()[-1]
        self._writer.put(json.dumps(line, default=str).encode())


def configure_log(writer: LineWriter, host: str, level: str = 'INFO') -> None:
    """Send all log records to a writer as JSON lines.

    :param writer: writer of the lines
    :param host: host name to put in each line
    :param level: minimum level of the records
    """
    logger.remove()
    logger.add(
        _JsonSink(writer, host),
        level=level,
        format='{message}',
        backtrace=False,
        diagnose=False,
    )


def log_event(event: str, **fields: Any) -> None:
    """Log a decision or a change of the process's state.

    :param event: name of the event
    :param fields: the decision's inputs, their age or version, and the outcome
    """
    logger.bind(**fields).info(event)


def log_warning(event: str, **fields: Any) -> None:
    """Log something that an operator may have to act on.

    :param event: name of the event
    :param fields: details of the event
    """
    logger.bind(**fields).warning(event)
