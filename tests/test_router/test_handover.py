"""Handover of in-flight requests and recent prompts to a new dispatcher."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

import pytest

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.experiments.simulatedclock import SimulatedClock
from rosemaryseam.policy.prefixes import PART_REUSE_WINDOW_S
from rosemaryseam.router.brittleness import Brittleness
from rosemaryseam.router.handover import Handover
from rosemaryseam.router.hostlink import HostLink
from rosemaryseam.router.learnedcapacity import LearnedCapacities
from rosemaryseam.router.requestlimits import RequestLimits
from rosemaryseam.router.upstreams import Upstream

if TYPE_CHECKING:
    from rosemaryseam.router.crashreports import CrashReport
    from rosemaryseam.router.datagrams import DispatchRequest, EndedRequest, Incarnation
    from rosemaryseam.router.origins import StreamOrigin
    from rosemaryseam.router.queries import InFlightReport, PlacedPrompt
    from rosemaryseam.router.requestlimits import LimitReport

PARTS = ((1, 100), (2, 50))


class RecordingLink(HostLink):
    """Records the messages to other hosts."""

    def __init__(self) -> None:
        self.placed: list[tuple[str, str]] = []
        self.in_flight: list[tuple[str, int]] = []
        self.ended: list[tuple[str, int]] = []
        self.limits: list[tuple[str, str]] = []
        self.messages: list[tuple[str, str, object]] = []

    def known_hosts(self) -> dict[str, float]:
        return {'b': 1.0, 'c': 1.0}

    def send_request(self, host: str, request: DispatchRequest) -> None:
        raise AssertionError('unexpected dispatch request')

    def send_started(self, host: str, number: int) -> None:
        raise AssertionError('unexpected start report')

    def send_ended(self, host: str, entry: EndedRequest) -> None:
        self.ended.append((host, entry.number))

    def send_left(self, host: str, incarnation: Incarnation) -> None:
        raise AssertionError('unexpected report of an upstream that left')

    def send_crash(self, host: str, report: CrashReport) -> None:
        raise AssertionError('unexpected report of a crash')

    def send_limit(self, host: str, report: LimitReport) -> None:
        self.limits.append((host, report.upstream))

    def send_origin(self, host: str, origin: StreamOrigin) -> None:
        raise AssertionError('unexpected origin of a stream')

    def send_origin_to_write(self, host: str, origin: StreamOrigin) -> None:
        raise AssertionError('unexpected origin of a stream')

    def send_origin_lookup(self, host: str, request_id: str) -> None:
        raise AssertionError('unexpected lookup of a stream')

    def send_in_flight(self, host: str, report: InFlightReport) -> None:
        self.in_flight.append((host, report.number))

    def send_placed(self, host: str, placed: PlacedPrompt) -> None:
        self.placed.append((host, placed.upstream))

    def send_message(self, host: str, kind: str, body: object) -> None:
        assert kind == 'brittle', 'unexpected message'
        self.messages.append((host, kind, body))

    def subscribe(self, kind: str, handle: object) -> None:
        assert kind == 'brittle'


class RecordingTracker:
    """Records the calls to this host's own upstream tracker."""

    def __init__(self, clock: SimulatedClock) -> None:
        self.limits = RequestLimits(clock)
        self.upstream = FakeTicket(0, 'u1', '').upstream
        self.brittleness = Brittleness(
            clock,
            random.Random(1),
            lambda _: self.upstream,
            lambda _: 0,
            lambda _: False,
        )
        self.learned = LearnedCapacities(clock)
        self.placed: list[str] = []
        self.in_flight: list[int] = []
        self.ended_numbers: list[int] = []

    def adopt_request(self, host: str, report: InFlightReport) -> None:
        self.in_flight.append(report.number)

    def adopt_prompt(self, placed: PlacedPrompt) -> None:
        self.placed.append(placed.upstream)

    def record_end(
        self, host: str, number: int, outcome: str, duration_s: float
    ) -> None:
        self.ended_numbers.append(number)


class FakeTicket:
    """Stands for the ticket of a request of this host."""

    def __init__(self, number: int, upstream: str, dispatcher: str) -> None:
        self.number = number
        self.upstream = Upstream(upstream, 1, 'engines', Address('x', 1), 'a', 4)
        self.dispatcher = dispatcher
        self.parts = PARTS
        self.engine_slowdown = 1.5

    def to_in_flight_report(self) -> FakeTicket:
        return self


class HandoverSetup(NamedTuple):
    """A handover with its clock and the recorders of what it sends."""

    handover: Handover
    clock: SimulatedClock
    link: RecordingLink
    tracker: RecordingTracker


