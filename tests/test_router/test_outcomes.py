"""Tests which failures count against an upstream.

One request in eight fails on every upstream. If its retry counted as a failure of the
least used upstream, that upstream would be avoided and the others would get all the
load.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from typing import TYPE_CHECKING

import pytest

from rosemaryseam.common.addresses import Address
from rosemaryseam.experiments.simulatedclock import SimulatedClock
from rosemaryseam.router.queries import Query
from rosemaryseam.router.routes import Service
from rosemaryseam.router.tickets import DispatchTicket
from rosemaryseam.router.upstreams import Upstream
from rosemaryseam.router.upstreamtracker import UpstreamTracker

if TYPE_CHECKING:
    from routers import RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange

NAMES = ('one', 'two', 'three')
IN_FLIGHT = 3
FAILING_REQUEST_INTERVAL = 8


def test_requests_that_fail_everywhere_do_not_starve_an_upstream() -> None:
    clock = SimulatedClock()
    service = Service('apps', '/health', 0, None)
    tracker = UpstreamTracker(clock, lambda _: service, random.Random(1))
    tracker.retain_upstreams(
        Upstream(name, 1, 'apps', Address('10.0.0.1', 1), 'a', 6) for name in NAMES
    )
    placed: Counter[str] = Counter()
    in_flight: deque[tuple[int, str]] = deque()
    for number in range(400):
        name = tracker.place('h', _query(number), NAMES).upstream
        in_flight.append((number, name))
        if len(in_flight) <= IN_FLIGHT:
            continue
        ended, upstream = in_flight.popleft()
        clock.run_until(clock.monotonic() + 0.05)
        if ended % FAILING_REQUEST_INTERVAL:
            placed[upstream] += 1
            tracker.record_end('h', ended, 'done', 0.02)
            continue
        tracker.record_end('h', ended, 'failed', 0.02)
        again = 10_000 + ended
        tracker.place('h', _query(again, excluded=(upstream,)), NAMES)
        tracker.record_end('h', again, 'failed_again', 0.02)
    assert min(placed[name] for name in NAMES) > placed.total() * 0.2, placed


def _query(number: int, excluded: tuple[str, ...] = ()) -> Query:
    return Query(
        number, f'r-{number}', 'apps', 'check', 0, None, (), 0, 0, 0, None,
        1.0, 1.0, 200, 'a', excluded,
    )  # fmt: skip


def _fail(exchange: ScriptedExchange) -> None:
    exchange.answer(500, b'oops')


OUTCOMES = [
    ('unsafe', ['failed']),
    ('safe', ['failed', 'failed_again']),
]


@pytest.mark.parametrize(('route', 'expected'), OUTCOMES)
def test_outcomes_recorded_for_a_failed_request(
    router: RunningRouter,
    monkeypatch: pytest.MonkeyPatch,
    route: str,
    expected: list[str],
) -> None:
    outcomes = []
    end = DispatchTicket.end

    def record(ticket: DispatchTicket, outcome: str) -> None:
        outcomes.append(outcome)
        end(ticket, outcome)

    monkeypatch.setattr(DispatchTicket, 'end', record)
    for name in NAMES[:2]:
        router.add(name, _fail)
    assert router.call(route).status == 500
    assert outcomes == expected
