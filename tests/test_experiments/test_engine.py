"""Tests of the simulated engine against measured engines."""

from __future__ import annotations

import pytest

from rosemaryseam.experiments.engine import EngineParameters, Job, SimulatedEngine
from rosemaryseam.experiments.simulatedclock import SimulatedClock

PARAMETERS = EngineParameters()


class RecordedJob:
    """A job with the times of its events."""

    def __init__(
        self, clock: SimulatedClock, parts: tuple, output: int, urgency: int = 5
    ) -> None:
        self.times: list[float] = []
        self.ended = False
        self._clock = clock
        self.job = Job(parts, output, urgency, self._record_event)

    def _record_event(self, last: bool | None) -> None:
        self.times.append(self._clock.monotonic())
        self.ended = bool(last)


def run(jobs: list[tuple], until: float = 60.0) -> list[RecordedJob]:
    """Run jobs, given as (start, parts, output, urgency), on one engine."""
    clock = SimulatedClock()
    engine = SimulatedEngine(clock, PARAMETERS)
    recorded = []
    for at, parts, output, urgency in jobs:
        recorded_job = RecordedJob(clock, parts, output, urgency)
        recorded.append(recorded_job)
        clock.call_at(
            at, lambda recorded_job=recorded_job: engine.submit(recorded_job.job, None)
        )
    clock.run_until(until)
    return recorded


FIRST_EVENT_TIMES = [  # prompt tokens and measured time of the first event
    (62, 0.020),
    (2140, 0.058),
    (4224, 0.098),
    (8564, 0.181),
    (23284, 0.487),
]


@pytest.mark.parametrize(('tokens', 'expected'), FIRST_EVENT_TIMES)
def test_time_of_first_event_on_idle_engine(tokens: int, expected: float) -> None:
    (recorded_job,) = run([(0.0, ((1, tokens),), 50, 5)])
    assert recorded_job.times[0] == pytest.approx(expected, rel=0.12)


def test_prefill_lengthens_pauses_of_streams() -> None:
    stream = (0.0, ((1, 500),), 200, 0)
    prompts = [(0.5, ((number, 20_000),), 5, 5) for number in range(2, 8)]
    alone = run([stream])[0]
    with_prompts = run([stream, *prompts])[0]
    pauses = [
        later - earlier
        for earlier, later in zip(
            with_prompts.times, with_prompts.times[1:], strict=False
        )
    ]
    assert max(pauses) == pytest.approx(0.38, abs=0.06)
    assert with_prompts.times[-1] > alone.times[-1] + 1.5


def test_cached_parts_are_not_recomputed() -> None:
    first, second = run(
        [(0.0, ((1, 5000), (2, 100)), 5, 5), (1.0, ((1, 5000), (3, 100)), 5, 5)]
    )
    assert second.times[0] - 1.0 < first.times[0] / 3


def test_urgent_jobs_are_admitted_first() -> None:
    jobs = [(0.0, ((number, 10_000),), 5, 5) for number in range(1, 6)]
    *others, urgent = run([*jobs, (0.01, ((9, 500),), 5, 0)])
    assert urgent.times[0] < others[2].times[0]


def test_all_jobs_complete_with_limited_memory() -> None:
    jobs = [(0.01 * number, ((number, 9000),), 30, 5) for number in range(100)]
    assert all(recorded_job.ended for recorded_job in run(jobs))


def test_cancelled_job_sends_no_more_events() -> None:
    clock = SimulatedClock()
    engine = SimulatedEngine(clock, PARAMETERS)
    recorded_job = RecordedJob(clock, ((1, 500),), 500)
    engine.submit(recorded_job.job, None)
    clock.run_until(0.5)
    engine.cancel(recorded_job.job)
    count = len(recorded_job.times)
    clock.run_until(5.0)
    assert len(recorded_job.times) <= count + 1
    assert not recorded_job.ended


def test_fetch_replaces_prefill() -> None:
    clock = SimulatedClock()
    source, target = (
        SimulatedEngine(clock, PARAMETERS),
        SimulatedEngine(clock, PARAMETERS),
    )
    first = RecordedJob(clock, ((1, 20_000), (2, 10)), 5)
    source.submit(first.job, None)
    clock.run_until(2.0)
    second = RecordedJob(clock, ((1, 20_000), (3, 10)), 5)
    target.submit(second.job, source)
    clock.run_until(4.0)
    assert second.times[0] - 2.0 < 0.1
    assert target.counts.fetched == 20_000
