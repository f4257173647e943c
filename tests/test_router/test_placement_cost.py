"""Tests that placements are cheap enough for a dispatcher in a burst.

A dispatcher with slow placements replies late. Hosts then treat it as failed and place
requests locally with less information, just when the load is highest.
"""

from __future__ import annotations

import random
import sys
from typing import Any

import pytest

from rosemaryseam.common.addresses import Address
from rosemaryseam.experiments.simulatedclock import SimulatedClock
from rosemaryseam.policy.slots import UPSTREAMS_PER_SLOT
from rosemaryseam.router.queries import Query
from rosemaryseam.router.routes import EngineProfile, Service
from rosemaryseam.router.upstreams import Upstream
from rosemaryseam.router.upstreamtracker import UpstreamTracker

SERVICE = Service('engines', '/health', 0, EngineProfile(64, 300_000, 5, True))
# Each host serves 52 requests per second. Placement may use 3% of a core; a function
# call takes about 0.25 us.
MAX_CALLS = 0.03 / 52 / 0.25e-6


def tracker_with(in_flight: int) -> tuple[UpstreamTracker, list[str], SimulatedClock]:
    """Return the tracker of a slot with requests in flight on each engine."""
    clock = SimulatedClock()
    tracker = UpstreamTracker(clock, lambda _: SERVICE, random.Random(1))
    names = [f'e-{number}' for number in range(UPSTREAMS_PER_SLOT)]
    tracker.retain_upstreams(
        Upstream(name, 1, 'engines', Address('10.0.0.1', 1), 'a', 64) for name in names
    )
    for number in range(in_flight * len(names)):
        tracker.place('h', query(number), [names[number % len(names)]])
        clock.run_until(clock.monotonic() + 0.1)
        tracker.record_first_event('h', number)
    return tracker, names, clock


def query(number: int) -> Query:
    """Return a query for a long prompt that completes long before its timeout."""
    parts = ((number % 4, 2500), (1000 + number % 300, 3800), (10_000 + number, 2900))
    return Query(
        number, f'r-{number}', 'engines', 'digest', 2, None, parts, 9200, 50, 200, 1.2,
        1.5, 600.0, 18_000, 'a', (),
    )  # fmt: skip


def count_calls(function: Any) -> int:
    """Return the number of function calls that a function makes."""
    count = 0

    def count_call(frame: object, event: str, argument: object) -> None:
        nonlocal count
        count += event in ('call', 'c_call')

    sys.setprofile(count_call)
    try:
        function()
    finally:
        sys.setprofile(None)
    return count


REQUESTS_IN_FLIGHT = [0, 5, 20]


@pytest.mark.parametrize('in_flight', REQUESTS_IN_FLIGHT)
def test_a_placement_makes_few_function_calls(in_flight: int) -> None:
    tracker, names, _ = tracker_with(in_flight)
    number = 10_000
    assert count_calls(lambda: tracker.place('h', query(number), names)) < MAX_CALLS
