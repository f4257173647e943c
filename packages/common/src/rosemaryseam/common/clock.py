"""The clock interface through which all code reads time."""

from __future__ import annotations

import abc
import time
from datetime import UTC, datetime, timedelta


class Clock(abc.ABC):
    """A source of time that tests can replace."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    @abc.abstractmethod
    def now(self) -> datetime:
        """Return the wall time in UTC."""


class SystemClock(Clock):
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Return seconds on the machine's monotonic clock."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the machine's wall time in UTC."""
        return datetime.now(UTC)


class BootClock(SystemClock):
    """The clock of a machine that may be suspended: suspended time counts too."""

    def monotonic(self) -> float:
        """Return seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when it is told to."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = 0.0

    def monotonic(self) -> float:
        """Return the seconds that :meth:`advance` has added up."""
        return self._elapsed

    def now(self) -> datetime:
        """Return the start time plus the elapsed seconds."""
        return self._start + timedelta(seconds=self._elapsed)

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far to move, not negative
        """
        if seconds < 0:
            raise ValueError('a clock never goes back')
        self._elapsed += seconds
