"""Tests the store feed: the version and upstreams in force, and their staleness."""

from __future__ import annotations

import random
from typing import Any

import pytest
from routers import RunningRouter, configuration

from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.rangestore import (
    Changes,
    HistoryLostError,
    Item,
    KeyState,
    Lease,
    LeftOutItem,
    RangeStore,
    Snapshot,
    StorePosition,
)
from rosemaryseam.common.skippedvalues import SkippedValues
from rosemaryseam.router.documentcodec import (
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    DocumentStateCodec,
)
from rosemaryseam.router.feed import WATCH_S, StateFeed
from rosemaryseam.router.upstreams import Registry

ENTRY = b'{service: work, address: "10.0.0.1:80", zone: a, slots: 4, born: 1}'


def at(revision: int, era: int = 0) -> StorePosition:
    """Return a position of the store."""
    return StorePosition(era, revision)


class ScriptedStore(RangeStore):
    """Returns scripted answers, each after some seconds.

    :param clock: clock that each call advances
    :param answers: pairs of seconds and the value to return or raise
    """

    def __init__(self, clock: ManualClock, answers: list[tuple[float, Any]]) -> None:
        self._clock = clock
        self._answers = answers

    def _next(self) -> Any:
        seconds, answer = self._answers.pop(0)
        self._clock.advance(seconds)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def read_range(self, prefix: str) -> Snapshot:
        """Return the next answer."""
        return self._next()

    def watch_range(self, prefix: str, after: StorePosition, wait_s: float) -> Changes:
        """Return the next answer."""
        return self._next()

    def grant_lease(self, ttl_s: float) -> Lease:
        """Do nothing."""
        return Lease(1, 0)

    def renew_lease(self, lease: Lease) -> bool:
        """Do nothing."""
        return True

    def read_key(self, key: str) -> KeyState:
        """Return that the key does not exist."""
        return KeyState(None, 0, 0, 0)

    def end_lease(self, lease: Lease) -> None:
        """Do nothing."""

    def write(
        self, writes: Any, removals: Any = (), expected: Any = ()
    ) -> StorePosition:
        """Do nothing."""
        return at(1)


def configuration_item(version: int, revision: int) -> Item:
    """Return a configuration as an item."""
    return Item(CONFIGURATION_KEY, configuration(version), revision)


def upstream_item(revision: int, value: bytes | None = ENTRY) -> Item:
    """Return an upstream's registration as an item."""
    return Item(UPSTREAM_PREFIX + 'one', value, revision)


def build_feed(
    answers: list[tuple[float, Any]],
    monkeypatch: pytest.MonkeyPatch,
    skipped: SkippedValues | None = None,
) -> tuple[StateFeed, Registry, ManualClock]:
    """Return a feed that has made one call for each answer."""
    clock = ManualClock()
    monkeypatch.setattr('gevent.sleep', clock.advance)
    registry = Registry()
    feed = StateFeed(
        ScriptedStore(clock, answers),
        DocumentStateCodec(),
        registry,
        clock,
        Metrics(),
        random.Random(1),
        lambda _: None,
        lambda _: None,
        skipped=skipped,
    )
    for _ in range(len(answers)):
        feed.step()
    return feed, registry, clock


# Guards against items that are left out of a read without a trace.
def test_items_that_were_left_out_are_counted_once_and_shown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    left_out = (
        LeftOutItem("'servers/\\ud800'", 'the key cannot be encoded', False),
        LeftOutItem('no key', 'the key is no text', True),
    )
    snapshot = Snapshot((configuration_item(1, 1),), at(2), left_out=left_out)
    changes = Changes((), at(3), left_out=left_out[:1])
    metrics = Metrics()
    skipped = SkippedValues(metrics)
    answers = [
        (0.1, snapshot),
        (0.1, changes),
        (0.1, HistoryLostError('')),
        (0, snapshot),
    ]
    build_feed(answers, monkeypatch, skipped)
    assert skipped.dump() == {one.name: f'item: {one.reason}' for one in left_out}
    assert metrics.value('values_skipped', kind='item') == 2


FAILURE = PlatformError('no answer')
INITIAL_SNAPSHOT = (0.01, Snapshot((configuration_item(1, 1), upstream_item(2)), at(2)))

STALENESS = [
    ('a snapshot', [INITIAL_SNAPSHOT], 0.01),
    (
        'an empty watch confirms its whole wait',
        [INITIAL_SNAPSHOT, (WATCH_S, Changes((), at(2)))],
        0.0,
    ),
    (
        'a slow empty watch confirms no more than its wait',
        [INITIAL_SNAPSHOT, (WATCH_S + 0.5, Changes((), at(2)))],
        0.5,
    ),
    (
        'a watch that returned early confirms its start',
        [INITIAL_SNAPSHOT, (1.5, Changes((configuration_item(2, 3),), at(3)))],
        1.5,
    ),
    ('a failed call confirms nothing', [INITIAL_SNAPSHOT, (1.0, FAILURE)], 1.1),
]


