"""Tests hosts whose store comes back from a copy that is some seconds old."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import gevent
import pytest
from routers import KEY, RunningFleet, RunningRouter, configuration

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import ManualClock, SystemClock
from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.rangestore import (
    Changes,
    EraChangedError,
    Freshness,
    Item,
    Lease,
    Snapshot,
    StorePosition,
)
from rosemaryseam.common.wsgi import HttpServer, ServerTimeouts
from rosemaryseam.router import relayedstore
from rosemaryseam.router.documentcodec import (
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    DocumentStateCodec,
)
from rosemaryseam.router.feed import StateFeed
from rosemaryseam.router.hostentries import HOSTS_PREFIX
from rosemaryseam.router.mirror import Mirror, build_mirror_app, watch_mirror
from rosemaryseam.router.relayedstore import RelayedStore, StoreProber
from rosemaryseam.router.upstreams import RESTORED_HOLD_S, Registry
from rosemaryseam.standins.rangestore import MemoryRangeStore

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRY = b'{service: work, address: "10.0.0.1:80", zone: a, slots: 4, born: 1}'
LEAVING_ENTRY = ENTRY.replace(b'}', b', leaving: true}')
ONE = UPSTREAM_PREFIX + 'one'
FRESH = Freshness(0.1, 0.0, 0.1)


class Followed:
    """A store and a feed that follows it without a network."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ManualClock()
        monkeypatch.setattr('gevent.sleep', self.clock.advance)
        self.store = MemoryRangeStore(self.clock)
        self.store.put(CONFIGURATION_KEY, configuration(1))
        self.store.put(ONE, ENTRY)
        self.registry = Registry()
        self.restorations = 0
        self.mirror = Mirror(lambda: 0.0, lambda: 0.0)
        self.feed = StateFeed(
            self.store,
            DocumentStateCodec(),
            self.registry,
            self.clock,
            Metrics(),
            random.Random(1),
            lambda _: None,
            lambda _: None,
            self.mirror,
            self._count_restoration,
        )
        self.feed.step()

    def _count_restoration(self) -> None:
        self.restorations += 1

    def change(self, key: str, value: bytes | None) -> None:
        """Change a key as its owner, and let the feed see it."""
        if value is None:
            self.store.delete(key)
        else:
            self.store.put(key, value)
        self.feed.step()

    def follow(self) -> None:
        """Notice the restored store and read it."""
        self.feed.step()
        self.feed.step()

    def is_usable(self) -> bool:
        """Return whether the upstream may get requests."""
        return bool(self.registry.usable('work'))


