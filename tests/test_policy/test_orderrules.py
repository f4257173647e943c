"""Tests of single rules of upstream orders: worth, losses, and steps of reductions."""

from __future__ import annotations

import pytest

from rosemaryseam.policy.demandtrend import DemandForecast
from rosemaryseam.policy.upstreamorders import (
    INCREASE_HOLD_S,
    REDUCTION_INTERVAL_S,
    Line,
    Order,
    UpstreamOrders,
    is_served,
)
from rosemaryseam.policy.upstreamtargets import OrderLimits, Targets, worthwhile

ZONES = ('a', 'b')
LIMITS = OrderLimits(0, 40, 4.0, 0.15, dict.fromkeys(ZONES, 1.0))
A, B = Line('a', False), Line('b', False)
SPOT_A, SPOT_B = Line('a', True), Line('b', True)


def steady(demand: float, urgent: float = 0.0) -> DemandForecast:
    """Return the forecast of a constant demand in full engines."""
    samples = (demand,) * 40
    return DemandForecast(demand, demand, demand, demand, urgent, samples, 0.0, 20.0)


WAVE = steady(30.0)._replace(samples=(20.0,) * 20 + (40.0,) * 20, ahead=20.0)
WORTH = [
    ('ordinary', steady(30.0), 1.0, 30),
    ('spot reserve for a burst', steady(30.0), 0.15, 48),
    ('almost free ones cover the largest burst', steady(30.0), 0.05, 60),
    ('peak of a wave', WAVE, 1.0, 40),
    ('expensive, but urgent', steady(30.0, urgent=10.0), 12.0, 10),
    ('rise', steady(30.0)._replace(ahead=38.0), 1.0, 38),
    ('no demand', steady(0.0), 0.15, 0),
]


# Guards against a reserve that is missing in a burst, or bought at any price.
@pytest.mark.parametrize(
    ('name', 'forecast', 'price', 'count'), WORTH, ids=[row[0] for row in WORTH]
)
def test_upstreams_are_worth_their_price_up_to_a_number(
    name: str, forecast: DemandForecast, price: float, count: int
) -> None:
    assert worthwhile(forecast, price) == count


SERVED = [
    ('a zone may leave', {A: 10, B: 10, SPOT_A: 10, SPOT_B: 10}, 30, 20, True),
    ('not the larger one', {A: 10, B: 10, SPOT_A: 19, SPOT_B: 9}, 30, 20, False),
    ('ordinary ones alone', {A: 15, B: 15}, 30, 20, True),
    ('too few ordinary ones', {A: 9, B: 10, SPOT_A: 30, SPOT_B: 30}, 30, 20, False),
]


# Guards against a reduction that relies on spot upstreams which leave together.
@pytest.mark.parametrize(
    ('name', 'serving', 'needed', 'floor', 'expected'),
    SERVED,
    ids=[row[0] for row in SERVED],
)
def test_demand_is_served_after_loss_of_the_largest_zone(
    name: str, serving: dict[Line, int], needed: int, floor: int, expected: bool
) -> None:
    targets = Targets({}, {}, needed, needed, floor, {})
    assert is_served(serving, targets, steady(needed - 1.0)) is expected
    # The forecast counts too, if demand has just grown beyond the target.
    assert not is_served(serving, targets, steady(needed + 40.0))


# Guards against reductions in one step, in quick succession, or right after an
# increase: an upstream that is needed again takes seconds to start.
def test_reductions_are_made_in_steps() -> None:
    orders = UpstreamOrders(LIMITS)
    registered = {A: 16, B: 16}
    orders.plan(steady(40.0), registered, 0.0)
    orders.record_accepted(Order(A, 20, 16, 'test'), 0.0)
    registered[A] = 20
    reduced: dict[Line, list[tuple[float, int]]] = {A: [], B: []}
    now = 0.0
    while now < 60.0:
        now += 0.5
        for order in orders.plan(steady(4.0), registered, now):
            if not order.line.spot and order.count < order.previous:
                reduced[order.line].append((now, order.previous - order.count))
            orders.record_accepted(order, now)
            registered[order.line] = order.count
    assert reduced[A][0][0] >= INCREASE_HOLD_S
    for steps in reduced.values():
        assert steps[0][1] <= 5
        times = [at for at, _ in steps]
        gaps = [later - at for at, later in zip(times, times[1:], strict=False)]
        assert min(gaps) >= REDUCTION_INTERVAL_S
    assert registered[A] + registered[B] <= 6


# Guards against zones without upstreams for want of spot ones.
def test_minimum_is_kept_with_ordinary_upstreams() -> None:
    orders = UpstreamOrders(LIMITS._replace(minimum=3, spot_price=None))
    planned = orders.plan(steady(0.0), {A: 1, B: 3}, 0.0)
    assert [(order.line, order.count, order.reason) for order in planned] == [
        (A, 3, 'minimum')
    ]


# Guards against upstreams that are billed for ever because a reduction had no effect,
# for instance if another holder's call arrived after it.
def test_reduction_without_effect_is_sent_again() -> None:
    orders = UpstreamOrders(LIMITS)
    registered = {A: 16, B: 16}
    orders.plan(steady(32.0), registered, 0.0)
    orders.record_accepted(Order(A, 12, 16, 'test'), 0.0)
    sent = []
    for step in range(1, 60):
        for order in orders.plan(steady(10.0), registered, step * 0.5):
            if order.line == A:
                sent.append((step * 0.5, order.count, order.reason))
                orders.record_accepted(order, step * 0.5)
    assert 'unconfirmed' in {reason for _, _, reason in sent}
    assert all(count <= 12 for _, count, _ in sent)
    assert len(sent) <= 6
