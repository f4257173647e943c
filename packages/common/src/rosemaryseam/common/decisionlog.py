"""Structured logs: one JSON line for each decision, bounded and never blocking."""

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

LINES_PER_S = 400  # more than a host's share of requests at 50 requests a second
BUFFERED_LINES = 2000
RETRY_S = 0.05  # until a full pipe is tried again


class LineWriter:
    """Writes lines to a descriptor from a greenlet of its own.

    Lines beyond :data:`LINES_PER_S`, or beyond the buffer while the reader is slow,
    are dropped and counted; a later line tells how many.

    :param descriptor: where lines go
    :param clock: the process's clock
    :param lines_per_s: the most lines written in a second
    """

    def __init__(
        self, descriptor: int, clock: Clock, lines_per_s: int = LINES_PER_S
    ) -> None:
        make_nonblocking(descriptor)
        self._descriptor = descriptor
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._allowance = float(lines_per_s)
        self._refilled_at = clock.monotonic()
        self._lines: deque[bytes] = deque()
        self._pending = Event()
        self.dropped = 0
        self._reported = 0
        gevent.spawn(self._run)

    def put(self, line: bytes) -> None:
        """Queue a line, or drop it.

        :param line: without its line end
        """
        if not self._allow():
            self.dropped += 1
            return
        self._lines.append(line)
        self._pending.set()

    def flush(self) -> None:
        """Write what is queued as far as the reader takes it at once."""
        while self._lines and self._write(self._lines[0] + b'\n'):
            self._lines.popleft()

    def _allow(self) -> bool:
        now = self._clock.monotonic()
        gained = (now - self._refilled_at) * self._lines_per_s
        self._allowance = min(self._lines_per_s, self._allowance + gained)
        self._refilled_at = now
        if self._allowance < 1.0 or len(self._lines) >= BUFFERED_LINES:
            return False
        self._allowance -= 1.0
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
        if self.dropped > self._reported:
            count = self.dropped - self._reported
            self._reported = self.dropped
            self._lines.append(
                json.dumps({'event': 'lines_dropped', 'count': count}).encode()
            )

    def _write(self, data: bytes) -> bool:
        """Write a line whole; a pipe takes lines below its atomic size at once."""
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        if written < len(data):
            self._lines[0] = data[written:-1]
            return False
        return True


class _JsonSink:
    """Formats loguru's records.

    :param writer: takes the lines
    :param host: named in each line
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

    :param writer: takes the lines
    :param host: named in each line
    :param level: the lowest level that is written
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
    """Log a decision or a change of what the process believes.

    :param event: a short name
    :param fields: the inputs that decided it, their age or version, and the outcome
    """
    logger.bind(**fields).info(event)


def log_warning(event: str, **fields: Any) -> None:
    """Log something that an operator may have to act on.

    :param event: a short name
    :param fields: what is known of it
    """
    logger.bind(**fields).warning(event)
