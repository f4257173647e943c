"""A clock for discrete-event simulations."""

from __future__ import annotations

import heapq
from datetime import UTC, datetime, timedelta
from typing import TYPE_CHECKING

from rosemaryseam.common.clock import Clock

if TYPE_CHECKING:
    from collections.abc import Callable

START = datetime(2026, 1, 1, tzinfo=UTC)


class SimulatedClock(Clock):
    """A clock that advances from one scheduled call to the next."""

    def __init__(self) -> None:
        self._now = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def monotonic(self) -> float:
        """Return the simulated seconds since the start."""
        return self._now

    def now(self) -> datetime:
        """Return the simulated wall time."""
        return START + timedelta(seconds=self._now)

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule a call at a simulated time.

        :param when: simulated seconds since the start
        :param call: function to call
        """
        self._number += 1
        heapq.heappush(self._calls, (max(when, self._now), self._number, call))

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay.

        :param delay_s: simulated seconds from now
        :param call: function to call
        """
        self.call_at(self._now + delay_s, call)

    def run_until(self, until: float) -> None:
        """Run the scheduled calls in order until a simulated time.

        :param until: simulated seconds since the start at which to stop
        """
        while self._calls and self._calls[0][0] <= until:
            self._now, _, call = heapq.heappop(self._calls)
            call()
        self._now = max(self._now, until)
