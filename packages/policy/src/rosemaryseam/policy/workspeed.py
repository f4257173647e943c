"""Learned work time and queue of an upstream whose requests have no prompt."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from rosemaryseam.policy.decayingmean import DecayingMean
from rosemaryseam.policy.statedwork import StatedWork

if TYPE_CHECKING:
    from collections.abc import Hashable

DEFAULT_WORK_S = 0.05  # before any upstream of the service has answered
LASTING_S = 10.0  # time constant of the lasting work time
RECENT_S = 0.5  # time constant of the present one; neighbours slow down for 0.6 s
LASTING_PRIOR = 3.0  # answers that the median of the service counts as
RECENT_PRIOR = 2.0  # answers of usual duration assumed in the recent mean
MAX_SAMPLE_FACTOR = 3.0  # of the estimate, to which one answer is limited
MAX_PRESENT_FACTOR = 4.0  # of the lasting work time, for the present one
KNOWN_ANSWERS = 4.0  # from which on estimates justify a refusal
LIMIT_GROWTH_PER_S = 2.0  # requests; a queue that was full may have grown
DRAIN_S = 1.0  # time constant of the completion rate


class WorkSpeed:
    """Learns how long the work of an answer takes on one upstream.

    The work time is the duration of an answer without its expected wait in the queue.
    A lasting average of about 10 s tells how fast the upstream is, a recent one of
    about 0.5 s whether it is slow at present.
    """

    def __init__(self) -> None:
        self._prior_s: float | None = None
        self.stated = StatedWork()
        self._lasting = DecayingMean(LASTING_S)
        self._recent = DecayingMean(RECENT_S)
        self._completions = DecayingMean(DRAIN_S)
        self._placed: dict[Hashable, tuple[int, int]] = {}  # requests ahead and slots
        self._adopted_s = 0.0
        self._adopted_at = -math.inf
        self._limit = math.inf
        self._limit_at = 0.0
        self.last_placed_at = -math.inf
        self.skipped = 0  # requests that other upstreams got since

    def set_prior(self, prior_s: float | None, now: float) -> None:
        """Set the work time that counts until enough answers were seen.

        Answers before the first one had nothing to be compared with. A few of them are
        dropped, as a single slow one would keep other requests away for long.

        :param prior_s: median of the service in seconds, ``None`` if it is not known
        :param now: seconds on the monotonic clock
        """
        if self._prior_s is None and prior_s is not None and not self.is_known(now):
            self._lasting = DecayingMean(LASTING_S)
            self._recent = DecayingMean(RECENT_S)
        self._prior_s = prior_s

    def record_placement(
        self, key: Hashable, ahead: int, slots: int, now: float
    ) -> None:
        """Record a request that was sent to the upstream.

        :param key: key of the request
        :param ahead: number of requests in flight there before it
        :param slots: number of requests that the upstream runs at a time
        :param now: seconds on the monotonic clock
        """
        self._placed[key] = (ahead, slots)
        self.last_placed_at = now
        self.skipped = 0

    def record_answer(self, key: Hashable, duration_s: float, now: float) -> None:
        """Record a complete answer.

        :param key: key of the request
        :param duration_s: time from the placement to the end, in seconds
        :param now: seconds on the monotonic clock
        """
        self._completions.add(1.0, now)
        placed = self._placed.pop(key, None)
        if placed is None:
            return  # placed by another dispatcher, so its wait is not known
        usual_s = self.lasting_s(now)
        sample_s = duration_s / (1.0 + queued_share(*placed))
        sample_s = min(
            usual_s * MAX_SAMPLE_FACTOR, max(usual_s / MAX_SAMPLE_FACTOR, sample_s)
        )
        self._recent.add(sample_s / usual_s, now)
        self._lasting.add(sample_s, now)

    def record_declined(self, key: Hashable, now: float) -> None:
        """Record that the upstream had no room for a request.

        :param key: key of the request
        :param now: seconds on the monotonic clock
        """
        ahead, slots = self._placed.pop(key, (0, 0))
        if ahead > 0:
            self._limit = min(self.queue_limit(now), max(slots, ahead))
            self._limit_at = now

    def drop(self, key: Hashable) -> None:
        """Drop a request that ended without telling anything.

        :param key: key of the request
        """
        self._placed.pop(key, None)

    def adopt(self, work_s: float, learned_at: float) -> None:
        """Use the work time that another dispatcher learned, if none is known here.

        :param work_s: lasting work time in seconds
        :param learned_at: time at which it was learned
        """
        if learned_at > self._adopted_at:
            self._adopted_s, self._adopted_at = work_s, learned_at

    def is_known(self, now: float) -> bool:
        """Return whether enough answers were seen lately, here or elsewhere.

        :param now: seconds on the monotonic clock
        """
        return (
            self._lasting.weight(now) >= KNOWN_ANSWERS
            or now - self._adopted_at < LASTING_S
        )

    def learned_at(self) -> float:
        """Return when the work time was measured or learned by another dispatcher."""
        return self._lasting.at or self._adopted_at

    def lasting_s(self, now: float) -> float:
        """Return the usual work time in seconds.

        :param now: seconds on the monotonic clock
        """
        is_adopted = now - self._adopted_at < LASTING_S
        prior_s = self._adopted_s if is_adopted else self._prior_s
        return self._lasting.mean(now, prior_s or DEFAULT_WORK_S, LASTING_PRIOR)

    def work_s(self, now: float) -> float:
        """Return the present work time in seconds.

        :param now: seconds on the monotonic clock
        """
        factor = self.stated.blend(self._recent, RECENT_PRIOR, now)
        bounded = min(MAX_PRESENT_FACTOR, max(1.0 / MAX_PRESENT_FACTOR, factor))
        return self.lasting_s(now) * bounded

    def queue_limit(self, now: float) -> float:
        """Return the number of requests in flight from which on others are declined.

        :param now: seconds on the monotonic clock
        """
        if math.isinf(self._limit):
            return self._limit
        # Whole requests, so that a full queue is tried again only after a while.
        grown = LIMIT_GROWTH_PER_S * max(0.0, now - self._limit_at)
        return self._limit + math.floor(grown)

    def completion_rate(self, now: float) -> float:
        """Return the number of answers per second.

        :param now: seconds on the monotonic clock
        """
        return self._completions.weight(now) / DRAIN_S


def queued_share(ahead: float, slots: int) -> float:
    """Return the expected wait in a queue, in work times.

    :param ahead: number of requests in flight before the request
    :param slots: number of requests that run at a time
    """
    return max(0.0, ahead + 1 - slots) / max(1, slots)
