"""The clock interface, which all code uses to read the time, and its clocks."""

from __future__ import annotations

import abc
import time
from datetime import UTC, datetime, timedelta


class Clock(abc.ABC):
    """A source of time that tests can replace."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes backwards."""

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds on the machine's monotonic clock."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the machine's wall-clock time in UTC."""
        return datetime.now(UTC)


class BootClock(SystemClock):
    """A system clock that also counts the time for which the machine is suspended."""

    def monotonic(self) -> float:
        """Return seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock for tests that advances only on request.

    :param start: wall-clock time at which it starts
    """

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = 0.0

    def monotonic(self) -> float:
        """Return the sum of the seconds passed to :meth:`advance`."""
        return self._elapsed

    def now(self) -> datetime:
        """Return the start time plus the elapsed seconds."""
        return self._start + timedelta(seconds=self._elapsed)

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: seconds to add, not negative
        """
        if seconds < 0:
            raise ValueError('a clock cannot be moved backwards')
        self._elapsed += seconds
