"""What hosts tell the dispatchers that take upstreams over."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import pytest

from rosemaryseam.common.addresses import Address
from rosemaryseam.experiments.events import Timeline
from rosemaryseam.policy.prefixes import PART_REUSE_WINDOW_S
from rosemaryseam.router.handover import Handover
from rosemaryseam.router.hostlink import HostLink
from rosemaryseam.router.upstreams import Upstream

if TYPE_CHECKING:
    from rosemaryseam.router.datagrams import DispatchRequest, EndedRequest
    from rosemaryseam.router.queries import Held, Placed

PARTS = ((1, 100), (2, 50))


class RecordingLink(HostLink):
    """Keeps what is told to other hosts."""

    def __init__(self) -> None:
        self.placed: list[tuple[str, str]] = []
        self.held: list[tuple[str, int]] = []
        self.ended: list[tuple[str, int]] = []

    def known_hosts(self) -> dict[str, float]:
        return {'b': 1.0, 'c': 1.0}

    def ask(self, host: str, ask: DispatchRequest) -> None:
        raise AssertionError('nothing is asked here')

    def send_started(self, host: str, number: int) -> None:
        raise AssertionError('nothing starts here')

    def send_ended(self, host: str, entry: EndedRequest) -> None:
        self.ended.append((host, entry.number))

    def send_held(self, host: str, held: Held) -> None:
        self.held.append((host, held.number))

    def send_placed(self, host: str, placed: Placed) -> None:
        self.placed.append((host, placed.upstream))


class RecordingTracker:
    """Keeps what this host's own tracker is told."""

    def __init__(self) -> None:
        self.placed: list[str] = []
        self.held: list[int] = []
        self.ended_numbers: list[int] = []

    def adopt(self, host: str, held: Held) -> None:
        self.held.append(held.number)

    def adopt_placed(self, placed: Placed) -> None:
        self.placed.append(placed.upstream)

    def ended(self, host: str, number: int, outcome: str, took_s: float) -> None:
        self.ended_numbers.append(number)


class FakeTicket:
    """A request of this host."""

    def __init__(self, number: int, upstream: str, dispatcher: str) -> None:
        self.number = number
        self.upstream = Upstream(upstream, 1, 'engines', Address('x', 1), 'a', 4)
        self.dispatcher = dispatcher
        self.parts = PARTS
        self.engine_speed = 1.5

    def held(self) -> FakeTicket:
        return self


class Scene(NamedTuple):
    """A handover with what it tells to whom."""

    handover: Handover
    timeline: Timeline
    link: RecordingLink
    tracker: RecordingTracker


@pytest.fixture
def scene() -> Scene:
    timeline, tracker, link = Timeline(), RecordingTracker(), RecordingLink()
    handover = Handover('a', timeline, tracker)
    handover.connect(link)
    return Scene(handover, timeline, link, tracker)


def place(scene: Scene, number: int, upstream: str, dispatcher: str) -> FakeTicket:
    """Place a request through a dispatcher."""
    scene.handover.assign([upstream], dispatcher)
    ticket = FakeTicket(number, upstream, dispatcher)
    scene.handover.note_placed(ticket)
    return ticket


MOVES = [
    ('to another host', 'b', 'c', [('c', 'one')], [('c', 1)], [('b', 1)]),
    ('from this host', 'a', 'c', [('c', 'one')], [('c', 1)], []),
    ('to this host', 'b', 'a', [], [], [('b', 1)]),
    ('nowhere', 'b', 'b', [], [], []),
]


@pytest.mark.parametrize(
    ('name', 'before', 'after', 'placed', 'held', 'ended'),
    MOVES,
    ids=[row[0] for row in MOVES],
)
def test_a_new_keeper_learns_and_the_old_one_forgets(
    name: str,
    before: str,
    after: str,
    placed: list[tuple[str, str]],
    held: list[tuple[str, int]],
    ended: list[tuple[str, int]],
    scene: Scene,
) -> None:
    ticket = place(scene, 1, 'one', before)
    scene.handover.assign(['one'], after)
    assert ticket.dispatcher == after
    assert scene.link.placed == placed
    assert scene.link.held == held
    assert scene.link.ended == ended
    own = [1] if after == 'a' else []
    assert scene.tracker.held == own
    assert scene.tracker.ended_numbers == ([1] if before == 'a' else [])


def test_other_upstreams_stay_where_they_are(scene: Scene) -> None:
    place(scene, 1, 'one', 'b')
    place(scene, 2, 'two', 'b')
    scene.handover.assign(['two'], 'c')
    assert scene.link.held == [('c', 2)]
    assert scene.handover.active_requests('b') == [1]
    assert scene.handover.dispatchers() == {'b', 'c'}


def test_a_restarted_keeper_is_told_everything_again(scene: Scene) -> None:
    place(scene, 1, 'one', 'b')
    scene.handover.clear_dispatcher('b')
    scene.handover.assign(['one'], 'b')
    assert scene.link.held == [('b', 1)]
    assert scene.link.placed == [('b', 'one')]
    assert scene.link.ended == []


def test_prompts_that_no_engine_holds_any_more_are_not_told(scene: Scene) -> None:
    ticket = place(scene, 1, 'one', 'b')
    scene.handover.note_ended(ticket)
    scene.timeline.run(PART_REUSE_WINDOW_S + 0.1)
    scene.handover.assign(['one'], 'c')
    assert scene.link.placed == []
    assert scene.link.held == []


def test_ended_requests_leave_their_prompts_behind(scene: Scene) -> None:
    scene.handover.note_ended(place(scene, 1, 'one', 'b'))
    scene.handover.assign(['one'], 'c')
    assert scene.link.held == []
    assert scene.link.placed == [('c', 'one')]


def test_upstreams_that_are_gone_are_forgotten(scene: Scene) -> None:
    place(scene, 1, 'one', 'b')
    scene.handover.retain([])
    assert scene.handover.dispatchers() == set()
