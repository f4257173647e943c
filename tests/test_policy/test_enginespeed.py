"""Learned speeds of engines under noise, lasting slowness and crowding."""

from __future__ import annotations

import math

import pytest

from rosemaryseam.policy.enginespeed import EnginePerformance, EngineSpeed

DEFAULTS = EnginePerformance()
SLOTS = 64
TOKENS = 2000


def run(speed: EngineSpeed, factor: float, seconds: float, start: float = 0.0) -> float:
    """Let an engine prefill and generate at a factor of the default times."""
    now = start
    while now < start + seconds:
        now += 0.05
        prefill_s = TOKENS / DEFAULTS.prefill_tokens_per_s
        speed.record_prefill(prefill_s * factor, TOKENS, now)
        step_s = DEFAULTS.step_s + DEFAULTS.step_per_slot_s * 8
        speed.record_pace(step_s * factor, 8, 0.0, 16, now)
    return now


# Each row guards against a speed that is not learned, or is learned from noise: factor
# on all times, their duration after 20 s at the usual speed, and the bounds of the
# lasting slowdown and of the present factor afterwards.
PERIODS = [
    ('as the defaults', 1.0, 1.0, 5.0, (0.9, 1.1), (1.0, 1.0)),
    ('slow for 600 ms', 1.0, 2.5, 0.6, (0.95, 1.25), (1.5, 2.6)),
    ('slow for good', 1.0, 2.5, 20.0, (2.1, 2.6), (1.0, 1.3)),
    ('slow from the start', 2.5, 2.5, 5.0, (2.2, 2.6), (1.0, 1.0)),
    ('faster than the default', 0.6, 0.6, 5.0, (0.55, 0.75), (1.0, 1.0)),
]


@pytest.mark.parametrize(
    ('name', 'before', 'factor', 'seconds', 'lasting', 'present'),
    PERIODS,
    ids=[row[0] for row in PERIODS],
)
def test_lasting_speed_is_told_from_noise(
    name: str,
    before: float,
    factor: float,
    seconds: float,
    lasting: tuple[float, float],
    present: tuple[float, float],
) -> None:
    speed = EngineSpeed(DEFAULTS, SLOTS)
    now = run(speed, before, 20.0)
    now = run(speed, factor, seconds, now)
    assert lasting[0] <= speed.slowdown <= lasting[1]
    step_factor = speed.step_s(8) / (DEFAULTS.step_s + DEFAULTS.step_per_slot_s * 8)
    assert lasting[0] <= step_factor <= lasting[1] * 1.1
    assert present[0] <= speed.present_factor(now) <= present[1]
    assert speed.present_factor(now + 3.0) == 1.0  # news of a burst are forgotten


# Guards against one delayed event that moves all placements to other engines.
def test_one_outlier_changes_little() -> None:
    speed = EngineSpeed(DEFAULTS, SLOTS)
    now = run(speed, 1.0, 20.0)
    speed.record_prefill(5.0, TOKENS, now)
    speed.record_pace(1.0, 8, 0.0, 16, now)
    assert speed.slowdown < 1.1
    assert speed.present_factor(now) < 1.8


# Guards against engines that are filled although more requests yield fewer tokens.
@pytest.mark.parametrize(('crowded', 'has_knee'), [(False, False), (True, True)])
def test_an_engine_that_slows_down_when_half_full_is_not_filled(
    crowded: bool, has_knee: bool
) -> None:
    speed = EngineSpeed(DEFAULTS, SLOTS)
    for number in range(400):
        requests = 4 + number % 56
        step_s = DEFAULTS.step_s + DEFAULTS.step_per_slot_s * requests
        if crowded and requests > 32:
            step_s *= 2.5
        speed.record_pace(step_s, requests, 0.0, 16, number * 0.02)
    assert (speed.knee < math.inf) is has_knee
    if has_knee:
        assert 20 <= speed.knee <= 40
        assert speed.step_s(50) > 1.8 * speed.step_s(20)


# Guards against dispatchers that start without what others learned, or let an old
# report replace their own measurements.
def test_figures_of_another_dispatcher_count_until_some_are_measured() -> None:
    slow = DEFAULTS._replace(prefill_tokens_per_s=27_000.0, step_s=0.0076)
    speed = EngineSpeed(DEFAULTS, SLOTS)
    speed.adopt(slow, 0.0, 0.0)
    assert speed.slowdown == pytest.approx(2.0, rel=0.05)
    assert speed.lasting.step_s == pytest.approx(0.0076, rel=0.1)
    speed.set_prior(DEFAULTS, 1.0)
    assert speed.slowdown == pytest.approx(2.0, rel=0.05)
    now = run(speed, 1.0, 20.0)
    speed.adopt(slow, now, now)
    assert speed.slowdown < 1.2


STATEMENTS = [
    ('fresh', 250.0, 0.0, 1.3, 4.0),
    ('old', 250.0, 1.5, 1.0, 1.0),
    ('as usual', 100.0, 0.0, 1.0, 1.0),
    ('nonsense', 10_000.0, 0.0, 1.3, 4.0),
]


# Guards against stated work times that are ignored, or steer placements when old.
@pytest.mark.parametrize(
    ('name', 'percent', 'age_s', 'low', 'high'),
    STATEMENTS,
    ids=[row[0] for row in STATEMENTS],
)
def test_a_fresh_stated_work_time_counts(
    name: str, percent: float, age_s: float, low: float, high: float
) -> None:
    speed = EngineSpeed(DEFAULTS, SLOTS)
    for number in range(10):
        speed.stated.record(100.0, float(number))
    speed.stated.record(percent, 10.0)
    assert low <= speed.present_factor(10.0 + age_s) <= high
