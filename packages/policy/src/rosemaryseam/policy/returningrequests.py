"""Recognizes refused requests that come back when they were told to."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MAX_REFUSALS = 2000  # remembered; the oldest are dropped first
EARLY_SHARE = 0.9  # of the wait; callers' clocks and the network vary a little
RETURN_WINDOW_S = 3.0  # after the stated time, in which a return takes precedence
MAX_COUNTED_REFUSALS = 3  # of one request; more do not raise its precedence further


class _Refusal(NamedTuple):
    """When a refused request may return, until when, and how often it was refused."""

    due_at: float
    expires_at: float
    count: int


class ReturningRequests:
    """Remembers refusals, so that a caller who waited is not refused once more.

    A request that comes back too early is treated like a new one, and the time at which
    it was told to return stays as it was. Repeating at once thus gains nothing.
    """

    def __init__(self) -> None:
        self._refusals: OrderedDict[int, _Refusal] = OrderedDict()

    def record_refusal(self, fingerprint: int, wait_s: float, now: float) -> None:
        """Record that a request was refused.

        :param fingerprint: digest of the request, 0 if it is not known
        :param wait_s: seconds after which the caller was told to return
        :param now: seconds on the monotonic clock
        """
        if not fingerprint:
            return
        known = self._refusals.pop(fingerprint, None)
        due_at = now + wait_s * EARLY_SHARE
        count = 1
        if known is not None and now <= known.expires_at:
            early = now < known.due_at
            due_at = max(due_at, known.due_at) if early else due_at
            count = known.count if early else known.count + 1
        self._refusals[fingerprint] = _Refusal(
            due_at, now + wait_s + RETURN_WINDOW_S, min(MAX_COUNTED_REFUSALS, count)
        )
        while len(self._refusals) > MAX_REFUSALS:
            self._refusals.popitem(last=False)

    def refusals(self, fingerprint: int, now: float) -> int:
        """Return how often a request was refused that came back as it was told.

        Returns 0 for new requests and for those that came back too early or too late.

        :param fingerprint: digest of the request, 0 if it is not known
        :param now: seconds on the monotonic clock
        """
        known = self._refusals.get(fingerprint)
        if known is None or not known.due_at <= now <= known.expires_at:
            return 0
        return known.count

    def forget(self, fingerprint: int) -> None:
        """Forget a request that was placed.

        :param fingerprint: digest of the request
        """
        self._refusals.pop(fingerprint, None)
