"""The model of an engine against what its sheet says."""

from __future__ import annotations

import pytest

from rosemaryseam.experiments.engine import EngineRates, Job, ModelEngine
from rosemaryseam.experiments.simulatedclock import SimulatedClock

RATES = EngineRates()


class Watched:
    """A job that notes when its events came."""

    def __init__(
        self, clock: SimulatedClock, parts: tuple, output: int, urgency: int = 5
    ) -> None:
        self.times: list[float] = []
        self.ended = False
        self._clock = clock
        self.job = Job(parts, output, urgency, self._note)

    def _note(self, last: bool | None) -> None:
        self.times.append(self._clock.monotonic())
        self.ended = bool(last)


def run(jobs: list[tuple], until: float = 60.0) -> list[Watched]:
    """Run jobs on one engine; each is (at, parts, output, urgency)."""
    clock = SimulatedClock()
    engine = ModelEngine(clock, RATES)
    watched = []
    for at, parts, output, urgency in jobs:
        one = Watched(clock, parts, output, urgency)
        watched.append(one)
        clock.call_at(at, lambda one=one: engine.submit(one.job, None))
    clock.run_until(until)
    return watched


FIRSTS = [  # tokens and the first event's time, as fitted to measured answers
    (62, 0.020),
    (2140, 0.058),
    (4224, 0.098),
    (8564, 0.181),
    (23284, 0.487),
]


@pytest.mark.parametrize(('tokens', 'expected'), FIRSTS)
def test_first_event_of_an_idle_engine(tokens: int, expected: float) -> None:
    (one,) = run([(0.0, ((1, tokens),), 50, 5)])
    assert one.times[0] == pytest.approx(expected, rel=0.12)


def test_prefill_beside_streams_lengthens_their_pauses() -> None:
    stream = (0.0, ((1, 500),), 200, 0)
    prompts = [(0.5, ((number, 20_000),), 5, 5) for number in range(2, 8)]
    alone = run([stream])[0]
    beside = run([stream, *prompts])[0]
    pauses = [
        later - earlier
        for earlier, later in zip(beside.times, beside.times[1:], strict=False)
    ]
    assert max(pauses) == pytest.approx(0.38, abs=0.06)
    assert beside.times[-1] > alone.times[-1] + 1.5


def test_cached_parts_are_not_read_again() -> None:
    first, second = run(
        [(0.0, ((1, 5000), (2, 100)), 5, 5), (1.0, ((1, 5000), (3, 100)), 5, 5)]
    )
    assert second.times[0] - 1.0 < first.times[0] / 3


def test_urgent_jobs_go_first() -> None:
    jobs = [(0.0, ((number, 10_000),), 5, 5) for number in range(1, 6)]
    *others, urgent = run([*jobs, (0.01, ((9, 500),), 5, 0)])
    assert urgent.times[0] < others[2].times[0]


def test_all_jobs_end_and_memory_is_given_back() -> None:
    jobs = [(0.01 * number, ((number, 9000),), 30, 5) for number in range(100)]
    assert all(one.ended for one in run(jobs))


def test_a_cancelled_job_makes_no_more_events() -> None:
    clock = SimulatedClock()
    engine = ModelEngine(clock, RATES)
    one = Watched(clock, ((1, 500),), 500)
    engine.submit(one.job, None)
    clock.run_until(0.5)
    engine.cancel(one.job)
    count = len(one.times)
    clock.run_until(5.0)
    assert len(one.times) <= count + 1
    assert not one.ended


def test_a_fetch_saves_the_reading() -> None:
    clock = SimulatedClock()
    source, target = ModelEngine(clock, RATES), ModelEngine(clock, RATES)
    first = Watched(clock, ((1, 20_000), (2, 10)), 5)
    source.submit(first.job, None)
    clock.run_until(2.0)
    second = Watched(clock, ((1, 20_000), (3, 10)), 5)
    target.submit(second.job, source)
    clock.run_until(4.0)
    assert second.times[0] - 2.0 < 0.1
    assert target.counts.fetched == 20_000
