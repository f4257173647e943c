"""What a host believes of an engine."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rosemaryseam.policy.engines import (
    EngineCapacity,
    EnginePerformance,
    EngineView,
    InFlightRequest,
    RequestKey,
)

SIZE = EngineCapacity(64, 300_000, 5)
TERMS = EnginePerformance(prefill_tokens_per_s=50_000.0, step_s=0.004, network_s=0.0)


def flight(number: int, now: float = 0.0, **changes: Any) -> InFlightRequest:
    """Return a flight of 5,000 prompt tokens."""
    entry = InFlightRequest(
        key=RequestKey('host', number),
        rank=2,
        prefill_tokens=5000,
        memory_tokens=5000,
        output_tokens=50,
        pause_s=None,
        placed_at=now,
        expected_first_s=0.2,
        expires_at=now + 5.0,
    )
    return entry._replace(**changes)


def view_with(*flights: InFlightRequest, now: float = 0.0) -> EngineView:
    """Return a view that has some flights."""
    view = EngineView(SIZE, TERMS)
    for entry in flights:
        view.add(entry, now)
    return view


BACKLOGS = [
    ('idle', [], 0.0, 0.0),
    ('one prompt', [5000], 0.0, 0.104),
    ('two prompts', [5000, 5000], 0.0, 0.208),
    ('half done', [5000, 5000], 0.104, 0.104),
    ('done', [5000, 5000], 1.0, 0.0),
]


@pytest.mark.parametrize(
    ('name', 'prompts', 'later', 'expected'), BACKLOGS, ids=[row[0] for row in BACKLOGS]
)
def test_backlog(name: str, prompts: list[int], later: float, expected: float) -> None:
    flights = [
        flight(number, prefill_tokens=tokens) for number, tokens in enumerate(prompts)
    ]
    view = view_with(*flights)
    assert view.backlog_s(later) == pytest.approx(expected, abs=0.001)


def test_a_first_event_shows_that_earlier_prompts_are_read() -> None:
    view = view_with(*[flight(number) for number in range(10)])
    view.record_first_event(RequestKey('host', 8), 0.1)
    for number in range(8):
        view.record_first_event(RequestKey('host', number), 0.1)
    assert view.backlog_s(0.1) <= view.prefill_s(5000)


def test_the_same_flight_counts_once() -> None:
    view = view_with(flight(1), flight(1))
    assert view.requests == 1
    view.record_end(RequestKey('host', 1), 0.0)
    assert (view.requests, view.memory_tokens) == (0, 0)


PAUSES = [
    ('no prefill', 0, 0.02),
    ('one short prompt', 2000, 0.064),
    ('more than the steps of an event can hold', 200_000, 0.43),
]


@pytest.mark.parametrize(
    ('name', 'added', 'expected'), PAUSES, ids=[row[0] for row in PAUSES]
)
def test_pauses_grow_with_the_busy_period(
    name: str, added: int, expected: float
) -> None:
    view = EngineView(SIZE, TERMS)
    assert view.pause_s(added, 1.0, 0.0) == pytest.approx(expected, abs=0.005)


def test_a_gap_in_prefill_ends_the_busy_period() -> None:
    without_gap = view_with(flight(1))
    with_gap = view_with(flight(1))
    without_gap.add(flight(2), 0.104)
    with_gap.add(flight(2), 0.3)
    assert without_gap.pause_s(0, 1.0, 0.11) > with_gap.pause_s(0, 1.0, 0.31)


SPEEDS = [
    ('as the sheet says', 0.104, 1.0),
    ('three times slower', 0.312, 3.0),
    ('faster than the sheet', 0.05, 1.0),
]


@pytest.mark.parametrize(
    ('name', 'each_s', 'expected'), SPEEDS, ids=[row[0] for row in SPEEDS]
)
def test_speed_is_learnt_from_prompts_in_a_row(
    name: str, each_s: float, expected: float
) -> None:
    view = EngineView(SIZE, TERMS)
    for number in range(100):
        view.add(flight(number), 0.0)
    for number in range(100):
        view.record_first_event(RequestKey('host', number), (number + 1) * each_s)
    assert view.slowdown == pytest.approx(expected, rel=0.25)


def test_an_overload_is_not_taken_for_a_slow_engine() -> None:
    view = EngineView(SIZE, TERMS)
    for number in range(60):
        view.add(flight(number, expected_first_s=0.1), 0.0)
    for number in range(60):
        view.record_first_event(RequestKey('host', number), (number + 1) * 0.104)
    assert view.slowdown < 1.2


def test_an_engine_that_owes_a_first_event_is_overdue() -> None:
    view = view_with(flight(1, expected_first_s=0.2))
    assert view.overdue_s(0.3) == 0.0
    assert view.overdue_s(1.4) == pytest.approx(1.0)
    view.record_first_event(RequestKey('host', 1), 1.4)
    assert view.overdue_s(1.5) == 0.0


class EngineBooks(RuleBasedStateMachine):
    """Adds, starts and ends flights in any order, as lost and late news do."""

    def __init__(self) -> None:
        super().__init__()
        self.view = EngineView(SIZE, TERMS)
        self.open: dict[RequestKey, InFlightRequest] = {}
        self.now = 0.0
        self.number = 0

    @rule(tokens=st.integers(1, 40_000), pause=st.sampled_from([None, 0.3, 1.2]))
    def add(self, tokens: int, pause: float | None) -> None:
        self.number += 1
        entry = flight(self.number, self.now, prefill_tokens=tokens, pause_s=pause)
        self.view.add(entry, self.now)
        self.open[entry.key] = entry

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def start(self, data: st.DataObject) -> None:
        self.view.record_first_event(
            data.draw(st.sampled_from(sorted(self.open))), self.now
        )

    @precondition(lambda self: self.open)
    @rule(data=st.data(), again=st.booleans())
    def end(self, data: st.DataObject, again: bool) -> None:
        key = data.draw(st.sampled_from(sorted(self.open)))
        del self.open[key]
        self.view.record_end(key, self.now)
        if again:
            self.view.record_end(key, self.now)

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def hear_of_unknown(self) -> None:
        self.view.record_first_event(RequestKey('other', 1), self.now)
        self.view.record_end(RequestKey('other', 2), self.now)

    @invariant()
    def counts_what_is_open(self) -> None:
        assert set(self.view.keys()) == set(self.open)
        memory = sum(entry.memory_tokens for entry in self.open.values())
        assert self.view.memory_tokens == memory

    @invariant()
    def counts_limits(self) -> None:
        limits = [
            (entry.pause_s, entry.rank)
            for entry in self.open.values()
            if entry.pause_s is not None
        ]
        assert sorted(self.view.pause_limits().elements()) == sorted(limits)

    @invariant()
    def backlog_is_bounded_by_what_waits(self) -> None:
        total = sum(
            self.view.prefill_s(entry.prefill_tokens) for entry in self.open.values()
        )
        assert 0.0 <= self.view.backlog_s(self.now) <= total + 1e-9 or not self.open

    @invariant()
    def estimates_are_sane(self) -> None:
        assert 1.0 <= self.view.slowdown <= 8.0
        assert 0.0 <= self.view.prefill_share(self.now) <= 1.0
        assert self.view.token_s(self.now) > 0.0


TestEngineBooks = EngineBooks.TestCase
TestEngineBooks.settings = settings(max_examples=60, stateful_step_count=40)


@pytest.mark.parametrize('started', [False, True])
def test_requests_of_unknown_history_teach_no_speed(started: bool) -> None:
    view = EngineView(SIZE, TERMS)
    entry = flight(1, 0.0)
    view.adopt(entry, 4.0, started=started)
    view.record_first_event(entry.key, 5.0)
    assert view.slowdown == 1.0
    assert view.streams == 1
    assert view.backlog_s(5.0) == 0.0


def test_a_speed_that_was_told_holds_until_another_is_learnt() -> None:
    view = EngineView(SIZE, TERMS)
    view.adopt_slowdown(2.0)
    assert view.slowdown == 2.0
    view.add(flight(1, 0.0), 0.0)
    view.record_first_event(RequestKey('host', 1), 0.1)
    learnt = view.slowdown
    view.adopt_slowdown(4.0)
    assert view.slowdown == learnt


def half_busy_view(now: float) -> EngineView:
    """Return an engine that lately spent half of its time on prefill, and is idle."""
    view = EngineView(SIZE, TERMS)
    for number in range(10):
        at = now - 1.0 + number * 0.1
        view.add(flight(number, at, prefill_tokens=2500), at)
        view.record_first_event(RequestKey('host', number), at + 0.06)
        view.record_end(RequestKey('host', number), at + 0.07)
    return view


def test_a_first_event_waits_for_as_much_prefill_as_there_is() -> None:
    view = half_busy_view(10.0)
    share = view.prefill_share(10.0)
    assert 0.25 < share < 0.6
    assert view.backlog_s(10.0) == 0.0
    event_s = SIZE.tokens_per_event * TERMS.step_s
    expected = event_s / (1.0 - share)  # prefill takes its share of the time
    first = view.first_event_s(1, 0, 10.0) - view.prefill_s(1)
    assert event_s < first < 1.5 * expected
