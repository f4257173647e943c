"""Reads of the store that a few hosts make for all."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

import gevent

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.rangestore import (
    Changes,
    HistoryLostError,
    RangeStore,
    Snapshot,
    Write,
)
from rosemaryseam.policy.rendezvous import rank_by_capacity, rank_by_hash
from rosemaryseam.router.mirror import read_mirror, watch_mirror

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.router.mirror import Mirror

HOSTS_PER_READER = 25
LEAST_READERS = 2
RELAYED_FROM_HOSTS = 13  # with fewer hosts their own watches are cheaper
WATCH_S = 0.5  # a relayed watch; a reader that lost the store is found out by then
TIMEOUT_S = 0.3
OLD_PROOF_S = 3.4  # a reader whose own proof is older is not believed
SILENT_S = 0.9  # a reader that has not heard of the store for longer has lost it
TOUCH_S = 0.3  # between the calls by which a reader notices that
ASKED_S = 3.0  # a mirror that nobody asked for longer has no readers
AVOID_S = 2.0  # a reader that failed, or has lost the store
TRIED_READERS = 2  # before this host reads by itself


class RelayedStore(RangeStore):
    """Lets hosts read through the mirrors of a few readers, chosen by hashing.

    A host reads by itself when it is a reader, knows no others, or when readers fail.
    Writes and leases always go to the store.

    :param store: the store itself
    :param host: this host's address
    :param port: of the mirrors
    :param clock: the process's clock
    :param metrics: the process's counters
    :param capacity: of this host, as other hosts know it
    """

    def __init__(
        self,
        store: RangeStore,
        host: str,
        port: int,
        clock: Clock,
        metrics: Metrics,
        capacity: float = 1.0,
    ) -> None:
        self._store = store
        self._host = host
        self._port = port
        self._clock = clock
        self._metrics = metrics
        self._avoided: dict[str, float] = {}
        self._source: str | None = None
        self._capacity = capacity
        self.known_hosts: Callable[[], Mapping[str, float]] = dict

    def read_range(self, prefix: str) -> Snapshot:
        """Return all items below a prefix."""
        for reader in self._readers():
            try:
                snapshot = read_mirror(Address(reader, self._port), TIMEOUT_S)
            except PlatformError as exc:
                self._avoid(reader, exc.message)
                continue
            if self._is_sound(reader, snapshot):
                return snapshot
        self._use(None)
        return self._store.read_range(prefix)

    def watch_range(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Wait for changes below a prefix."""
        for reader in self._readers():
            address = Address(reader, self._port)
            try:
                changes = watch_mirror(address, after, min(wait_s, WATCH_S), TIMEOUT_S)
            except HistoryLostError:
                # The reader may be behind this host, which needs no new reading then.
                self._avoid(reader, 'does not reach this revision')
                continue
            except PlatformError as exc:
                self._avoid(reader, exc.message)
                continue
            if self._is_sound(reader, changes):
                return changes
        self._use(None)
        return self._store.watch_range(prefix, after, wait_s)

    def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        return self._store.grant_lease(ttl_s)

    def renew_lease(self, lease: int) -> bool:
        """Renew a lease and return whether it still held."""
        return self._store.renew_lease(lease)

    def write(self, writes: Sequence[Write], removals: Sequence[str] = ()) -> int:
        """Write and remove keys, all or none, and return the revision."""
        return self._store.write(writes, removals)

    def _readers(self) -> list[str]:
        """Return the readers to try, none when this host is to read by itself."""
        hosts = {**self.known_hosts(), self._host: self._capacity}
        if len(hosts) < RELAYED_FROM_HOSTS:
            return []
        count = max(LEAST_READERS, math.ceil(len(hosts) / HOSTS_PER_READER))
        chosen = rank_by_capacity('readers', hosts)[:count]
        if self._host in chosen:
            return []
        now = self._clock.monotonic()
        near = rank_by_hash(self._host, chosen)
        usable = [host for host in near if self._avoided.get(host, 0.0) <= now]
        return usable[:TRIED_READERS]

    def _is_sound(self, reader: str, answer: Snapshot | Changes) -> bool:
        """Return whether a reader is in touch with the store."""
        assert answer.freshness is not None
        fresh = answer.freshness
        if fresh.staleness_s > OLD_PROOF_S or fresh.since_contact_s > SILENT_S:
            reason = (
                f'{fresh.staleness_s:.1f} s stale, '
                f'last store contact {fresh.since_contact_s:.1f} s ago'
            )
            self._avoid(reader, reason)
            return False
        self._use(reader)
        return True

    def _avoid(self, reader: str, reason: str) -> None:
        self._metrics.count('readers_avoided')
        self._avoided[reader] = self._clock.monotonic() + AVOID_S
        log_event('reader_avoided', reader=reader, reason=reason)

    def _use(self, reader: str | None) -> None:
        if reader != self._source:
            log_event('reader_changed', reader=reader, previous=self._source)
            self._source = reader


class StoreProber:
    """Asks the store for a sign of life while other hosts rely on this one.

    Renewing a lease costs a tenth of a read.

    :param store: the store itself
    :param clock: the process's clock
    :param lease: returns this host's lease, 0 while it has none
    :param last_contact_at: returns when the feed last heard of the store
    """

    def __init__(
        self,
        store: RangeStore,
        clock: Clock,
        lease: Callable[[], int],
        last_contact_at: Callable[[], float],
    ) -> None:
        self._store = store
        self._clock = clock
        self._lease = lease
        self._last_contact_at = last_contact_at
        self._touched_at = -math.inf

    def since_contact_s(self) -> float:
        """Return how long ago the store was last heard of."""
        last_contact_at = max(self._touched_at, self._last_contact_at())
        return self._clock.monotonic() - last_contact_at

    def run(self, mirror: Mirror) -> None:
        """Check for ever, as long as a mirror is asked.

        :param mirror: of this host
        """
        while True:
            gevent.sleep(TOUCH_S)
            asked = time.monotonic() - mirror.asked_at < ASKED_S
            if asked and self._lease():
                self._touch()

    def _touch(self) -> None:
        started = self._clock.monotonic()
        try:
            self._store.renew_lease(self._lease())
        except PlatformError as exc:
            log_event('store_touch_failed', reason=exc.message)
        else:
            self._touched_at = started
