"""Simulates app runners and the placement of requests without a prompt on them."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.addresses import Address
from rosemaryseam.experiments.simulatedclock import SimulatedClock
from rosemaryseam.router.placement import NoUpstreamError
from rosemaryseam.router.queries import Query
from rosemaryseam.router.routes import Service
from rosemaryseam.router.upstreams import Upstream
from rosemaryseam.router.upstreamtracker import UpstreamTracker

if TYPE_CHECKING:
    from collections.abc import Sequence

SLOTS = 6
QUEUE = 24
WORK_S = (0.022, 0.045)
TARGET_S = 0.14
DEADLINE_S = 1.5


class RunnerOutcome(NamedTuple):
    """The end of a request; ``result`` is ``done``, ``declined`` or ``refused``."""

    at: float
    upstream: str
    result: str
    duration_s: float


class SimulatedRunner:
    """Runs requests in slots, with a queue beyond which it declines others.

    :param clock: simulated clock
    :param rng: source of the work times
    """

    def __init__(self, clock: SimulatedClock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._free_at = [0.0] * SLOTS
        self._in_flight = 0
        self.factor = 1.0

    def submit(self) -> float | None:
        """Return when a request will be done, ``None`` if it is declined."""
        if self._in_flight >= SLOTS + QUEUE:
            return None
        now = self._clock.monotonic()
        self._free_at.sort()
        start = max(now, self._free_at[0])
        done_at = start + self._rng.uniform(*WORK_S) * self.factor
        self._free_at[0] = done_at
        self._in_flight += 1
        self._clock.call_at(done_at, self._finish)
        return done_at

    def _finish(self) -> None:
        self._in_flight -= 1


class RunnerFleet:
    """Places requests with one tracker on simulated runners.

    :param count: number of runners
    :param seed: seed of all random draws
    """

    def __init__(self, count: int, seed: int) -> None:
        self.clock = SimulatedClock()
        self._rng = random.Random(seed)
        service = Service('work', '/health', 0, None)
        self.tracker = UpstreamTracker(self.clock, lambda _: service, self._rng)
        self.names = [f'runner-{number}' for number in range(count)]
        self.runners = {
            name: SimulatedRunner(self.clock, self._rng) for name in self.names
        }
        self.tracker.retain_upstreams(
            Upstream(name, 1, 'work', Address('10.0.0.1', 80), 'a', SLOTS)
            for name in self.names
        )
        self.outcomes: list[RunnerOutcome] = []
        self._number = 0

    def offer(self, rate_per_s: float, start_s: float, end_s: float) -> None:
        """Schedule requests.

        :param rate_per_s: mean rate
        :param start_s: simulated seconds of the first request
        :param end_s: simulated seconds of the last request
        """
        at_s = start_s
        while at_s < end_s:
            self.clock.call_at(at_s, self._send)
            at_s += self._rng.expovariate(rate_per_s)

    def within(self, start_s: float, end_s: float) -> Sequence[RunnerOutcome]:
        """Return the outcomes of the requests sent in a period.

        :param start_s: simulated seconds
        :param end_s: simulated seconds
        """
        return [entry for entry in self.outcomes if start_s <= entry.at < end_s]

    def _send(self) -> None:
        self._number += 1
        number, now = self._number, self.clock.monotonic()
        query = Query(
            number, f'r-{number}', 'work', 'run', 1, None, (), 0, 0, 0, None,
            TARGET_S, DEADLINE_S, 100, 'a', (),
        )  # fmt: skip
        try:
            placement = self.tracker.place('h', query, self.names)
        except NoUpstreamError as exc:
            self.outcomes.append(RunnerOutcome(now, '', 'refused', exc.retry_after_s))
            return
        name = placement.upstream
        done_at = self.runners[name].submit()
        result = 'declined' if done_at is None else 'done'
        ends_at = now + 0.001 if done_at is None else done_at

        def end() -> None:
            duration_s = self.clock.monotonic() - now
            self.tracker.record_end('h', number, result, duration_s)
            self.outcomes.append(RunnerOutcome(now, name, result, duration_s))

        self.clock.call_at(ends_at, end)