@pytest.fixture
def setup() -> HandoverSetup:
    clock, link = SimulatedClock(), RecordingLink()
    tracker = RecordingTracker(clock)
    handover = Handover('a', clock, tracker)
    handover.connect(link)
    return HandoverSetup(handover, clock, link, tracker)


def test_a_new_dispatcher_is_told_of_request_limits(setup: HandoverSetup) -> None:
    setup.handover.assign(['u1', 'u2'], 'b')
    setup.tracker.limits.record_answer(('u1', 1), 2.0, 0.0)
    setup.handover.assign(['u1', 'u2'], 'a')
    setup.handover.assign(['u1', 'u2'], 'c')
    assert setup.link.limits == [('c', 'u1')]


# Guards against a new dispatcher that takes a brittle upstream for a sturdy one.
def test_a_new_dispatcher_is_told_of_brittle_upstreams(setup: HandoverSetup) -> None:
    setup.handover.assign(['u1', 'u2'], 'a')
    setup.tracker.brittleness.connect('a', setup.link, Metrics())
    setup.tracker.brittleness.record_answer(setup.tracker.upstream, 4.0, 0.0, 'a')
    setup.handover.assign(['u1', 'u2'], 'c')
    assert setup.link.messages == [('c', 'brittle', [['u1', 1, 4.0, 0.0, None]])]


def place(
    setup: HandoverSetup, number: int, upstream: str, dispatcher: str
) -> FakeTicket:
    """Place a request through a dispatcher."""
    setup.handover.assign([upstream], dispatcher)
    ticket = FakeTicket(number, upstream, dispatcher)
    setup.handover.record_placement(ticket)
    return ticket


ASSIGNMENTS = [
    ('to another host', 'b', 'c', [('c', 'one')], [('c', 1)], [('b', 1)]),
    ('from this host', 'a', 'c', [('c', 'one')], [('c', 1)], []),
    ('to this host', 'b', 'a', [], [], [('b', 1)]),
    ('to the same host', 'b', 'b', [], [], []),
]


@pytest.mark.parametrize(
    ('name', 'before', 'after', 'placed', 'in_flight', 'ended'),
    ASSIGNMENTS,
    ids=[row[0] for row in ASSIGNMENTS],
)
def test_assign_hands_over_to_new_and_ends_at_old_dispatcher(
    name: str,
    before: str,
    after: str,
    placed: list[tuple[str, str]],
    in_flight: list[tuple[str, int]],
    ended: list[tuple[str, int]],
    setup: HandoverSetup,
) -> None:
    ticket = place(setup, 1, 'one', before)
    setup.handover.assign(['one'], after)
    assert ticket.dispatcher == after
    assert setup.link.placed == placed
    assert setup.link.in_flight == in_flight
    assert setup.link.ended == ended
    own = [1] if after == 'a' else []
    assert setup.tracker.in_flight == own
    assert setup.tracker.ended_numbers == ([1] if before == 'a' else [])


def test_assign_leaves_other_upstreams_unchanged(setup: HandoverSetup) -> None:
    place(setup, 1, 'one', 'b')
    place(setup, 2, 'two', 'b')
    setup.handover.assign(['two'], 'c')
    assert setup.link.in_flight == [('c', 2)]
    assert setup.handover.active_requests('b') == [1]
    assert setup.handover.dispatchers() == {'b', 'c'}


def test_restarted_dispatcher_gets_all_state_again(setup: HandoverSetup) -> None:
    place(setup, 1, 'one', 'b')
    setup.handover.clear_dispatcher('b')
    setup.handover.assign(['one'], 'b')
    assert setup.link.in_flight == [('b', 1)]
    assert setup.link.placed == [('b', 'one')]
    assert setup.link.ended == []


def test_prompts_past_the_reuse_window_are_not_handed_over(
    setup: HandoverSetup,
) -> None:
    ticket = place(setup, 1, 'one', 'b')
    setup.handover.record_end(ticket)
    setup.clock.run_until(PART_REUSE_WINDOW_S + 0.1)
    setup.handover.assign(['one'], 'c')
    assert setup.link.placed == []
    assert setup.link.in_flight == []


def test_prompts_of_ended_requests_are_handed_over(setup: HandoverSetup) -> None:
    setup.handover.record_end(place(setup, 1, 'one', 'b'))
    setup.handover.assign(['one'], 'c')
    assert setup.link.in_flight == []
    assert setup.link.placed == [('c', 'one')]


def test_retain_drops_removed_upstreams(setup: HandoverSetup) -> None:
    place(setup, 1, 'one', 'b')
    setup.handover.retain([])
    assert setup.handover.dispatchers() == set()
