"""Drain rate of a queue and the Retry-After delay derived from it."""

from __future__ import annotations

from collections import deque

WINDOW_S = 10.0  # of the sliding window over which grants are counted
MIN_RETRY_AFTER_S = 1.0  # also used without recent grants
MAX_RETRY_AFTER_S = 60.0


class DrainRate:
    """Measures the rate of grants over a sliding window.

    :param window_s: length of the window in seconds
    """

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._grants: deque[float] = deque()
        self._first_grant_at: float | None = None

    def record(self, now: float) -> None:
        """Count one grant.

        :param now: seconds on the monotonic clock
        """
        if self._first_grant_at is None:
            self._first_grant_at = now
        self._grants.append(now)
        self._trim(now)

    def per_second(self, now: float) -> float:
        """Return the number of grants per second over the window.

        :param now: seconds on the monotonic clock
        """
        self._trim(now)
        if self._first_grant_at is None:
            return 0.0
        span = min(self._window_s, max(1.0, now - self._first_grant_at))
        return len(self._grants) / span

    def wait_s(self, ahead: int, now: float) -> float | None:
        """Return the expected wait in seconds, or ``None`` without recent grants.

        :param ahead: number of requests that are served first
        :param now: seconds on the monotonic clock
        """
        rate = self.per_second(now)
        return None if rate <= 0.0 else ahead / rate

    def retry_after_s(self, ahead: int, now: float) -> float:
        """Return the delay in seconds after which a refused caller should retry.

        :param ahead: number of requests that are served first
        :param now: seconds on the monotonic clock
        """
        wait = self.wait_s(ahead, now)
        if wait is None:
            return MIN_RETRY_AFTER_S
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait))

    def _trim(self, now: float) -> None:
        while self._grants and self._grants[0] < now - self._window_s:
            self._grants.popleft()
