"""Store reads through the mirrors of a few reader hosts, to spare the store."""

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
    EraChangedError,
    Expected,
    HistoryLostError,
    KeyState,
    Lease,
    RangeStore,
    Snapshot,
    StorePosition,
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
MIN_READERS = 2
MIN_RELAYED_HOSTS = 13  # with fewer hosts, direct watches are cheaper
WATCH_S = 0.5  # bounds the time to detect a reader that lost the store
READ_TIMEOUT_S = 0.3
MAX_STALENESS_S = 3.4  # answers of a reader that is staler are discarded
MAX_SINCE_CONTACT_S = 0.9  # a reader without contact for longer has lost the store
PROBE_INTERVAL_S = 0.3  # between the calls by which a reader detects that
MIRROR_IN_USE_S = 3.0  # a mirror without reads for longer serves no hosts
AVOIDANCE_S = 2.0  # for a reader that failed or lost the store
MAX_READERS_TRIED = 2  # before this host reads from the store directly


class RelayedStore(RangeStore):
    """Reads the store through the mirrors of a few readers.

    The readers are hosts that rendezvous hashing chooses. A host reads directly when
    it is a reader itself, knows too few other hosts, or when the readers fail.
    Writes and leases always go to the store.

    :param store: client of the store itself
    :param host: IP address of this host
    :param port: port of the mirrors
    :param clock: clock of the process
    :param metrics: counters of the process
    :param capacity: capacity of this host, as other hosts know it
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
        self._avoided_until: dict[str, float] = {}
        self._current_reader: str | None = None
        self._era = 0  # the latest era known to this host
        self._capacity = capacity
        self.known_hosts: Callable[[], Mapping[str, float]] = dict

    def read_range(self, prefix: str) -> Snapshot:
        """Return all items below a prefix."""
        for reader in self._readers_to_try():
            try:
                snapshot = read_mirror(Address(reader, self._port), READ_TIMEOUT_S)
            except PlatformError as exc:
                self._avoid(reader, exc.message)
                continue
            if self._is_fresh(reader, snapshot):
                return snapshot
        self._switch_reader(None)
        snapshot = self._store.read_range(prefix)
        self._era = max(self._era, snapshot.position.era)
        return snapshot

    def watch_range(self, prefix: str, after: StorePosition, wait_s: float) -> Changes:
        """Wait for changes below a prefix."""
        for reader in self._readers_to_try():
            address = Address(reader, self._port)
            try:
                changes = watch_mirror(
                    address, after, min(wait_s, WATCH_S), READ_TIMEOUT_S
                )
            except EraChangedError:
                raise  # this host needs a new snapshot, which the reader has
            except HistoryLostError:
                # The reader may lag behind this host, which then needs no new snapshot.
                self._avoid(reader, 'does not hold the changes since this revision')
                continue
            except PlatformError as exc:
                self._avoid(reader, exc.message)
                continue
            if self._is_fresh(reader, changes):
                return changes
        self._switch_reader(None)
        return self._store.watch_range(prefix, after, wait_s)

    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease."""
        return self._store.grant_lease(ttl_s)

    def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease and return whether it still held."""
        return self._store.renew_lease(lease)

    def read_key(self, key: str) -> KeyState:
        """Return the state of one key, as the store itself knows it."""
        return self._store.read_key(key)

    def end_lease(self, lease: Lease) -> None:
        """End a lease, which removes its keys."""
        self._store.end_lease(lease)

    def write(
        self,
        writes: Sequence[Write],
        removals: Sequence[str] = (),
        expected: Sequence[Expected] = (),
    ) -> StorePosition:
        """Write and remove keys atomically and return the position of the change."""
        return self._store.write(writes, removals, expected)

    def _readers_to_try(self) -> list[str]:
        """Return the readers to try; none when this host reads directly."""
        hosts = {**self.known_hosts(), self._host: self._capacity}
        if len(hosts) < MIN_RELAYED_HOSTS:
            return []
        count = max(MIN_READERS, math.ceil(len(hosts) / HOSTS_PER_READER))
        chosen = rank_by_capacity('readers', hosts)[:count]
        if self._host in chosen:
            return []
        now = self._clock.monotonic()
        near = rank_by_hash(self._host, chosen)
        usable = [host for host in near if self._avoided_until.get(host, 0.0) <= now]
        return usable[:MAX_READERS_TRIED]

    def _is_fresh(self, reader: str, answer: Snapshot | Changes) -> bool:
        """Return whether an answer is fresh, and avoid its reader if it is not."""
        assert answer.freshness is not None
        if answer.position.era < self._era:
            self._avoid(reader, 'has not noticed that the store was restored')
            return False
        self._era = answer.position.era
        fresh = answer.freshness
        if (
            fresh.staleness_s > MAX_STALENESS_S
            or fresh.since_contact_s > MAX_SINCE_CONTACT_S
        ):
            reason = (
                f'{fresh.staleness_s:.1f} s stale, '
                f'last store contact {fresh.since_contact_s:.1f} s ago'
            )
            self._avoid(reader, reason)
            return False
        self._switch_reader(reader)
        return True

    def _avoid(self, reader: str, reason: str) -> None:
        self._metrics.count('readers_avoided')
        self._avoided_until[reader] = self._clock.monotonic() + AVOIDANCE_S
        log_event('reader_avoided', reader=reader, reason=reason)

    def _switch_reader(self, reader: str | None) -> None:
        if reader != self._current_reader:
            log_event('reader_changed', reader=reader, previous=self._current_reader)
            self._current_reader = reader


class StoreProber:
    """Probes the store while other hosts read through this host.

    A probe renews the host's lease, which costs a tenth of a read.

    :param store: client of the store itself
    :param clock: clock of the process
    :param lease: returns this host's lease, or ``None`` while it has none
    :param last_contact_at: returns the monotonic time of the feed's last store contact
    :param era: returns the era that the feed follows
    :param on_lease_lost: called when the store no longer has the lease
    """

    def __init__(
        self,
        store: RangeStore,
        clock: Clock,
        lease: Callable[[], Lease | None],
        last_contact_at: Callable[[], float],
        era: Callable[[], int],
        on_lease_lost: Callable[[], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._lease = lease
        self._last_contact_at = last_contact_at
        self._era = era
        self._on_lease_lost = on_lease_lost
        self._probed_at = -math.inf

    def since_contact_s(self) -> float:
        """Return the seconds since the store last answered."""
        last_contact_at = max(self._probed_at, self._last_contact_at())
        return self._clock.monotonic() - last_contact_at

    def step(self, mirror: Mirror) -> None:
        """Wait, and then probe the store if the mirror is in use.

        :param mirror: mirror of this host
        """
        gevent.sleep(PROBE_INTERVAL_S)
        in_use = time.monotonic() - mirror.last_read_at < MIRROR_IN_USE_S
        lease = self._lease()
        if in_use and lease is not None:
            self._probe(lease)

    def _probe(self, lease: Lease) -> None:
        started = self._clock.monotonic()
        try:
            valid = self._store.renew_lease(lease)
        except PlatformError as exc:
            log_event('store_touch_failed', reason=exc.message)
            return
        if not valid:
            log_event('lease_lost', lease=lease.id, era=lease.era)
            self._on_lease_lost()
        elif lease.era == self._era():
            self._probed_at = started
