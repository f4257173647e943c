"""Estimates of an engine's backlog, pauses and slowdown."""

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

CAPACITY = EngineCapacity(64, 300_000, 5)
PERFORMANCE = EnginePerformance(
    prefill_tokens_per_s=50_000.0, step_s=0.004, network_s=0.0
)


def in_flight(number: int, now: float = 0.0, **changes: Any) -> InFlightRequest:
    """Return a request in flight with 5,000 prompt tokens."""
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


def view_with(*requests: InFlightRequest, now: float = 0.0) -> EngineView:
    """Return a view with some requests in flight."""
    view = EngineView(CAPACITY, PERFORMANCE)
    for entry in requests:
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
    requests = [
        in_flight(number, prefill_tokens=tokens)
        for number, tokens in enumerate(prompts)
    ]
    view = view_with(*requests)
    assert view.backlog_s(later) == pytest.approx(expected, abs=0.001)


def test_a_first_event_shows_that_earlier_prompts_are_prefilled() -> None:
    view = view_with(*[in_flight(number) for number in range(10)])
    view.record_first_event(RequestKey('host', 8), 0.1)
    for number in range(8):
        view.record_first_event(RequestKey('host', number), 0.1)
    assert view.backlog_s(0.1) <= view.prefill_s(5000)


def test_the_same_request_counts_once() -> None:
    view = view_with(in_flight(1), in_flight(1))
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
    view = EngineView(CAPACITY, PERFORMANCE)
    assert view.pause_s(added, 1.0, 0.0) == pytest.approx(expected, abs=0.005)


def test_a_gap_in_prefill_ends_the_busy_period() -> None:
    without_gap = view_with(in_flight(1))
    with_gap = view_with(in_flight(1))
    without_gap.add(in_flight(2), 0.104)
    with_gap.add(in_flight(2), 0.3)
    assert without_gap.pause_s(0, 1.0, 0.11) > with_gap.pause_s(0, 1.0, 0.31)


SLOWDOWNS = [
    ('nominal speed', 0.104, 1.0),
    ('three times slower', 0.312, 3.0),
    ('faster than nominal', 0.05, 0.45),
]


@pytest.mark.parametrize(
    ('name', 'each_s', 'expected'), SLOWDOWNS, ids=[row[0] for row in SLOWDOWNS]
)
def test_slowdown_is_measured_from_consecutive_prompts(
    name: str, each_s: float, expected: float
) -> None:
    view = EngineView(CAPACITY, PERFORMANCE)
    for number in range(100):
        view.add(in_flight(number), 0.0)
    for number in range(100):
        view.record_first_event(RequestKey('host', number), (number + 1) * each_s)
    assert view.slowdown == pytest.approx(expected, rel=0.25)


def test_an_overload_does_not_raise_the_slowdown() -> None:
    view = EngineView(CAPACITY, PERFORMANCE)
    for number in range(60):
        view.add(in_flight(number, expected_first_s=0.1), 0.0)
    for number in range(60):
        view.record_first_event(RequestKey('host', number), (number + 1) * 0.104)
    assert view.slowdown < 1.2


def test_a_missing_first_event_becomes_overdue() -> None:
    view = view_with(in_flight(1, expected_first_s=0.2))
    assert view.overdue_s(0.3) == 0.0
    assert view.overdue_s(1.4) == pytest.approx(1.0)
    view.record_first_event(RequestKey('host', 1), 1.4)
    assert view.overdue_s(1.5) == 0.0