def test_changes_at_revisions_given_out_again_are_seen(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = Followed(monkeypatch)
    copy = host.store.copy()
    host.change(UPSTREAM_PREFIX + 'two', ENTRY)
    host.change(UPSTREAM_PREFIX + 'three', ENTRY)
    host.store.restore(copy)
    for name in ('four', 'five', 'six'):
        host.store.put(UPSTREAM_PREFIX + name, ENTRY)
    host.follow()
    names = {entry.id for entry in host.registry.all()}
    assert {'one', 'four', 'five', 'six'} <= names
    assert host.feed.era() == 1
    assert host.restorations == 1


KEPT_STATES: list[tuple[str, list[tuple[str, bytes | None]], bool]] = [
    ('an upstream that still runs', [], True),
    ('one that was leaving', [(ONE, LEAVING_ENTRY)], False),
    ('one whose entry was removed', [(ONE, None)], False),
    ('one that left and was removed', [(ONE, LEAVING_ENTRY), (ONE, None)], False),
]


@pytest.mark.parametrize(
    ('name', 'lost', 'usable'), KEPT_STATES, ids=[row[0] for row in KEPT_STATES]
)
def test_an_upstream_that_left_does_not_come_back(
    name: str,
    lost: list[tuple[str, bytes | None]],
    usable: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = Followed(monkeypatch)
    copy = host.store.copy()
    for key, value in lost:
        host.change(key, value)
    host.store.restore(copy)
    host.follow()
    assert host.is_usable() is usable
    host.clock.advance(RESTORED_HOLD_S / 2)
    host.feed.expire()
    assert host.is_usable() is usable


RETURNS: list[tuple[str, Callable[[Followed], None]]] = [
    ('its owner writes it again', lambda host: host.change(ONE, ENTRY)),
    ('its entry outlives the hold', lambda host: host.clock.advance(RESTORED_HOLD_S)),
]


@pytest.mark.parametrize(('name', 'act'), RETURNS, ids=[row[0] for row in RETURNS])
def test_a_removed_upstream_that_lives_is_used_again(
    name: str, act: Callable[[Followed], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    host = Followed(monkeypatch)
    copy = host.store.copy()
    host.change(ONE, None)
    host.store.restore(copy)
    host.follow()
    assert not host.is_usable()
    act(host)
    host.feed.expire()
    assert host.is_usable()


def test_an_upstream_whose_registration_was_lost_stays_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = Followed(monkeypatch)
    host.store.delete(ONE)
    host.feed.step()
    copy = host.store.copy()
    host.change(ONE, ENTRY)
    host.store.restore(copy)
    host.follow()
    assert host.is_usable()
    host.clock.advance(1.6)
    host.feed.expire()
    assert not host.is_usable()


def test_a_revoked_key_stays_revoked_here_and_for_readers_of_the_mirror(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = Followed(monkeypatch)
    copy = host.store.copy()
    newer = configuration(2, workspaces=[{'name': 'north', 'keys': ['other']}])
    host.change(CONFIGURATION_KEY, newer)
    host.store.restore(copy)
    host.follow()
    assert host.feed.table.find_workspace(KEY) is None
    mirrored = {item.key: item.value for item in host.mirror.snapshot().items}
    assert mirrored[CONFIGURATION_KEY] == newer
    newest = configuration(3)
    host.change(CONFIGURATION_KEY, newest)
    assert host.feed.table.find_workspace(KEY) is not None
    mirrored = {item.key: item.value for item in host.mirror.snapshot().items}
    assert mirrored[CONFIGURATION_KEY] == newest


# Reading through another host.


class DirectStore(MemoryRangeStore):
    """The store itself, which counts how often it is read."""

    def __init__(self) -> None:
        super().__init__(ManualClock())
        self.put(CONFIGURATION_KEY, configuration(1))


def build_relayed_store(store: MemoryRangeStore) -> RelayedStore:
    """Return a store read through others by a host that is no reader itself."""
    hosts = {f'10.0.0.{number}': 4.0 for number in range(1, 20)}
    relayed = RelayedStore(store, '10.0.1.1', 7, ManualClock(), Metrics(), 0.1)
    relayed.known_hosts = lambda: hosts
    return relayed


def test_a_reader_of_an_ended_era_is_avoided(monkeypatch: pytest.MonkeyPatch) -> None:
    store = DirectStore()
    store.restore(store.copy())
    relayed = build_relayed_store(store)
    old = Snapshot((Item('old', b'', 5),), StorePosition(0, 9), FRESH)
    answers = iter(
        [Snapshot((Item('new', b'', 5),), StorePosition(1, 5), FRESH), old, old]
    )
    monkeypatch.setattr(relayedstore, 'read_mirror', lambda *_: next(answers))
    assert relayed.read_range('').items[0].key == 'new'
    assert relayed.read_range('').items[0].key != 'old'
    assert store.calls['read'] == 1


def test_a_watch_learns_the_new_era_from_its_reader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    store = DirectStore()
    relayed = build_relayed_store(store)

    def raise_era_changed(*_: object) -> Changes:
        raise EraChangedError('restored')

    monkeypatch.setattr(relayedstore, 'watch_mirror', raise_era_changed)
    with pytest.raises(EraChangedError):
        relayed.watch_range('', StorePosition(0, 9), 1.0)
    assert not store.calls['watch']


MIRROR_ERAS: list[tuple[str, StorePosition, type[Exception] | None]] = [
    ('same position', StorePosition(2, 10), None),
    ('earlier era', StorePosition(1, 10), EraChangedError),
    ('earlier era, later revision', StorePosition(1, 99), EraChangedError),
    ('later era', StorePosition(3, 10), PlatformError),
    ('later revision', StorePosition(2, 11), PlatformError),
]


@pytest.mark.parametrize(
    ('name', 'after', 'error'), MIRROR_ERAS, ids=[row[0] for row in MIRROR_ERAS]
)
def test_a_mirror_answers_only_positions_of_its_era(
    name: str, after: StorePosition, error: type[Exception] | None
) -> None:
    mirror = Mirror(lambda: 0.1, lambda: 0.1)
    mirror.load(Snapshot((), StorePosition(2, 10)))
    server = HttpServer(
        Address('127.0.0.1', 0), build_mirror_app(mirror), ServerTimeouts()
    )
    server.start()
    address = Address('127.0.0.1', server.server_port)
    try:
        if error is None:
            assert watch_mirror(address, after, 0.01, 1.0).items == ()
        else:
            with pytest.raises(error) as caught:
                watch_mirror(address, after, 0.01, 1.0)
            changed = error is EraChangedError
            assert isinstance(caught.value, EraChangedError) is changed
    finally:
        server.stop(timeout=0)


PROBES = [
    ('the lease holds', Lease(7, 1), 1, True, True),
    ('the feed still follows the ended era', Lease(7, 2), 1, True, False),
    ('the lease is of an ended era', Lease(7, 1), 1, False, False),
]


@pytest.mark.parametrize(
    ('name', 'lease', 'era', 'valid', 'counts'), PROBES, ids=[row[0] for row in PROBES]
)
def test_a_probe_confirms_only_the_era_that_the_feed_follows(
    name: str, lease: Lease, era: int, valid: bool, counts: bool
) -> None:
    clock = ManualClock()
    clock.advance(10.0)
    lost = []

    class Store(DirectStore):
        def renew_lease(self, lease: Lease) -> bool:
            return valid

    prober = StoreProber(
        Store(), clock, lambda: lease, lambda: 0.0, lambda: era, lambda: lost.append(1)
    )
    prober._probe(lease)
    assert (prober.since_contact_s() < 1.0) is counts
    assert bool(lost) is not valid


# Hosts in the store.


def host_entries(store: MemoryRangeStore) -> set[str]:
    """Return the addresses of the hosts that the store lists."""
    items = store.read_range(HOSTS_PREFIX).items
    return {item.key.removeprefix(HOSTS_PREFIX) for item in items}


def test_hosts_register_again_at_once_and_are_not_forgotten() -> None:
    store = MemoryRangeStore(SystemClock())
    store.put(CONFIGURATION_KEY, configuration(1))
    copy = store.copy()
    fleet = RunningFleet(3, store=store)
    try:
        known = {host.cfg.ip for host in fleet.hosts}
        fleet.hosts[0].wait(lambda: host_entries(store) == known)
        store.restore(copy)
        counts = []
        with gevent.Timeout(4.0):
            while host_entries(store) != known:
                counts.append(min(one.router.peers.host_count() for one in fleet.hosts))
                gevent.sleep(0.02)
        for host in fleet.hosts:
            host.wait(lambda host=host: host.router.feed.era() == 1)
        assert set(counts) <= {3}
        leases = {host.router.peers.lease() for host in fleet.hosts}
        assert {lease.era for lease in leases} == {1}
    finally:
        fleet.stop()


def test_a_host_that_is_gone_is_dropped_after_a_restore() -> None:
    store = MemoryRangeStore(SystemClock())
    store.put(CONFIGURATION_KEY, configuration(1))
    copy = store.copy()
    running = RunningRouter(store)
    try:
        running.start()
        entry = b'{"port": 1, "capacity": 1.0}'
        store.put(HOSTS_PREFIX + '127.0.3.3', entry)
        peers = running.router.peers
        running.wait(lambda: peers.host_count() == 2)
        store.restore(copy)
        running.wait(lambda: running.router.feed.era() == 1)
        assert peers.host_count() == 2
        running.wait(lambda: peers.host_count() == 1, 8.0)
    finally:
        running.stop()


def test_a_host_whose_entry_is_removed_registers_again() -> None:
    running = RunningRouter()
    try:
        running.start()
        own = {running.cfg.ip}
        running.wait(lambda: host_entries(running.store) == own)
        running.wait(lambda: running.router.peers.lease() is not None)
        running.store.delete(HOSTS_PREFIX + running.cfg.ip)
        running.wait(lambda: host_entries(running.store) == own)
    finally:
        running.stop()


def test_a_host_that_a_complete_read_lacks_registers_again() -> None:
    running = RunningRouter()
    try:
        running.start()
        own = {running.cfg.ip}
        running.wait(lambda: running.router.peers.lease() is not None)
        running.store.compact_history()
        running.store.delete(HOSTS_PREFIX + running.cfg.ip)
        running.store.compact_history()
        running.wait(lambda: host_entries(running.store) == own, 6.0)
    finally:
        running.stop()
