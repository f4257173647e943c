"""Limits on amounts per second, enforced by token buckets that may go negative."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

BURST_S = 1.0  # bucket size in seconds at the full rate


class TokenBucket:
    """Fills at a fixed rate and is charged for each call.

    For limits on output, the charge is the expected length; output beyond it is charged
    when it is reported. The balance can become negative; no call is granted until it is
    positive again.

    :param rate: tokens per second
    :param now: seconds on the monotonic clock
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._balance = 0.0
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from ``now`` on.

        :param rate: tokens per second
        :param now: seconds on the monotonic clock
        """
        self._fill(now)
        self._rate = rate

    def is_open(self, now: float) -> bool:
        """Return whether a call may be granted.

        :param now: seconds on the monotonic clock
        """
        self._fill(now)
        return self._balance > 0.0

    def opens_in_s(self, now: float) -> float:
        """Return the seconds until a call may be granted; the rate is above 0.

        :param now: seconds on the monotonic clock
        """
        self._fill(now)
        return max(0.0, -self._balance / self._rate)

    def charge(self, tokens: float, now: float) -> None:
        """Deduct tokens from the balance.

        :param tokens: number of tokens; a negative number returns them
        :param now: seconds on the monotonic clock
        """
        self._fill(now)
        self._balance -= tokens

    def _fill(self, now: float) -> None:
        gained = (now - self._filled_at) * self._rate
        self._balance = min(self._rate * BURST_S, self._balance + gained)
        self._filled_at = now


class TokenRateLimits:
    """Enforces the limits on tokens per second of several upstreams."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def set_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Replace the limits; upstreams that are not listed become unlimited.

        :param rates: tokens per second by upstream
        :param now: seconds on the monotonic clock
        """
        for name, rate in rates.items():
            if name in self._buckets:
                self._buckets[name].set_rate(rate, now)
            else:
                self._buckets[name] = TokenBucket(rate, now)
        for name in set(self._buckets) - set(rates):
            del self._buckets[name]

    def is_open(self, upstream: str, now: float) -> bool:
        """Return whether an upstream's limit allows another call.

        :param upstream: name of the upstream
        :param now: seconds on the monotonic clock
        """
        bucket = self._buckets.get(upstream)
        return bucket is None or bucket.is_open(now)

    def charge(self, upstream: str, tokens: float, now: float) -> None:
        """Charge tokens to an upstream's limit, if it has one.

        :param upstream: name of the upstream
        :param tokens: number of tokens; a negative number returns them
        :param now: seconds on the monotonic clock
        """
        bucket = self._buckets.get(upstream)
        if bucket is not None:
            bucket.charge(tokens, now)
