"""Tests that a caller who was refused in a burst and waited is not refused again.

The load is a burst of equal long prompts that exceeds the engines of a slot for some
seconds.
"""

from __future__ import annotations

import heapq
import random

import pytest

from rosemaryseam.common.addresses import Address
from rosemaryseam.experiments.simulatedclock import SimulatedClock
from rosemaryseam.router.placement import NoUpstreamError
from rosemaryseam.router.queries import Query
from rosemaryseam.router.routes import EngineProfile, Service
from rosemaryseam.router.upstreams import Upstream
from rosemaryseam.router.upstreamtracker import UpstreamTracker

SERVICE = Service('engines', '/health', 0, EngineProfile(64, 300_000, 5, True))
NAMES = ('e-0', 'e-1', 'e-2')
BURST_S = 8.0
STREAM_S = 0.5  # from the first event to the end
MAX_REFUSED_AGAIN = 0.1  # of the callers who returned as told


class Burst:
    """Callers with long prompts in front of one tracker.

    :param rate_per_s: requests per second
    :param early: whether callers return at once instead of as told
    """

    def __init__(self, rate_per_s: float, *, early: bool) -> None:
        self.clock = SimulatedClock()
        self.tracker = UpstreamTracker(self.clock, lambda _: SERVICE, random.Random(1))
        self.tracker.retain_upstreams(
            Upstream(name, 1, 'engines', Address('10.0.0.1', 1), 'a', 64)
            for name in NAMES
        )
        self.rate_per_s = rate_per_s
        self.early = early
        self.refused = {0: 0, 1: 0}  # by the number of earlier refusals
        self.asked = {0: 0, 1: 0}
        self._events: list[tuple[float, int, str, int, int]] = []

    def run(self) -> None:
        """Let the burst pass."""
        for index in range(int(BURST_S * self.rate_per_s)):
            self._add(index / self.rate_per_s, 'ask', index + 1, 0)
        while self._events:
            at, number, kind, caller, tries = heapq.heappop(self._events)
            self.clock.run_until(at)
            if kind == 'ask':
                self._ask(number, caller, tries)
            elif kind == 'first':
                self.tracker.record_first_event('h', number)
            else:
                self.tracker.record_end('h', number, 'done', STREAM_S)

    def _ask(self, number: int, caller: int, tries: int) -> None:
        now = self.clock.monotonic()
        self.asked[tries] += 1
        try:
            placement = self.tracker.place('h', query(number, caller), NAMES)
        except NoUpstreamError as exc:
            self.refused[tries] += 1
            if tries == 0:
                wait_s = 0.02 if self.early else exc.retry_after_s
                self._add(now + wait_s, 'ask', caller, 1)
            return
        first_at = now + placement.expected_first_s
        heapq.heappush(self._events, (first_at, number, 'first', caller, tries))
        heapq.heappush(
            self._events, (first_at + STREAM_S, number, 'end', caller, tries)
        )

    def _add(self, at: float, kind: str, caller: int, tries: int) -> None:
        number = 10_000 * tries + caller
        heapq.heappush(self._events, (at, number, kind, caller, tries))


def query(number: int, caller: int) -> Query:
    """Return a query for a long prompt with a target of 1.5 s."""
    parts = ((number % 4, 2500), (20_000 + number, 3800), (50_000 + number, 2900))
    return Query(
        number, f'r-{number}', 'engines', 'digest', 2, None, parts, 9200, 50, 60, 1.2,
        1.5, 5.0, 18_000, 'a', (), fingerprint=caller,
    )  # fmt: skip


@pytest.mark.parametrize('rate_per_s', [30.0, 40.0, 60.0])
def test_callers_who_return_as_told_are_rarely_refused_again(rate_per_s: float) -> None:
    """Guards against refusing a caller twice while new ones are served."""
    burst = Burst(rate_per_s, early=False)
    burst.run()
    assert burst.refused[0] > 10
    assert burst.refused[1] <= MAX_REFUSED_AGAIN * burst.asked[1]


@pytest.mark.parametrize('rate_per_s', [30.0, 40.0, 60.0])
def test_repeats_at_once_gain_nothing(rate_per_s: float) -> None:
    """Guards against callers who get ahead of others by repeating at once."""
    bursts = [Burst(rate_per_s, early=early) for early in (True, False)]
    for burst in bursts:
        burst.run()
    early, waiting = (burst.refused[1] / burst.asked[1] for burst in bursts)
    assert early > waiting + 0.3
