"""Stand-in for a store with prefixes, watches and leases, in memory."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from rosemaryseam.common.errors import PlatformError, UnknownOutcomeError
from rosemaryseam.common.rangestore import (
    Changes,
    HistoryLostError,
    Item,
    RangeStore,
    RefusedError,
    Snapshot,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemaryseam.common.clock import Clock

SILENT_S = 0.2  # after which a silent store counts as one that does not answer


class MemoryRangeStore(RangeStore):
    """Keeps items in memory and suffers the faults that a test sets.

    :param clock: ends leases
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._items: dict[str, Item] = {}
        self._leases: dict[int, tuple[float, float]] = {}
        self._leased: dict[str, int] = {}
        self._history: list[Item] = []
        self._changed = Event()
        self.revision = 1
        self.oldest_revision = 1  # history before this revision is lost
        self.mode = 'up'  # or 'refuse', 'silent', 'lose'
        self.calls: Counter[str] = Counter()

    # What operators and upstreams do.

    def put(self, key: str, value: bytes) -> int:
        """Write a key as its owner does.

        :param key: the key
        :param value: its value
        """
        self.revision += 1
        self._record(Item(key, value, self.revision))
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key as its owner does.

        :param key: the key
        """
        self.revision += 1
        self._record(Item(key, None, self.revision))

    def compact_history(self) -> None:
        """Drop all past changes, so that watches from before them fail."""
        self.oldest_revision = self.revision + 1
        self._history.clear()
        self._notify()

    def set_mode(self, mode: str) -> None:
        """Set the fault in force; watches that wait feel it too.

        :param mode: ``up``, ``refuse``, ``silent`` or ``lose``
        """
        self.mode = mode
        self._notify()

    # What the router does.

    def read_range(self, prefix: str) -> Snapshot:
        """Return all items below a prefix."""
        self._enter('read')
        self._expire()
        items = [
            item for key, item in sorted(self._items.items()) if key.startswith(prefix)
        ]
        return Snapshot(tuple(items), self.revision)

    def watch_range(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes below a prefix."""
        self._enter('watch')
        deadline = self._clock.monotonic() + wait_s
        while True:
            if after + 1 < self.oldest_revision:
                raise HistoryLostError('history lost')
            found = [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            left = deadline - self._clock.monotonic()
            if found or left <= 0:
                return Changes(tuple(found), self.revision)
            self._changed.wait(left)
            if self.mode != 'up':
                self._enter('watch')

    def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        self._enter('lease')
        self.revision += 1
        self._leases[self.revision] = (ttl_s, self._clock.monotonic() + ttl_s)
        return self.revision

    def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it still held."""
        self._enter('lease')
        self._expire()
        if lease not in self._leases:
            return False
        ttl_s = self._leases[lease][0]
        self._leases[lease] = (ttl_s, self._clock.monotonic() + ttl_s)
        return True

    def write(self, writes: Sequence[Write], removals: Sequence[str] = ()) -> int:
        """Write and remove keys, all or none, and return the revision."""
        if self.mode == 'refuse':
            raise RefusedError('refused')
        if self.mode == 'silent':
            gevent.sleep(SILENT_S)
            raise UnknownOutcomeError('no answer')
        self.calls['write'] += 1
        for entry in writes:
            self.put(entry.key, entry.value)
            self._leased[entry.key] = entry.lease
        for key in removals:
            self.delete(key)
        if self.mode == 'lose':
            raise UnknownOutcomeError('the answer was lost')
        return self.revision

    def _enter(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.mode == 'refuse':
            raise RefusedError('refused')
        if self.mode == 'silent':
            gevent.sleep(SILENT_S)
            raise PlatformError('no answer')

    def _record(self, item: Item) -> None:
        if item.value is None:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item
        self._leased.pop(item.key, None)
        self._history.append(item)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _expire(self) -> None:
        now = self._clock.monotonic()
        ended = {lease for lease, (_, until) in self._leases.items() if until <= now}
        for lease in ended:
            del self._leases[lease]
        for key in [key for key, lease in self._leased.items() if lease in ended]:
            self.delete(key)
