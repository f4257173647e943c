"""Tests of the demand for a service, in engines, and its forecast."""

from __future__ import annotations

import math

import pytest

from rosemaryseam.policy.demandtrend import (
    WINDOW_S,
    DemandForecast,
    DemandTrend,
    EngineRates,
    RankDemand,
    engines_needed,
)
from rosemaryseam.policy.engines import EnginePerformance

ENGINE = EngineRates(EnginePerformance(50_000.0, 0.004, 0.0001), 64)
APPS = EngineRates(batch_slots=6, work_s=0.06, is_engine=False)
NEEDS = [
    ('nothing', [], ENGINE, 0.0),
    ('prefill', [RankDemand(1, 32_500, 0)], ENGINE, 1.0),
    # 5,777 tokens in steps of 7.2 ms, half as long again, fill 0.975 of 64 slots.
    ('streams', [RankDemand(1, 0, 5_777.8)], ENGINE, 1.5),
    ('both ranks', [RankDemand(1, 16_250, 0), RankDemand(9, 16_250, 0)], ENGINE, 1.0),
    ('refused', [RankDemand(5, 32_500, 0, refused=5)], ENGINE, 1.0),
    (
        'slower engine',
        [RankDemand(1, 32_500, 0)],
        ENGINE._replace(performance=EnginePerformance(25_000.0)),
        2.0,
    ),
    ('apps', [RankDemand(65, 0, 0)], APPS, 1.0),
]


# Guards against orders for a demand that leaves out a kind of work.
@pytest.mark.parametrize(
    ('name', 'demand', 'rates', 'engines'), NEEDS, ids=[row[0] for row in NEEDS]
)
def test_demand_is_converted_to_engines(
    name: str, demand: list[RankDemand], rates: EngineRates, engines: float
) -> None:
    assert engines_needed(demand, rates) == pytest.approx(engines, rel=0.01)


def forecast(totals: list[float]) -> DemandForecast:
    """Return the forecast after totals in engines, half a second apart."""
    trend = DemandTrend()
    for step, total in enumerate(totals):
        demand = RankDemand(1.0, total * 32_500, 0.0)
        trend.add({0: demand, 2: demand}, ENGINE, step * 0.5)
    found = trend.forecast(4.0)
    assert found is not None
    return found


WAVE = [20 + 8 * math.sin(2 * math.pi * step / 22) for step in range(60)]
COURSES = [
    ('steady', [10.0] * 50, 20.0, 20.0),
    ('rise', [10.0 + step for step in range(8)], 40.0, 60.0),
    ('fall', [30.0] * 30 + [30.0 - 2 * step for step in range(10)], 0.0, 15.0),
    ('one value', [10.0], 20.0, 20.0),
    # The steepest rise of a known wave lasts shorter than a start.
    ('wave', WAVE[:48], 0.0, 56.5),
]


# Guards against orders that come only when demand has arrived, and against following
# each wave beyond its known peak.
@pytest.mark.parametrize(
    ('name', 'totals', 'least', 'most'), COURSES, ids=[row[0] for row in COURSES]
)
def test_trend_is_followed(
    name: str, totals: list[float], least: float, most: float
) -> None:
    found = forecast(totals)
    assert least <= found.ahead <= most
    assert found.present == pytest.approx(2 * totals[-1])
    assert found.urgent == pytest.approx(max(totals[-41:]))


# Guards against a peak of long ago that keeps upstreams for ever.
def test_old_demand_is_forgotten() -> None:
    found = forecast([50.0] + [10.0] * int(2 * WINDOW_S + 1))
    assert found.peak == pytest.approx(20.0)
    assert found.history_s == WINDOW_S


def test_no_demand_is_known_before_the_first_request() -> None:
    """Guards against reducing the upstreams of a fleet whose callers come later.

    A fleet that started 16 s before its callers reduced them at the end of that time.
    """
    trend = DemandTrend()
    for second in range(16):
        trend.add({}, EngineRates(), float(second))
    assert trend.forecast(4.0) is None
    trend.add({0: RankDemand(10.0, 5000.0, 1000.0)}, EngineRates(), 16.0)
    assert trend.forecast(4.0).history_s == 0.0
