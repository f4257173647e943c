"""What a host believes of the store, against a naive twin that sees everything.

The store's answers are lost, late and stale; its history is dropped, it is away, it
turns the host away, and other hosts relay answers of theirs.
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
    Freshness,
    HistoryLostError,
    Item,
    RangeStore,
    Snapshot,
)
from rosemaryseam.router.documentcodec import (
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    DocumentStateCodec,
)
from rosemaryseam.router.feed import StateFeed
from rosemaryseam.router.upstreams import Registry

KEY_AGE_S = 5.0
KEYS = ('k0', 'k1', 'k2', 'k3')
UPSTREAMS = ('u0', 'u1', 'u2')
STATES = ('ready', 'leaving')


class Truth:
    """The store as it is: all changes, and when they were acknowledged."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.items: dict[str, Item] = {}
        self.changes: list[Item] = []
        self.revision = 1
        self.floor = 1
        self.removed_at: dict[str, float] = {}  # of keys that no configuration holds
        self.version = 0
        self.keys: set[str] = set()

    def put(self, key: str, value: bytes | None) -> None:
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

    def snapshot(self, proof: Freshness | None = None) -> Snapshot:
        return Snapshot(tuple(self.items.values()), self.revision, proof)

    def since(self, after: int, proof: Freshness | None = None) -> Changes:
        if after < self.floor:
            raise HistoryLostError('dropped')
        items = tuple(item for item in self.changes if item.revision > after)
        return Changes(items, self.revision, proof)


class FaultyStore(RangeStore):
    """Answers from the truth, or as the next fault says.

    A relayed answer shows the truth as it was when the relaying host last asked.
    """

    def __init__(self, truth: Truth) -> None:
        self.truth = truth
        self.fault = 'none'
        self.delay_s = 0.0
        self.relayed: tuple[Snapshot, float] | None = None
        self.meanwhile: set[str] | None = None  # keys that are left during the call

    def read_range(self, prefix: str) -> Snapshot:
        if self.fault == 'relayed' and self.relayed is not None:
            snapshot, at = self.relayed
            age = self.truth.clock.monotonic() - at
            return snapshot._replace(freshness=Freshness(age, 0.0, age))
        return self._answer(self.truth.snapshot)

    def watch_range(self, prefix: str, after: int, wait_s: float) -> Changes:
        if self.fault == 'relayed' and self.relayed is not None:
            return self._relayed_changes(after)
        changes = self._answer(lambda: self.truth.since(after))
        if not changes.items:
            self.truth.clock.advance(wait_s)
        return changes

    def _answer(self, read):  # noqa: ANN001, ANN202
        if self.fault == 'lost':
            read()
            self.truth.clock.advance(self.delay_s)
            raise PlatformError('the answer was lost')
        if self.fault == 'away':
            raise PlatformError('the store is away')
        answer = read()
        if self.meanwhile is not None:
            self.truth.configure(self.meanwhile)
            self.meanwhile = None
        self.truth.clock.advance(self.delay_s)
        return answer

    def _relayed_changes(self, after: int) -> Changes:
        snapshot, at = self.relayed
        if not self.truth.floor <= after <= snapshot.revision:
            raise HistoryLostError('the mirror does not reach this revision')
        age = self.truth.clock.monotonic() - at
        items = tuple(
            item
            for item in self.truth.changes
            if after < item.revision <= snapshot.revision
        )
        return Changes(items, snapshot.revision, Freshness(age, 0.0, age))

    def grant_lease(self, ttl_s: float) -> int:
        return 1

    def renew_lease(self, lease: int) -> bool:
        return True

    def write(self, writes: object, removals: object = ()) -> int:
        return 1


