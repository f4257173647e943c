"""One host's share of a retry budget that bounds the whole fleet."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

SAFETY_FACTOR = 0.8  # on the allowance: hosts briefly disagree on their number


class RetryBudgetLimits(NamedTuple):
    """Limits the fleet's retries: ``ratio`` of its requests plus ``slack`` more.

    The limit holds for each service and in any window of ``window_s`` seconds.
    """

    ratio: float
    slack: float
    window_s: float


class FleetRetryBudget:
    """Decides on retries for one service from the requests of this host alone.

    Each host keeps the ratio for its own requests, so it holds for the whole fleet. The
    slack is divided by the number of hosts.

    :param limits: limits on the fleet's retries
    """

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self._limits = limits
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count the first attempt of a request.

        :param now: seconds on the monotonic clock
        """
        self._drop_expired(now)
        self._first_attempts.append(now)

    def allows_retry(self, now: float, hosts: int) -> bool:
        """Return whether one more retry is within this host's share.

        :param now: seconds on the monotonic clock
        :param hosts: number of hosts that share the slack
        """
        self._drop_expired(now)
        share = self._limits.slack / max(1, hosts)
        allowed = self._limits.ratio * len(self._first_attempts) + share
        return len(self._retries) + 1 <= allowed * SAFETY_FACTOR

    def record_retry(self, now: float) -> None:
        """Count a retry.

        :param now: seconds on the monotonic clock
        """
        self._retries.append(now)

    def withdraw_retry(self, counted_at: float) -> None:
        """Undo the count of a retry that was not sent.

        :param counted_at: time at which it was counted
        """
        if counted_at in self._retries:
            self._retries.remove(counted_at)

    def _drop_expired(self, now: float) -> None:
        horizon = now - self._limits.window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] < horizon:
                times.popleft()
