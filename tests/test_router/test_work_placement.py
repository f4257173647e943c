"""Placement of requests without a prompt on app runners of different speeds."""

from __future__ import annotations

import math

import pytest

from rosemaryseam.experiments.runners import DEADLINE_S, TARGET_S, RunnerFleet
from rosemaryseam.policy.workplacement import (
    PROBE_AFTER_REQUESTS,
    WorkCandidate,
    WorkRequest,
    choose_upstream,
)
from rosemaryseam.router.learnedcapacity import LearnedReport
from rosemaryseam.router.requests import StatedLoad
from rosemaryseam.router.statedload import LoadReport

RATE = 117.0

# Guards against a slow runner that keeps its share, or is shunned for good: factor on
# its work, duration, and the bounds of its share of requests one second later.
SLOW_RUNNERS = [
    ('as the others', 1.0, 20.0, 0.2, 0.5),
    ('slow for 600 ms', 2.5, 0.6, 0.1, 0.5),
    ('slow for good', 2.5, 20.0, 0.0, 0.12),
    ('five times slower', 5.0, 20.0, 0.0, 0.06),
]


@pytest.mark.parametrize(
    ('name', 'factor', 'seconds', 'low', 'high'),
    SLOW_RUNNERS,
    ids=[row[0] for row in SLOW_RUNNERS],
)
def test_a_slow_runner_of_three_gets_less_within_a_second(
    name: str, factor: float, seconds: float, low: float, high: float
) -> None:
    fleet = RunnerFleet(3, 1)
    fleet.offer(2 * RATE, 0.0, 12.0)
    slow = fleet.runners['runner-0']
    fleet.clock.call_at(5.0, lambda: setattr(slow, 'factor', factor))
    fleet.clock.call_at(5.0 + seconds, lambda: setattr(slow, 'factor', 1.0))
    fleet.clock.run_until(15.0)
    later = fleet.within(6.0, 12.0)
    share = sum(entry.upstream == 'runner-0' for entry in later) / len(later)
    assert low <= share <= high
    in_target = [entry for entry in later if entry.duration_s <= TARGET_S]
    assert len(in_target) >= 0.98 * len(later)


# Guards against requests that are sent to full queues, or refused while the queues
# have room.
def test_a_burst_is_refused_only_beyond_the_queues() -> None:
    fleet = RunnerFleet(3, 2)
    fleet.offer(RATE, 0.0, 3.0)
    fleet.offer(900.0, 3.0, 5.0)
    fleet.offer(RATE, 5.0, 8.0)
    fleet.clock.run_until(10.0)
    burst = fleet.within(3.0, 5.0)
    counts = {
        result: sum(entry.result == result for entry in burst)
        for result in ('done', 'declined', 'refused')
    }
    assert counts['done'] >= 0.9 * 2.0 * 3 * 6 / 0.0335
    assert counts['declined'] <= 0.05 * len(burst)
    assert all(entry.result == 'done' for entry in fleet.within(5.5, 8.0))
    waits = [entry.duration_s for entry in burst if entry.result == 'refused']
    assert waits and all(0.05 < wait <= 3.0 for wait in waits)
    assert len({round(wait, 3) for wait in waits}) > 5  # callers return spread out


def candidate(name: str = 'one', **changes: object) -> WorkCandidate:
    """Return an idle upstream with a known work time."""
    entry = WorkCandidate(name, 0, 6, 0.03, True, 0.0, math.inf, 0.0, 0, True, 0.0)
    return entry._replace(**changes)


REQUEST = WorkRequest(TARGET_S, DEADLINE_S)
FULL = candidate(in_flight=30, queue_limit=30)
# Guards against refusals of requests that can end late but before their deadline, and
# against requests that cannot end in time and are sent all the same.
CHOICES = [
    ('the shorter wait', [candidate(in_flight=12), candidate('two')], 'two', False),
    ('the faster one', [candidate(work_s=0.09), candidate('two')], 'two', False),
    ('late but in time', [candidate(in_flight=200)], 'one', False),
    ('beyond the deadline', [candidate(in_flight=400)], 'one', True),
    ('nothing known', [candidate(in_flight=400, is_known=False)], 'one', False),
    ('full', [FULL, candidate('two', in_flight=60)], 'two', False),
    ('all full', [FULL], 'one', True),
    ('the same zone', [candidate(same_zone=False), candidate('two')], 'two', False),
    (
        'another zone with a shorter wait',
        [candidate(same_zone=False), candidate('two', in_flight=9)],
        'one',
        False,
    ),
    (
        'not tried for long',
        [
            candidate(),
            candidate('two', work_s=0.1, idle_s=3.0, skipped=PROBE_AFTER_REQUESTS),
        ],
        'two',
        False,
    ),
    (
        'not tried for long, but no time left',
        [
            candidate(),
            candidate('two', work_s=0.5, idle_s=3.0, skipped=PROBE_AFTER_REQUESTS),
        ],
        'one',
        False,
    ),
]


@pytest.mark.parametrize(
    ('name', 'candidates', 'chosen', 'refused'),
    CHOICES,
    ids=[row[0] for row in CHOICES],
)
def test_the_upstream_of_the_earliest_answer_is_chosen(
    name: str, candidates: list[WorkCandidate], chosen: str, refused: bool
) -> None:
    choice = choose_upstream(REQUEST, candidates)
    assert choice.name == chosen
    assert (choice.refusal is not None) is refused


LOADS = [
    ('none', None, 0.0, 0.2, 0.5),
    ('busy', StatedLoad(6, 20, 6), 0.0, 0.0, 0.1),
    ('busy, but old', StatedLoad(6, 20, 6), 1.5, 0.2, 0.5),
    ('of an earlier start', StatedLoad(6, 20, 6), -1.0, 0.2, 0.5),
]


# Guards against requests of other dispatchers that are not seen in stated loads, and
# against old loads and those of earlier incarnations.
@pytest.mark.parametrize(
    ('name', 'load', 'age_s', 'low', 'high'), LOADS, ids=[row[0] for row in LOADS]
)
def test_stated_waiting_requests_count(
    name: str, load: StatedLoad | None, age_s: float, low: float, high: float
) -> None:
    fleet = RunnerFleet(3, 3)
    fleet.offer(RATE, 0.0, 5.0)
    fleet.clock.run_until(4.6)
    born = 0 if age_s < 0.0 else 1
    if load is not None:
        fleet.tracker.apply_load(
            LoadReport('runner-0', born, max(0.0, age_s), load, 0.0, 0)
        )
    fleet.clock.run_until(8.0)
    later = fleet.within(4.6, 4.9)
    share = sum(entry.upstream == 'runner-0' for entry in later) / len(later)
    assert low <= share <= high


# Guards against a new dispatcher that sends a slow runner as much as the others.
@pytest.mark.parametrize(
    ('told', 'low', 'high'), [(True, 0.0, 0.03), (False, 0.05, 1.0)]
)
def test_a_new_dispatcher_uses_the_work_times_it_is_told(
    told: bool, low: float, high: float
) -> None:
    fleet = RunnerFleet(3, 4)
    fleet.runners['runner-0'].factor = 4.0
    for name in fleet.names if told else ():
        work_s = 0.134 if name == 'runner-0' else 0.0335
        fleet.tracker.adopt_learned(LearnedReport(name, 1, 0.5, None, work_s))
    fleet.offer(RATE, 0.0, 0.5)
    fleet.clock.run_until(3.0)
    first = fleet.within(0.0, 0.3)
    share = sum(entry.upstream == 'runner-0' for entry in first) / len(first)
    assert low <= share <= high
