"""Follows the store: the configuration and the upstreams that are in force."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import gevent

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.errors import CatalogueError, PlatformError
from rosemaryseam.common.rangestore import HistoryLostError
from rosemaryseam.router.mirror import Mirror

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import Freshness, Item, RangeStore
    from rosemaryseam.router.codec import StateCodec
    from rosemaryseam.router.routes import RoutingTable
    from rosemaryseam.router.upstreams import Registration, Registry, UpstreamChange

WATCH_S = 2.0  # a watch that ends without changes renews the proof of freshness
LEAST_WATCH_S = 0.4
PROOF_AGE_S = 2.4  # that a watch should not let the proof pass
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.8  # a host is back well within a second of the store's return
OUTAGE_TAIL_S = 2.0  # entries that lapsed in an outage are back by then


class StoreContact(NamedTuple):
    """What the last call to the store showed.

    ``confirmed_at`` is a time at which no change was missing.
    """

    confirmed_at: float
    failed_at: float | None
    failures: int


class StateFeed:
    """Keeps table and registry in step with the store.

    :param store: the platform's store
    :param codec: reads its values
    :param registry: gets the upstreams
    :param clock: the process's clock
    :param metrics: the process's counters
    :param rng: spreads retries
    :param on_changes: called with the upstreams that changed
    :param on_other: called with items that are neither configuration nor upstream
    :param mirror: keeps what was read for other hosts
    """

    def __init__(
        self,
        store: RangeStore,
        codec: StateCodec,
        registry: Registry,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        on_changes: Callable[[Iterable[UpstreamChange]], None],
        on_other: Callable[[Item], None],
        mirror: Mirror | None = None,
    ) -> None:
        self._store = store
        self._codec = codec
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._on_changes = on_changes
        self._on_other = on_other
        self._mirror = mirror or Mirror(self.staleness_s, lambda: 0.0)
        self._revision: int | None = None
        self._unreadable: dict[str, bytes] = {}
        self.table: RoutingTable | None = None
        self.last_contact_at = (
            -math.inf
        )  # when the store last answered, or a reader's call
        self.contact = StoreContact(float('-inf'), None, 0)

    def staleness_s(self) -> float:
        """Return how old the proof is that the table is the newest."""
        return self._clock.monotonic() - self.contact.confirmed_at

    def run(self) -> None:
        """Follow the store for ever."""
        while True:
            self.step()

    def step(self) -> None:
        """Make one call to the store and take over what it returns."""
        started = self._clock.monotonic()
        try:
            if self._revision is None:
                self._load(started)
            else:
                self._watch(started)
        except HistoryLostError:
            log_warning('store_history_lost', revision=self._revision)
            self._revision = None
        except PlatformError as exc:
            self._note_failure(exc)

    def expire(self) -> None:
        """Drop the entries that lapsed in an outage and did not come back."""
        self._publish(self._registry.expire(self._clock.monotonic()))

    def _load(self, started: float) -> None:
        snapshot = self._store.read_range(self._codec.root)
        entries: dict[str, Registration] = {}
        for item in snapshot.items:
            self._take_configuration(item)
            entry = self._read_registration(item)
            if entry is not None:
                entries[entry.upstream.id] = entry
            elif not self._is_known_kind(item.key):
                self._on_other(item)
        changes = self._registry.replace(
            entries, self._clock.monotonic(), after_outage=self._is_after_outage()
        )
        self._publish(changes)
        self._revision = snapshot.revision
        self._mirror.load(snapshot)
        self._note_answer(
            _confirmed_at(started, snapshot.freshness), snapshot.freshness
        )

    def _watch(self, started: float) -> None:
        assert self._revision is not None
        wait_s = self._wait_s()
        changes = self._store.watch_range(self._codec.root, self._revision, wait_s)
        now = self._clock.monotonic()
        for item in changes.items:
            self._take(item, now)
        self._revision = changes.revision
        self._mirror.extend(changes)
        confirmed = _confirmed_at(started, changes.freshness)
        if changes.freshness is None and not changes.items:
            confirmed = min(now, started + wait_s)
        self._note_answer(confirmed, changes.freshness)

    def _wait_s(self) -> float:
        """Return how long to watch: shorter the older the proof is already.

        A watch that returns with a change proves only when it began.
        """
        return min(WATCH_S, max(LEAST_WATCH_S, PROOF_AGE_S - self.staleness_s()))

    def _take(self, item: Item, now: float) -> None:
        self._take_configuration(item)
        upstream_id = self._codec.upstream_id(item.key)
        if upstream_id is None:
            if not self._is_known_kind(item.key):
                self._on_other(item)
            return
        if item.value is None:
            after_outage = self._is_after_outage()
            changes = self._registry.remove(upstream_id, now, after_outage=after_outage)
        else:
            entry = self._read_registration(item)
            changes = [] if entry is None else self._registry.put(entry)
        self._publish(changes)

    def _is_known_kind(self, key: str) -> bool:
        if self._codec.is_configuration(key):
            return True
        return self._codec.upstream_id(key) is not None

    def _take_configuration(self, item: Item) -> None:
        if item.value is None or not self._codec.is_configuration(item.key):
            return
        try:
            table = self._codec.decode_configuration(item.value)
        except CatalogueError as exc:
            log_warning(
                'configuration_rejected', revision=item.revision, reason=exc.message
            )
            self._metrics.count('configurations_rejected')
            return
        if self.table is not None and table.version <= self.table.version:
            return
        log_event(
            'configuration_in_force',
            version=table.version,
            previous=self.table.version if self.table else None,
            revision=item.revision,
            routes=len(table.routes),
        )
        self.table = table

    def _read_registration(self, item: Item) -> Registration | None:
        upstream_id = self._codec.upstream_id(item.key)
        if upstream_id is None or item.value is None:
            return None
        try:
            return self._codec.decode_registration(upstream_id, item.value)
        except CatalogueError as exc:
            if self._unreadable.get(item.key) != item.value:
                self._unreadable[item.key] = item.value
                log_warning('registration_rejected', key=item.key, reason=exc.message)
            return None

    def _publish(self, changes: list[UpstreamChange]) -> None:
        for change in changes:
            log_event(
                'upstream_' + change.reason,
                upstream=change.upstream.id,
                service=change.upstream.service,
                address=str(change.upstream.address),
                born=change.upstream.born,
            )
        if changes:
            self._on_changes(changes)

    def _is_after_outage(self) -> bool:
        failed_at = self.contact.failed_at
        now = self._clock.monotonic()
        return failed_at is not None and now < failed_at + OUTAGE_TAIL_S

    def _note_answer(self, confirmed_at: float, proof: Freshness | None) -> None:
        if self.contact.failures:
            log_event('store_regained', failures=self.contact.failures)
        silent_s = 0.0 if proof is None else proof.since_contact_s
        self.last_contact_at = self._clock.monotonic() - silent_s
        confirmed_at = max(confirmed_at, self.contact.confirmed_at)
        self.contact = StoreContact(confirmed_at, self.contact.failed_at, 0)

    def _note_failure(self, exc: PlatformError) -> None:
        if not self.contact.failures:
            log_warning(
                'store_lost', reason=exc.message, age_s=round(self.staleness_s(), 3)
            )
        self._metrics.count('store_failures')
        now = self._clock.monotonic()
        failures = self.contact.failures + 1
        self.contact = StoreContact(self.contact.confirmed_at, now, failures)
        pause = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(failures, 10))
        gevent.sleep(pause * self._rng.uniform(0.5, 1.0))


def _confirmed_at(started: float, proof: Freshness | None) -> float:
    """Return a time at which an answer to a call missed nothing.

    :param started: when the call was made
    :param proof: of a relayed answer
    """
    if proof is None:
        return started
    return started + proof.held_s - proof.staleness_s