class Beliefs(RuleBasedStateMachine):
    """One host's feed and registry beside the truth."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.truth = Truth(self.clock)
        self.store = FaultyStore(self.truth)
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
        self.highest = 0
        self.gone: set[tuple[str, int]] = set()  # incarnations that were seen leaving
        self.born = dict.fromkeys(UPSTREAMS, 1)

    @initialize()
    def start(self) -> None:
        self.truth.configure(set(KEYS))

    # What operators and upstreams do.

    @rule(keys=st.sets(st.sampled_from(KEYS)))
    def change_keys(self, keys: set[str]) -> None:
        self.truth.configure(keys)

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
        self.truth.put(UPSTREAM_PREFIX + name, json.dumps(entry).encode())

    @rule(name=st.sampled_from(UPSTREAMS))
    def unregister(self, name: str) -> None:
        if UPSTREAM_PREFIX + name in self.truth.items:
            self.truth.put(UPSTREAM_PREFIX + name, None)

    @rule(name=st.sampled_from(UPSTREAMS))
    def restart(self, name: str) -> None:
        self.born[name] += 1

    @rule(value=st.sampled_from([b'', b'{', b'{"service": 3}', b'[1]', b'\xff']))
    def write_nonsense(self, value: bytes) -> None:
        self.truth.put(UPSTREAM_PREFIX + 'odd', value)

    # What happens to the store.

    @rule(
        fault=st.sampled_from(['none', 'none', 'lost', 'away', 'relayed']),
        delay_s=st.sampled_from([0.0, 0.1, 0.9]),
    )
    def change_fault(self, fault: str, delay_s: float) -> None:
        self.store.fault = fault
        self.store.delay_s = delay_s

    @rule()
    def drop_history(self) -> None:
        self.truth.floor = self.truth.revision

    @rule()
    def relay_asks(self) -> None:
        self.store.relayed = (self.truth.snapshot(), self.clock.monotonic())

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 6.0]))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.feed.expire()

    @rule()
    def call(self) -> None:
        before = gevent.sleep
        try:
            gevent.sleep = self.clock.advance
            self.feed.step()
        finally:
            gevent.sleep = before

    @rule(keys=st.sets(st.sampled_from(KEYS), max_size=1))
    def call_while_keys_change(self, keys: set[str]) -> None:
        self.store.fault, self.store.delay_s = 'none', 0.9
        self.store.meanwhile = keys
        self.call()
        self.store.fault = 'away'
        self.pass_time(4.5)

    @rule(keys=st.sets(st.sampled_from(KEYS), max_size=1))
    def read_through_a_host_that_lost_the_store(self, keys: set[str]) -> None:
        self.relay_asks()
        self.truth.configure(keys)
        self.clock.advance(6.0)
        self.store.fault = 'relayed'
        self.call()

    @precondition(lambda self: self.store.fault == 'none' and not self.store.delay_s)
    @rule()
    def catch_up(self) -> None:
        for _ in range(3):
            self.call()
        self.clock.advance(2.0)
        self.feed.expire()
        assert self.feed.table is not None
        assert self.feed.table.version == self.truth.version
        assert {entry.id for entry in self.registry.all()} == self.expected_upstreams()

    def expected_upstreams(self) -> set[str]:
        """Return what a host that missed nothing would use."""
        names = set()
        for key, item in self.truth.items.items():
            name = key.removeprefix(UPSTREAM_PREFIX)
            if name not in UPSTREAMS:
                continue
            entry = json.loads(item.value)
            if not entry['leaving'] and (name, entry['born']) not in self.gone:
                names.add(name)
        return names

    # What must hold at any time.

    @invariant()
    def no_key_is_used_long_after_it_was_taken_away(self) -> None:
        if self.feed.table is None or self.feed.staleness_s() >= KEY_AGE_S:
            return
        now = self.clock.monotonic()
        for key in KEYS:
            if self.feed.table.find_workspace(key) is not None:
                removed_at = self.truth.removed_at.get(key)
                assert removed_at is None or now - removed_at <= KEY_AGE_S

    @invariant()
    def the_version_never_goes_back(self) -> None:
        version = self.feed.table.version if self.feed.table else 0
        assert version >= self.highest
        self.highest = version

    @invariant()
    def nothing_unreadable_is_used(self) -> None:
        assert all(entry.id in UPSTREAMS for entry in self.registry.all())

    @invariant()
    def an_incarnation_that_left_stays_out(self) -> None:
        for entry in self.registry._entries.values():
            if entry.leaving:
                self.gone.add(entry.upstream.incarnation)
        for upstream in self.registry.all():
            assert upstream.incarnation not in self.gone


Beliefs.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
test_beliefs = Beliefs.TestCase
