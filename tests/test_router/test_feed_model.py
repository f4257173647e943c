"""Compares a host's feed and registry with a reference model of the store.

Answers of the store are lost, delayed or stale, its history is compacted, it is
unreachable, it refuses the host, and other hosts relay their answers.
"""

from __future__ import annotations

import json
import random

import gevent
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.rangestore import (
    Changes,
    EraChangedError,
    Freshness,
    HistoryLostError,
    Item,
    KeyState,
    Lease,
    RangeStore,
    Snapshot,
    StorePosition,
)
from rosemaryseam.router.documentcodec import (
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    DocumentStateCodec,
)
from rosemaryseam.router.feed import StateFeed
from rosemaryseam.router.upstreams import RESTORED_HOLD_S, Registry

MAX_KEY_STALENESS_S = 5.0
KEYS = ('k0', 'k1', 'k2', 'k3')
UPSTREAMS = ('u0', 'u1', 'u2')
STATES = ('ready', 'leaving')


class StoreModel:
    """Reference model of the store: all changes and the times of key removals."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.items: dict[str, Item] = {}
        self.changes: list[Item] = []
        self.revision = 1
        self.era = 0
        self.compacted_revision = 1
        self.removed_at: dict[str, float] = {}  # by key that the configuration lacks
        self.version = 0
        self.keys: set[str] = set()
        self.lost: dict[str, Item | None] = {}  # not written again since a restore

    def put(self, key: str, value: bytes | None) -> None:
        self.lost.pop(key, None)
        self.revision += 1
        item = Item(key, value, self.revision)
        self.changes.append(item)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item

    def configure(self, keys: set[str]) -> None:
        self.version += 1
        now = self.clock.monotonic()
        for key in self.keys - keys:
            self.removed_at[key] = now
        for key in keys:
            self.removed_at.pop(key, None)
        self.keys = set(keys)
        document = {
            'version': self.version,
            'routes': [],
            'services': [{'name': 'work'}],
            'workspaces': [{'name': 'north', 'keys': sorted(keys)}],
        }
        self.put(CONFIGURATION_KEY, json.dumps(document).encode())

    def snapshot(self, freshness: Freshness | None = None) -> Snapshot:
        return Snapshot(tuple(self.items.values()), self.position, freshness)

    @property
    def position(self) -> StorePosition:
        return StorePosition(self.era, self.revision)

    def since(
        self, after: StorePosition, freshness: Freshness | None = None
    ) -> Changes:
        if after.era != self.era:
            raise EraChangedError('restored')
        if after.revision < self.compacted_revision:
            raise HistoryLostError('dropped')
        items = tuple(item for item in self.changes if item.revision > after.revision)
        return Changes(items, self.position, freshness)

    def restore(self, copied: int, *, rewritten: bool) -> None:
        """Go back to an earlier revision; owners may have written again already."""
        latest = dict(self.items)
        lost = {item.key for item in self.changes if item.revision > copied}
        self.changes = [item for item in self.changes if item.revision <= copied]
        self.items = {item.key: item for item in self.changes}
        self.items = {
            key: item for key, item in self.items.items() if item.value is not None
        }
        self.revision = copied
        self.compacted_revision = min(self.compacted_revision, copied)
        self.era += 1
        self.lost = {key: latest.get(key) for key in sorted(lost)}
        if rewritten:
            self.write_again()

    def write_again(self) -> None:
        """Write the lost values of operators and upstreams again."""
        lost, self.lost = self.lost, {}
        for key, item in lost.items():
            if item is not None:
                self.put(key, item.value)
            elif key in self.items:
                self.put(key, None)


class FaultyStore(RangeStore):
    """Answers from the reference model, subject to the current fault.

    A relayed answer shows the model as it was when the relaying host last read it.
    """

    def __init__(self, model: StoreModel) -> None:
        self.model = model
        self.fault = 'none'
        self.delay_s = 0.0
        self.relayed: tuple[Snapshot, float] | None = None
        self.keys_after_call: set[str] | None = None  # applied during the next call

    def read_range(self, prefix: str) -> Snapshot:
        if self.fault == 'relayed' and self.relayed is not None:
            snapshot, at = self.relayed
            age = self.model.clock.monotonic() - at
            return snapshot._replace(freshness=Freshness(age, 0.0, age))
        return self._answer(self.model.snapshot)

    def watch_range(self, prefix: str, after: StorePosition, wait_s: float) -> Changes:
        if self.fault == 'relayed' and self.relayed is not None:
            return self._relayed_changes(after)
        changes = self._answer(lambda: self.model.since(after))
        if not changes.items:
            self.model.clock.advance(wait_s)
        return changes

    def _answer(self, read):  # noqa: ANN001, ANN202
        if self.fault == 'lost':
            read()
            self.model.clock.advance(self.delay_s)
            raise PlatformError('the answer was lost')
        if self.fault == 'unreachable':
            raise PlatformError('the store is unreachable')
        answer = read()
        if self.keys_after_call is not None:
            self.model.configure(self.keys_after_call)
            self.keys_after_call = None
        self.model.clock.advance(self.delay_s)
        return answer

    def _relayed_changes(self, after: StorePosition) -> Changes:
        snapshot, at = self.relayed
        newest = snapshot.position
        if newest.era != self.model.era or after.era != newest.era:
            raise HistoryLostError('the mirror is of another era')
        if not self.model.compacted_revision <= after.revision <= newest.revision:
            raise HistoryLostError('the mirror does not reach this revision')
        age = self.model.clock.monotonic() - at
        items = tuple(
            item
            for item in self.model.changes
            if after.revision < item.revision <= newest.revision
        )
        return Changes(items, newest, Freshness(age, 0.0, age))

    def grant_lease(self, ttl_s: float) -> Lease:
        return Lease(1, 0)

    def renew_lease(self, lease: Lease) -> bool:
        return True

    def read_key(self, key: str) -> KeyState:
        """Return that the key does not exist."""
        return KeyState(None, 0, 0, 0)

    def end_lease(self, lease: Lease) -> None:
        """Do nothing."""

    def write(
        self, writes: object, removals: object = (), expected: object = ()
    ) -> StorePosition:
        return self.model.position


class FeedMachine(RuleBasedStateMachine):
    """Runs one host's feed and registry beside the reference model."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.model = StoreModel(self.clock)
        self.store = FaultyStore(self.model)
        self.registry = Registry()
        self.feed = StateFeed(
            self.store,
            DocumentStateCodec(),
            self.registry,
            self.clock,
            Metrics(),
            random.Random(1),
            lambda _: None,
            lambda _: None,
        )
        self.highest_version = 0
        self.left: set[tuple[str, int]] = set()  # incarnations seen as leaving
        self.born = dict.fromkeys(UPSTREAMS, 1)
        self.restored = False

    @initialize()
    def start(self) -> None:
        self.model.configure(set(KEYS))

    # Actions of operators and upstreams.

    @rule(keys=st.sets(st.sampled_from(KEYS)))
    def change_keys(self, keys: set[str]) -> None:
        self.model.configure(keys)

    @rule(name=st.sampled_from(UPSTREAMS), state=st.sampled_from(STATES))
    def register(self, name: str, state: str) -> None:
        entry = {
            'service': 'work',
            'address': '10.0.0.1:80',
            'zone': 'a',
            'slots': 4,
            'born': self.born[name],
            'leaving': state == 'leaving',
        }
        self.model.put(UPSTREAM_PREFIX + name, json.dumps(entry).encode())

    @rule(name=st.sampled_from(UPSTREAMS))
    def unregister(self, name: str) -> None:
        if UPSTREAM_PREFIX + name in self.model.items:
            self.model.put(UPSTREAM_PREFIX + name, None)

    @rule(name=st.sampled_from(UPSTREAMS))
    def restart(self, name: str) -> None:
        self.born[name] += 1

    @rule(value=st.sampled_from([b'', b'{', b'{"service": 3}', b'[1]', b'\xff']))
    def write_invalid_entry(self, value: bytes) -> None:
        self.model.put(UPSTREAM_PREFIX + 'odd', value)

    # Faults of the store, time and calls.

    @rule(
        fault=st.sampled_from(['none', 'none', 'lost', 'unreachable', 'relayed']),
        delay_s=st.sampled_from([0.0, 0.1, 0.9]),
    )
    def change_fault(self, fault: str, delay_s: float) -> None:
        self.store.fault = fault
        self.store.delay_s = delay_s

    @rule()
    def drop_history(self) -> None:
        self.model.compacted_revision = self.model.revision

    @rule(back=st.integers(1, 6), rewritten=st.booleans())
    def restore_store(self, back: int, rewritten: bool) -> None:
        # The configuration is older than any copy.
        first = min(
            item.revision
            for item in self.model.changes
            if item.key == CONFIGURATION_KEY
        )
        copied = max(first, self.model.revision - back)
        self.model.restore(copied, rewritten=rewritten)
        self.restored = True
        if not rewritten:
            self.clock.advance(0.5)

    @rule()
    def write_again(self) -> None:
        self.model.write_again()

    @rule()
    def refresh_relayed_snapshot(self) -> None:
        self.store.relayed = (self.model.snapshot(), self.clock.monotonic())

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 6.0]))
    def advance_clock(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.feed.expire()

    @rule()
    def step_feed(self) -> None:
        real_sleep = gevent.sleep
        try:
            gevent.sleep = self.clock.advance
            self.feed.step()
        finally:
            gevent.sleep = real_sleep

    @rule(keys=st.sets(st.sampled_from(KEYS), max_size=1))
    def step_feed_while_keys_change(self, keys: set[str]) -> None:
        self.store.fault, self.store.delay_s = 'none', 0.9
        self.store.keys_after_call = keys
        self.step_feed()
        self.store.fault = 'unreachable'
        self.advance_clock(4.5)

    @rule(keys=st.sets(st.sampled_from(KEYS), max_size=1))
    def step_feed_through_stale_relay(self, keys: set[str]) -> None:
        self.refresh_relayed_snapshot()
        self.model.configure(keys)
        self.clock.advance(6.0)
        self.store.fault = 'relayed'
        self.step_feed()

    @precondition(lambda self: self.store.fault == 'none' and not self.store.delay_s)
    @rule()
    def catch_up(self) -> None:
        self.model.write_again()
        for _ in range(3):
            self.step_feed()
        self.clock.advance(RESTORED_HOLD_S if self.restored else 2.0)
        self.feed.expire()
        self.restored = False
        self.left |= self.registry._left
        assert self.feed.table is not None
        assert self.feed.table.version == self.model.version
        assert {entry.id for entry in self.registry.all()} == self.expected_upstreams()

    def expected_upstreams(self) -> set[str]:
        """Return the upstreams that a host that missed no change would use."""
        names = set()
        for key, item in self.model.items.items():
            name = key.removeprefix(UPSTREAM_PREFIX)
            if name not in UPSTREAMS:
                continue
            entry = json.loads(item.value)
            if not entry['leaving'] and (name, entry['born']) not in self.left:
                names.add(name)
        return names

    # Invariants.

    @invariant()
    def removed_keys_stop_working_within_the_staleness_limit(self) -> None:
        if self.feed.table is None or self.feed.staleness_s() >= MAX_KEY_STALENESS_S:
            return
        now = self.clock.monotonic()
        for key in KEYS:
            if self.feed.table.find_workspace(key) is not None:
                removed_at = self.model.removed_at.get(key)
                assert removed_at is None or now - removed_at <= MAX_KEY_STALENESS_S

    @invariant()
    def version_never_decreases(self) -> None:
        version = self.feed.table.version if self.feed.table else 0
        assert version >= self.highest_version
        self.highest_version = version

    @invariant()
    def invalid_entries_are_not_used(self) -> None:
        assert all(entry.id in UPSTREAMS for entry in self.registry.all())

    @invariant()
    def incarnations_that_left_stay_unusable(self) -> None:
        # One watch may bring that an upstream leaves and a later entry of it.
        self.left |= self.registry._left
        for entry in self.registry._entries.values():
            if entry.leaving:
                self.left.add(entry.upstream.incarnation)
        for upstream in self.registry.all():
            assert upstream.incarnation not in self.left


FeedMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestFeedMachine = FeedMachine.TestCase
