"""In-memory stand-in for a store with prefix reads, watches and leases."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import gevent
from gevent.event import Event

from rosemaryseam.common.errors import PlatformError, UnknownOutcomeError
from rosemaryseam.common.rangestore import (
    Changes,
    ConflictError,
    EraChangedError,
    Expected,
    HistoryLostError,
    Item,
    KeyState,
    Lease,
    RangeStore,
    RefusedError,
    Snapshot,
    StorePosition,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemaryseam.common.clock import Clock

SILENT_DELAY_S = 0.2  # delay before a silent store raises the error of a timeout


class StoreCopy(NamedTuple):
    """The state of a store at a moment, from which it can be restored."""

    items: dict[str, Item]
    leases: dict[int, tuple[float, float]]
    lease_by_key: dict[str, int]
    created: dict[str, int]
    history: tuple[Item, ...]
    revision: int


class MemoryRangeStore(RangeStore):
    """Keeps items in memory and simulates faults that a test sets.

    :param clock: clock for the expiry of leases
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._created: dict[str, int] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_by_key: dict[str, int] = {}
        self._history: list[Item] = []
        self._changed = Event()
        self.revision = 1
        self.era = 0  # rises when the store is restored
        self.oldest_revision = 1  # earlier history is compacted
        self.mode = 'up'  # or 'refuse', 'silent', 'lose'
        self.calls: Counter[str] = Counter()

    # Operations of operators and upstreams.

    def put(self, key: str, value: bytes) -> int:
        """Write a key as its owner.

        :param key: the key
        :param value: value of the key
        """
        self.revision += 1
        self._append_change(Item(key, value, self.revision))
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key as its owner.

        :param key: the key
        """
        self.revision += 1
        self._append_change(Item(key, None, self.revision))

    def compact_history(self) -> None:
        """Drop all past changes, so that watches from earlier revisions fail."""
        self.oldest_revision = self.revision + 1
        self._history.clear()
        self._wake_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of the state, from which the store can be restored."""
        return StoreCopy(
            dict(self._items),
            dict(self._leases),
            dict(self._lease_by_key),
            dict(self._created),
            tuple(self._history),
            self.revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; all that was written since is lost.

        Revisions and lease ids of the lost writes are given out again.

        :param copy: earlier state of this store
        """
        self._items = dict(copy.items)
        self._created = dict(copy.created)
        self._leases = dict(copy.leases)
        self._lease_by_key = dict(copy.lease_by_key)
        self._history = list(copy.history)
        self.revision = copy.revision
        self.era += 1
        self._wake_watches()

    @property
    def position(self) -> StorePosition:
        """The era and the latest revision."""
        return StorePosition(self.era, self.revision)

    def set_mode(self, mode: str) -> None:
        """Set the fault, also for pending watches.

        :param mode: ``up``, ``refuse``, ``silent`` or ``lose``
        """
        self.mode = mode
        self._wake_watches()

    # Operations of the router.

    def read_range(self, prefix: str) -> Snapshot:
        """Return all items with a prefix."""
        self._begin_call('read')
        self._expire_leases()
        items = [
            item for key, item in sorted(self._items.items()) if key.startswith(prefix)
        ]
        return Snapshot(tuple(items), self.position)

    def watch_range(self, prefix: str, after: StorePosition, wait_s: float) -> Changes:
        """Wait for changes of keys with a prefix."""
        self._begin_call('watch')
        deadline = self._clock.monotonic() + wait_s
        while True:
            if after.era != self.era:
                raise EraChangedError('the store was restored')
            if not self.oldest_revision <= after.revision + 1 <= self.revision + 1:
                raise HistoryLostError('history lost')
            changes = [
                item
                for item in self._history
                if item.revision > after.revision and item.key.startswith(prefix)
            ]
            left = deadline - self._clock.monotonic()
            if changes or left <= 0:
                return Changes(tuple(changes), self.position)
            self._changed.wait(min(left, self._next_expiry_s()))
            self._expire_leases()
            if self.mode != 'up':
                self._begin_call('watch')

    def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease."""
        self._begin_call('lease')
        self.revision += 1
        self._leases[self.revision] = (ttl_s, self._clock.monotonic() + ttl_s)
        return Lease(self.revision, self.era)

    def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease and return whether it was still valid in its era."""
        self._begin_call('lease')
        self._expire_leases()
        if lease.id not in self._leases:
            return False
        ttl_s = self._leases[lease.id][0]
        self._leases[lease.id] = (ttl_s, self._clock.monotonic() + ttl_s)
        return lease.era == self.era

    def read_key(self, key: str) -> KeyState:
        """Return the state of one key."""
        self._begin_call('key')
        self._expire_leases()
        item = self._items.get(key)
        if item is None:
            return KeyState(None, 0, 0, self.era)
        lease = self._lease_by_key.get(key, 0)
        return KeyState(item, self._created[key], lease, self.era)

    def end_lease(self, lease: Lease) -> None:
        """End a lease, which removes its keys."""
        self._begin_call('end_lease')
        if self._leases.pop(lease.id, None) is not None:
            self._delete_keys_of({lease.id})

    def write(
        self,
        writes: Sequence[Write],
        removals: Sequence[str] = (),
        expected: Sequence[Expected] = (),
    ) -> StorePosition:
        """Write and remove keys atomically and return the position of the change."""
        if self.mode == 'refuse':
            raise RefusedError('refused')
        if self.mode == 'silent':
            gevent.sleep(SILENT_DELAY_S)
            raise UnknownOutcomeError('no answer')
        self.calls['write'] += 1
        position = self._execute(writes, removals, expected)
        if self.mode == 'lose':
            raise UnknownOutcomeError('the answer was lost')
        return position

    def _execute(
        self,
        writes: Sequence[Write],
        removals: Sequence[str],
        expected: Sequence[Expected],
    ) -> StorePosition:
        self._expire_leases()
        absent = [Item(key, None, 0) for key, _ in expected]
        current = [self._items.get(item.key, item) for item in absent]
        if [item.revision for item in current] != [entry[1] for entry in expected]:
            raise ConflictError(tuple(current))
        if any(entry.lease and entry.lease not in self._leases for entry in writes):
            raise RefusedError('no such lease')
        for entry in writes:
            self.put(entry.key, entry.value)
            self._lease_by_key[entry.key] = entry.lease
        for key in removals:
            self.delete(key)
        return self.position

    def _begin_call(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.mode == 'refuse':
            raise RefusedError('refused')
        if self.mode == 'silent':
            gevent.sleep(SILENT_DELAY_S)
            raise PlatformError('no answer')

    def _append_change(self, item: Item) -> None:
        if item.value is None:
            self._items.pop(item.key, None)
            self._created.pop(item.key, None)
        else:
            self._items[item.key] = item
            self._created.setdefault(item.key, item.revision)
        self._lease_by_key.pop(item.key, None)
        self._history.append(item)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _expire_leases(self) -> None:
        now = self._clock.monotonic()
        ended = {lease for lease, (_, until) in self._leases.items() if until <= now}
        for lease in ended:
            del self._leases[lease]
        self._delete_keys_of(ended)

    def _delete_keys_of(self, leases: set[int]) -> None:
        for key in [key for key, own in self._lease_by_key.items() if own in leases]:
            self.delete(key)

    def _next_expiry_s(self) -> float:
        now = self._clock.monotonic()
        return max(
            0.0, min((end - now for _, end in self._leases.values()), default=60.0)
        )
