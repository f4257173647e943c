"""Number of requests in flight that a brittle upstream accepts, learned from answers.

A brittle upstream crashes when it has to reject more requests within a second than it
states. A request is at risk of rejection when all batch slots may be taken. Since
rejections come at once, a request that was not rejected within
:data:`CONFIRMATION_S` was accepted.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

    from rosemaryseam.policy.engines import RequestKey

BUDGET_SHARE = 0.25  # of the stated rejections per second, spent on learning
CLOSING_SHARE = 0.5  # of the stated rejections per second, at which nothing is sent
# Time that rejections are counted. It is longer than the upstream's second, because
# reports of rejections may arrive late.
REJECTION_WINDOW_S = 1.25
CONFIRMATION_S = 0.25  # by then a rejection has arrived, also from a slow host
RISE_S = 2.0  # per request by which the room grows while nothing is rejected
DOUBLING_S = 1.0  # while the room is smaller than the number of batch slots
MAX_DOUBLINGS = 16.0  # beyond any number of batch slots
RESTART_SHARE = 0.25  # of the batch slots, after a crash or for a new dispatcher
PROBE_S = 0.5  # between two requests to an upstream that has crashed
UNUSED_S = 2.0  # after which requests of other dispatchers may be in flight unknown
DISTRUST_S = 10.0  # after a rejection while batch slots should have been free
ALIVE_S = 0.3  # an upstream that answered within this time has not crashed
RATE_WINDOW_S = 2.0  # time constant of the rate of completions
REJECTED = 'rejected'
CRASH_OUTCOMES = ('unreachable', 'crashed')


class _Placed(NamedTuple):
    """A request that may still be rejected; ``level`` counts it and those before."""

    at: float
    level: int
    at_risk: bool


class QueueRoom:
    """Decides how many requests may be in flight at one brittle upstream.

    :param slots: number of batch slots of the upstream
    :param limit: rejections per second above which it crashes
    :param now: seconds on the monotonic clock
    :param used: whether this host dispatches the upstream, and so counts its requests
    :param restarted: whether it may just have started
    """

    def __init__(
        self,
        slots: int,
        limit: float,
        now: float,
        *,
        used: bool = False,
        restarted: bool = False,
    ) -> None:
        self.limit = limit
        self._slots = max(1, slots)
        self._room = math.inf  # unknown until the first rejection
        self._changed_at = now
        self._placed: dict[RequestKey, _Placed] = {}
        self._rejections: deque[float] = deque(maxlen=64)
        self._risk_from = now + CONFIRMATION_S  # requests sent before may be rejected
        self._ramp_at = -math.inf  # start of the growth of the level without risk
        self._used_at = now if used else -math.inf
        self._distrusted_until = -math.inf
        self._answered_at = -math.inf
        self._recovering = False
        self._probe_at = now
        self._shared_at: float | None = None
        self._rate = 0.0
        self._rate_at = now
        if restarted:
            self._restart(now)

    def room(self, now: float) -> float:
        """Return the number of requests that may be in flight, infinite if unknown.

        :param now: seconds on the monotonic clock
        """
        if self._recovering:
            return self._room
        while self._room < self._slots and now - self._changed_at >= DOUBLING_S:
            self._room = min(float(self._slots), self._room * 2)
            self._changed_at += DOUBLING_S
        if self._room >= self._slots:
            self._room += max(0.0, now - self._changed_at) / RISE_S
            self._changed_at = now
        return self._room

    def adopt_room(self, room: float, now: float) -> None:
        """Use the room that another dispatcher learned, if it is smaller.

        :param room: number of requests in flight
        :param now: seconds on the monotonic clock
        """
        if 1.0 <= room < self.room(now):
            self._room, self._changed_at = room, now

    def is_open(self, in_flight: int, now: float) -> bool:
        """Return whether the upstream's only dispatcher may send a request now.

        :param in_flight: requests in flight there
        :param now: seconds on the monotonic clock
        """
        if now - self._used_at > UNUSED_S:
            self._ramp_at = now
        self._used_at = now
        if self._is_closed(now):
            return False
        if self._recovering:
            return in_flight == 0 and now >= self._probe_at
        if in_flight + 1 > self.room(now):
            return False
        if in_flight + 1 <= self._safe_level(now):
            return True
        at_risk = sum(1 for placed in self._unconfirmed(now) if placed.at_risk)
        return now >= self._risk_from and self._spent(now) + at_risk < self._budget

    def is_open_to_share(
        self, in_flight: int, share: float, now: float, rng: random.Random
    ) -> bool:
        """Return whether one of several hosts that dispatch may send a request now.

        All of their requests may be rejected at once, as the dispatcher may go on to
        use the whole room. So they have few in flight together. A share of less than
        one request is used at random times, as all hosts may begin at the same time.

        :param in_flight: requests in flight there that this host knows of
        :param share: share of the room that this host may use
        :param now: seconds on the monotonic clock
        :param rng: source of the random times
        """
        if self._is_closed(now) or self._spent(now) >= max(1.0, self._budget):
            return False
        allowance = share * min(self.room(now), self._slots, max(1.0, self._budget))
        if allowance >= 1.0:
            return in_flight + 1 <= allowance
        if self._shared_at is None:
            self._shared_at = now + rng.expovariate(max(allowance, 1e-6))
        return in_flight == 0 and now >= self._shared_at

    def completions_per_s(self, now: float) -> float:
        """Return the rate at which requests completed lately.

        :param now: seconds on the monotonic clock
        """
        return self._rate * math.exp((self._rate_at - now) / RATE_WINDOW_S)

    # Progress of requests.

    def record_placement(self, key: RequestKey, level: int, now: float) -> None:
        """Record a request that is sent to the upstream.

        :param key: key of the request
        :param level: number of requests in flight, this one included
        :param now: seconds on the monotonic clock
        """
        at_risk = level > self._safe_level(now)
        self._unconfirmed(now)
        self._placed[key] = _Placed(now, level, at_risk)
        self._probe_at = now + PROBE_S
        self._shared_at = None

    def record_accepted(self, key: RequestKey, now: float) -> None:
        """Record that the upstream began to answer a request.

        :param key: key of the request
        :param now: seconds on the monotonic clock
        """
        self._placed.pop(key, None)
        self._answered_at = now
        if self._recovering:
            self._recovering = False
            self._changed_at = now

    def record_end(
        self, key: RequestKey, outcome: str, in_flight: int, now: float
    ) -> float | None:
        """Record the end of a request; return the room if it was lowered.

        :param key: key of the request
        :param outcome: outcome of the request
        :param in_flight: requests in flight before the end
        :param now: seconds on the monotonic clock
        """
        before = self.room(now)
        if outcome == 'done':
            self.record_accepted(key, now)
            self._rate = self.completions_per_s(now) + 1.0 / RATE_WINDOW_S
            self._rate_at = now
        elif outcome == REJECTED:
            self._record_rejection(self._placed.pop(key, None), in_flight, now)
        elif outcome in CRASH_OUTCOMES:
            self._placed.pop(key, None)
            # A host that cannot reach a healthy upstream must not stop the others, but
            # the requests in flight are no longer counted.
            self._ramp_at = now
            if outcome == 'crashed' or now - self._answered_at > ALIVE_S:
                self._restart(now)
        else:
            self._placed.pop(key, None)
        return self._room if self._room < before else None

    def _record_rejection(
        self, placed: _Placed | None, in_flight: int, now: float
    ) -> None:
        level = max(1, in_flight) if placed is None else placed.level
        if placed is not None and not placed.at_risk:
            self._distrusted_until = now + DISTRUST_S
        self._rejections.append(now)
        self._answered_at = now
        self._room = max(1.0, min(self._room, level - 1.0))
        self._changed_at = now

    def _restart(self, now: float) -> None:
        self._room = max(1.0, self._slots * RESTART_SHARE)
        self._changed_at = now
        self._recovering = True

    # Risk of rejections.

    @property
    def _budget(self) -> float:
        """Rejections within the window that learning may cost."""
        return max(1.0, self.limit * BUDGET_SHARE) if self.limit >= 1 else 0.0

    def _is_closed(self, now: float) -> bool:
        return self._spent(now) >= max(1.0, self.limit * CLOSING_SHARE)

    def _spent(self, now: float) -> int:
        while self._rejections and now - self._rejections[0] > REJECTION_WINDOW_S:
            self._rejections.popleft()
        return len(self._rejections)

    def _safe_level(self, now: float) -> float:
        """Return the number of requests in flight up to which none is rejected."""
        if now < self._distrusted_until:
            return 0.0
        doublings = min(MAX_DOUBLINGS, max(0.0, (now - self._ramp_at) / DOUBLING_S))
        ramp = max(1.0, self._slots * RESTART_SHARE * 2 ** int(doublings))
        return min(ramp, self._slots, self.room(now))

    def _unconfirmed(self, now: float) -> list[_Placed]:
        """Return the requests that may still be rejected."""
        for key, placed in list(self._placed.items()):
            if now - placed.at <= CONFIRMATION_S:
                break
            del self._placed[key]
        return list(self._placed.values())
