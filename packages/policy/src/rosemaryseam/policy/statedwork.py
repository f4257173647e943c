"""The work time that an upstream states, relative to what it usually states."""

from __future__ import annotations

import math

from rosemaryseam.policy.decayingmean import DecayingMean

USUAL_PERCENT = 100.0
USUAL_S = 10.0  # time constant of what an upstream usually states
USUAL_PRIOR = 3.0  # statements of 100 that are assumed at the start
STATED_WEIGHT = 4.0  # of a fresh statement, in measured answers
STATED_DECAY_S = 0.3  # of this weight; stated work times change many times a second
MAX_STATED_AGE_S = 1.0  # older statements tell nothing about a burst
MAX_STATED_FACTOR = 4.0  # of the usual work time


class StatedWork:
    """Keeps the latest work time that an upstream stated.

    It counts relative to what the upstream usually states: one that always states 160
    is slow, which its answers show already.
    """

    def __init__(self) -> None:
        self._usual = DecayingMean(USUAL_S)
        self._factor = 1.0
        self._stated_at = -math.inf

    def record(self, percent: float, stated_at: float) -> None:
        """Record a statement, unless a newer one is known.

        :param percent: stated work time, 100 as usual
        :param stated_at: seconds on the monotonic clock
        """
        if stated_at <= self._stated_at:
            return
        usual = self._usual.mean(stated_at, USUAL_PERCENT, USUAL_PRIOR)
        bounded = min(
            usual * MAX_STATED_FACTOR, max(usual / MAX_STATED_FACTOR, percent)
        )
        self._usual.add(bounded, stated_at)
        self._factor = bounded / usual
        self._stated_at = stated_at

    def blend(self, measured: DecayingMean, prior_weight: float, now: float) -> float:
        """Return the present factor on the work time, measured and stated.

        :param measured: mean of the measured factors
        :param prior_weight: weight of the factor 1 in the mean
        :param now: seconds on the monotonic clock
        """
        age_s = now - self._stated_at
        if age_s >= MAX_STATED_AGE_S:
            return measured.mean(now, 1.0, prior_weight)
        weight = STATED_WEIGHT * math.exp(-age_s / STATED_DECAY_S)
        prior = (prior_weight + weight * self._factor) / (prior_weight + weight)
        return measured.mean(now, prior, prior_weight + weight)
