"""One host's share of a retry budget that a whole fleet must keep."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

SAFETY = 0.8  # of the allowed repeats; hosts disagree for moments on their number


class RetryBudgetLimits(NamedTuple):
    """What the fleet may repeat: ``ratio`` of its requests and ``slack`` more.

    Both hold for any ``window_s`` seconds and for each service.
    """

    ratio: float
    slack: float
    window_s: float


class FleetRetryBudget:
    """Allows repeats for one service from this host's own requests.

    The ratio is kept by each host for its own requests, so it holds for their sum. The
    slack is divided by the number of hosts.

    :param terms: what the fleet may repeat
    """

    def __init__(self, terms: RetryBudgetLimits) -> None:
        self._terms = terms
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request that was sent for the first time.

        :param now: seconds on the monotonic clock
        """
        self._forget(now)
        self._firsts.append(now)

    def allows_retry(self, now: float, hosts: int) -> bool:
        """Return whether one more repeat is within this host's share.

        :param now: seconds on the monotonic clock
        :param hosts: how many hosts share the slack
        """
        self._forget(now)
        share = self._terms.slack / max(1, hosts)
        allowed = self._terms.ratio * len(self._firsts) + share
        return len(self._repeats) + 1 <= allowed * SAFETY

    def record_retry(self, now: float) -> None:
        """Count a repeat.

        :param now: seconds on the monotonic clock
        """
        self._repeats.append(now)

    def _forget(self, now: float) -> None:
        horizon = now - self._terms.window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] < horizon:
                times.popleft()