class EngineViewMachine(RuleBasedStateMachine):
    """Adds, starts and ends requests in any order, as lost and late messages do."""

    def __init__(self) -> None:
        super().__init__()
        self.view = EngineView(CAPACITY, PERFORMANCE)
        self.open: dict[RequestKey, InFlightRequest] = {}
        self.now = 0.0
        self.number = 0

    @rule(tokens=st.integers(1, 40_000), pause=st.sampled_from([None, 0.3, 1.2]))
    def add(self, tokens: int, pause: float | None) -> None:
        self.number += 1
        entry = in_flight(self.number, self.now, prefill_tokens=tokens, pause_s=pause)
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
    def report_unknown_requests(self) -> None:
        self.view.record_first_event(RequestKey('other', 1), self.now)
        self.view.record_end(RequestKey('other', 2), self.now)

    @invariant()
    def tracks_open_requests(self) -> None:
        assert set(self.view.keys()) == set(self.open)
        memory = sum(entry.memory_tokens for entry in self.open.values())
        assert self.view.memory_tokens == memory

    @invariant()
    def counts_pause_limits(self) -> None:
        limits = [
            (entry.pause_s, entry.rank)
            for entry in self.open.values()
            if entry.pause_s is not None
        ]
        assert sorted(self.view.pause_limits().elements()) == sorted(limits)

    @invariant()
    def backlog_is_bounded_by_open_requests(self) -> None:
        total = sum(
            self.view.prefill_s(entry.prefill_tokens) for entry in self.open.values()
        )
        assert 0.0 <= self.view.backlog_s(self.now) <= total + 1e-9 or not self.open

    @invariant()
    def estimates_are_in_range(self) -> None:
        assert 0.25 <= self.view.slowdown <= 8.0
        assert 0.0 <= self.view.prefill_share(self.now) <= 1.0
        assert self.view.token_s(self.now) > 0.0


TestEngineView = EngineViewMachine.TestCase
TestEngineView.settings = settings(max_examples=60, stateful_step_count=40)


@pytest.mark.parametrize('started', [False, True])
def test_adopted_requests_do_not_change_the_slowdown(started: bool) -> None:
    view = EngineView(CAPACITY, PERFORMANCE)
    entry = in_flight(1, 0.0)
    view.adopt(entry, 4.0, started=started)
    view.record_first_event(entry.key, 5.0)
    assert view.slowdown == 1.0
    assert view.streams == 1
    assert view.backlog_s(5.0) == 0.0


# Guards against speeds learned from the unknown history of requests taken over.
@pytest.mark.parametrize('adopted', [True, False])
def test_only_own_requests_change_the_slowdown(adopted: bool) -> None:
    view = EngineView(CAPACITY, PERFORMANCE)
    for number in range(20):
        entry = in_flight(number, 0.0)
        if adopted:
            view.adopt(entry, 4.0, started=False)
        else:
            view.add(entry, 4.0)
    for number in range(20):
        view.record_first_event(RequestKey('host', number), 5.0 + number * 0.3)
    assert (view.slowdown == 1.0) is adopted
    assert adopted or view.slowdown > 1.5


def test_an_adopted_slowdown_holds_until_one_is_measured() -> None:
    view = EngineView(CAPACITY, PERFORMANCE)
    view.adopt_slowdown(2.0)
    assert view.slowdown == 2.0
    view.add(in_flight(1, 0.0), 0.0)
    view.record_first_event(RequestKey('host', 1), 0.1)
    measured = view.slowdown
    view.adopt_slowdown(4.0)
    assert view.slowdown == measured


def half_busy_view(now: float) -> EngineView:
    """Return an idle engine that recently spent half of its time on prefill."""
    view = EngineView(CAPACITY, PERFORMANCE)
    for number in range(10):
        at = now - 1.0 + number * 0.1
        view.add(in_flight(number, at, prefill_tokens=2500), at)
        view.record_first_event(RequestKey('host', number), at + 0.06)
        view.record_end(RequestKey('host', number), at + 0.07)
    return view


def test_a_first_event_is_delayed_by_the_recent_prefill_share() -> None:
    view = half_busy_view(10.0)
    share = view.prefill_share(10.0)
    assert 0.25 < share < 0.6
    assert view.backlog_s(10.0) == 0.0
    event_s = CAPACITY.tokens_per_event * PERFORMANCE.step_s
    expected = event_s / (1.0 - share)  # prefill takes its share of the time
    first = view.first_event_s(1, 0, 10.0) - view.prefill_s(1)
    assert event_s < first < 1.5 * expected