@pytest.mark.parametrize(
    ('name', 'answers', 'expected'), STALENESS, ids=[row[0] for row in STALENESS]
)
def test_staleness(
    name: str, answers: list, expected: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    feed, _, _ = build_feed(list(answers), monkeypatch)
    assert feed.staleness_s() == pytest.approx(expected, abs=0.1)


VERSIONS = [
    ('the first', [INITIAL_SNAPSHOT], 1),
    (
        'a newer one',
        [INITIAL_SNAPSHOT, (0.1, Changes((configuration_item(3, 4),), at(4)))],
        3,
    ),
    (
        'an older one is ignored',
        [INITIAL_SNAPSHOT, (0.1, Changes((configuration_item(0, 4),), at(4)))],
        1,
    ),
    (
        'an unreadable one is ignored',
        [INITIAL_SNAPSHOT, (0.1, Changes((Item(CONFIGURATION_KEY, b'{', 4),), at(4)))],
        1,
    ),
    (
        'a removed one stays in force',
        [INITIAL_SNAPSHOT, (0.1, Changes((Item(CONFIGURATION_KEY, None, 4),), at(4)))],
        1,
    ),
    (
        'read again when the history is lost',
        [
            INITIAL_SNAPSHOT,
            (0.1, HistoryLostError('gone')),
            (0.1, Snapshot((configuration_item(9, 9), upstream_item(2)), at(9))),
        ],
        9,
    ),
]


@pytest.mark.parametrize(
    ('name', 'answers', 'expected'), VERSIONS, ids=[row[0] for row in VERSIONS]
)
def test_configuration_version_in_force(
    name: str, answers: list, expected: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    feed, _, _ = build_feed(list(answers), monkeypatch)
    assert feed.table is not None
    assert feed.table.version == expected


# Guards against versions that are ignored without a trace (issue 42).
def test_a_configuration_that_is_not_newer_is_counted_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    older = (0.1, Changes((configuration_item(2, 4),), at(4)))
    first = (0.1, Snapshot((configuration_item(3, 2),), at(2)))
    feed, _, _ = build_feed([first, older, older], monkeypatch)
    assert feed._metrics.value('configurations_not_newer') == 1


UPSTREAMS = [
    ('registered', [INITIAL_SNAPSHOT], True),
    (
        'removed',
        [INITIAL_SNAPSHOT, (0.1, Changes((upstream_item(3, None),), at(3)))],
        False,
    ),
    (
        'an unreadable registration names no upstream',
        [INITIAL_SNAPSHOT, (0.1, Changes((upstream_item(3, b'\xff'),), at(3)))],
        False,
    ),
    (
        'kept for a while when expired in an outage',
        [
            INITIAL_SNAPSHOT,
            (1.0, FAILURE),
            (0.1, Changes((upstream_item(3, None),), at(3))),
        ],
        True,
    ),
]


@pytest.mark.parametrize(
    ('name', 'answers', 'expected'), UPSTREAMS, ids=[row[0] for row in UPSTREAMS]
)
def test_registered_upstreams(
    name: str, answers: list, expected: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    _, registry, _ = build_feed(list(answers), monkeypatch)
    assert bool(registry.usable('work')) is expected


def test_expired_entry_is_dropped_without_a_watch_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answers = [
        INITIAL_SNAPSHOT,
        (1.0, FAILURE),
        (0.1, Changes((upstream_item(3, None),), at(3))),
    ]
    feed, registry, clock = build_feed(answers, monkeypatch)
    clock.advance(1.6)
    feed.expire()
    assert not registry.usable('work')


# Tests with a whole router.


def test_keys_are_refused_only_while_the_configuration_is_stale() -> None:
    running = RunningRouter(max_key_staleness_s=0.5, store_timeout_s=0.2)
    running.start()
    try:
        running.add('one', lambda exchange: exchange.answer(200))
        assert running.call('safe').status == 200
        running.store.set_mode('refuse')
        running.wait(lambda: running.router.feed.staleness_s() > 0.5)
        refused = running.call('safe')
        public = running.call('public', key=None)
        not_ready = running.router.not_ready()
        running.store.set_mode('up')
        running.wait(lambda: running.router.feed.staleness_s() < 0.4)
        again = running.call('safe')
    finally:
        running.stop()
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0
    assert public.status == 200
    assert not_ready == 'configuration may be old'
    assert again.status == 200


def test_revoked_key_is_refused_on_an_open_connection() -> None:
    running = RunningRouter()
    running.start()
    try:
        running.add('one', lambda exchange: exchange.answer(200))
        with running.connection() as conn:
            assert conn.call('safe').status == 200
            running.store.put(
                CONFIGURATION_KEY,
                configuration(2, workspaces=[{'name': 'north', 'keys': ['other']}]),
            )
            running.wait(lambda: running.router.feed.table.version == 2)
            assert conn.call('safe').status == 401
    finally:
        running.stop()


LATE_CHANGES: list[tuple[str, str, int]] = [
    ('the key was revoked', 'revoke', 401),
    ('no contact with the store for too long', 'lose_contact', 503),
]


@pytest.mark.parametrize('route', ['safe', 'unsafe', 'once'])
@pytest.mark.parametrize(
    ('name', 'change', 'status'), LATE_CHANGES, ids=[row[0] for row in LATE_CHANGES]
)
def test_a_key_is_checked_again_directly_before_the_send(
    name: str, change: str, status: int, route: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process may be paused after it admitted a request."""
    running = RunningRouter()
    running.start()
    try:
        upstream = running.add('one', lambda exchange: exchange.answer(200))
        router = running.router
        place = router._placer.place

        def place_after_a_pause(*args: Any) -> Any:
            ticket = place(*args)
            if change == 'revoke':
                others = [{'name': 'north', 'keys': ['other']}]
                running.store.put(
                    CONFIGURATION_KEY, configuration(2, workspaces=others)
                )
                running.wait(lambda: router.feed.table.version == 2)
            else:
                monkeypatch.setattr(router.feed, 'staleness_s', lambda: 6.0)
            return ticket

        monkeypatch.setattr(router._placer, 'place', place_after_a_pause)
        assert running.call(route).status == status
        assert not upstream.requests
    finally:
        running.stop()
