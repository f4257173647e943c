"""A weighted mean in which the weight of each value decays with time."""

from __future__ import annotations

import math


class DecayingMean:
    """Keeps a mean over about the last ``time_constant_s`` seconds.

    ``at`` is the time of the latest value.

    :param time_constant_s: time after which the weight of a value is 1/e
    """

    __slots__ = ('_time_constant_s', '_total', '_weight', 'at')

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._weight = 0.0
        self._total = 0.0
        self.at = 0.0

    def add(self, value: float, now: float, weight: float = 1.0) -> None:
        """Add a value.

        :param value: value to add
        :param now: seconds on the monotonic clock
        :param weight: weight of the value
        """
        decay = self._decay(now)
        self._weight = self._weight * decay + weight
        self._total = self._total * decay + weight * value
        self.at = max(self.at, now)

    def weight(self, now: float) -> float:
        """Return the total weight of the values.

        :param now: seconds on the monotonic clock
        """
        return self._weight * self._decay(now)

    def total(self, now: float) -> float:
        """Return the sum of the weighted values.

        :param now: seconds on the monotonic clock
        """
        return self._total * self._decay(now)

    def mean(self, now: float, prior: float, prior_weight: float) -> float:
        """Return the mean of the values and of a prior value.

        :param now: seconds on the monotonic clock
        :param prior: prior value, to which the mean returns without values
        :param prior_weight: weight of the prior value, above 0
        """
        decay = self._decay(now)
        total = self._total * decay + prior * prior_weight
        return total / (self._weight * decay + prior_weight)

    def _decay(self, now: float) -> float:
        if self._weight == 0.0 or now <= self.at:
            return 1.0
        return math.exp((self.at - now) / self._time_constant_s)
