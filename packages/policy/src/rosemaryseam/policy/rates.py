"""Limits of tokens a second, kept by a bucket that may go into debt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

BURST_S = 1.0  # seconds of the rate that a quiet upstream saves up


class TokenBucket:
    """Fills at a rate; calls charge what they are expected to generate.

    What a call generates beyond its expectation is charged as it is reported, so the
    bucket goes into debt and nothing is granted until the debt is paid.

    :param rate: tokens a second
    :param now: seconds on the monotonic clock
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._balance = 0.0
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on.

        :param rate: tokens a second
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

    def charge(self, tokens: float, now: float) -> None:
        """Take tokens out, or put them back when negative.

        :param tokens: how many
        :param now: seconds on the monotonic clock
        """
        self._fill(now)
        self._balance -= tokens

    def _fill(self, now: float) -> None:
        gained = (now - self._filled_at) * self._rate
        self._balance = min(self._rate * BURST_S, self._balance + gained)
        self._filled_at = now


class TokenRateLimits:
    """The limits of tokens a second of several upstreams."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}

    def set_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Change which upstreams are limited, and to what.

        :param rates: tokens a second by upstream
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
        """Return whether an upstream's limit lets a call be granted.

        :param upstream: its name
        :param now: seconds on the monotonic clock
        """
        bucket = self._buckets.get(upstream)
        return bucket is None or bucket.is_open(now)

    def charge(self, upstream: str, tokens: float, now: float) -> None:
        """Charge an upstream's limit, if it has one.

        :param upstream: its name
        :param tokens: how many; negative puts them back
        :param now: seconds on the monotonic clock
        """
        bucket = self._buckets.get(upstream)
        if bucket is not None:
            bucket.charge(tokens, now)
