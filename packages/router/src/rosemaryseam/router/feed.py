"""Keeps the configuration and the registered upstreams in step with the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import gevent
from gevent.event import Event

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.fairness import run_repeatedly
from rosemaryseam.common.rangestore import Changes, EraChangedError, HistoryLostError
from rosemaryseam.common.skippedvalues import SkippedValues
from rosemaryseam.router.configurationinforce import ConfigurationInForce
from rosemaryseam.router.mirror import Mirror

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import (
        Freshness,
        Item,
        LeftOutItem,
        RangeStore,
        Snapshot,
        StorePosition,
    )
    from rosemaryseam.router.codec import StateCodec
    from rosemaryseam.router.routes import RoutingTable
    from rosemaryseam.router.upstreams import (
        Registration,
        Registry,
        Upstream,
        UpstreamChange,
    )

WATCH_S = 2.0  # limit of one watch; an empty one confirms that no change was missed
MIN_WATCH_S = 0.4  # lower bound when the staleness is high
TARGET_STALENESS_S = 2.4  # staleness that a watch should not exceed
RETRY_MIN_S = 0.1  # doubled with each failure in a row, before jitter
RETRY_MAX_S = 0.8  # hosts reconnect within a second of the store's return
OUTAGE_RECOVERY_S = 2.0  # entries that expired in an outage are back by then


class StoreStatus(NamedTuple):
    """The outcome of recent calls to the store; times are monotonic.

    ``confirmed_at`` is the latest time at which no change was missing, ``failed_at``
    the time of the last failed call, and ``failures`` the failed calls in a row.
    """

    confirmed_at: float
    failed_at: float | None
    failures: int


class OtherItems(NamedTuple):
    """Items that are neither configuration nor upstream.

    ``complete`` is set if all current ones are included, ``restored`` if the store was
    restored from a copy, so that live hosts may be missing for a moment.
    """

    items: tuple[Item, ...]
    complete: bool = False
    restored: bool = False


class StateFeed:
    """Applies the store's changes to the routing table and the upstream registry.

    :param store: store of the configuration and of the registrations
    :param codec: decoder of the store's values
    :param registry: registry that receives the upstreams
    :param clock: clock of the process
    :param metrics: counters of the process
    :param rng: source of the retry delays' jitter
    :param on_changes: called with the upstreams that changed
    :param on_other_items: called with items that are neither configuration nor upstream
    :param on_restored: called when the store was restored from a copy
    :param mirror: copy of the items, served to other hosts
    :param skipped: keeps the values that cannot be read
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
        on_other_items: Callable[[OtherItems], None],
        mirror: Mirror | None = None,
        on_restored: Callable[[], None] = lambda: None,
        skipped: SkippedValues | None = None,
    ) -> None:
        self._store = store
        self._codec = codec
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._on_changes = on_changes
        self._on_other_items = on_other_items
        self._on_restored = on_restored
        self._mirror = mirror or Mirror(self.staleness_s, lambda: 0.0)
        self._skipped = skipped or SkippedValues(metrics)
        # Up to which changes were applied; ``None`` before a read of all items.
        self.position: StorePosition | None = None
        self._era: int | None = None
        self._restored_at = -math.inf
        self.configuration = ConfigurationInForce(codec, metrics, self._skipped)
        # Set while the store may lack a newer configuration that hosts had in force.
        self.uncertain = Event()
        self._uncertain_since = -math.inf
        # When the store last answered this host, or the reader that relayed the answer.
        self.last_contact_at = -math.inf
        self.status = StoreStatus(float('-inf'), None, 0)

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force, ``None`` before one was read."""
        return self.configuration.table

    def staleness_s(self) -> float:
        """Return the seconds since the table was last known to be the newest."""
        return self._clock.monotonic() - self.status.confirmed_at

    def era(self) -> int:
        """Return the era of the store that this host follows."""
        return self._era or 0

    def record_confirmation(self, at: float) -> None:
        """Record that all changes up to a time are applied.

        :param at: monotonic time in seconds
        """
        if not self.uncertain.is_set():
            confirmed_at = max(at, self.status.confirmed_at)
            self.status = self.status._replace(confirmed_at=confirmed_at)

    def is_configuration(self, item: Item) -> bool:
        """Return whether an item is the configuration.

        :param item: item of the store
        """
        return self._codec.is_configuration(item.key)

    def adopt_configuration(self, item: Item, host: str) -> None:
        """Put a configuration in force that another host has, if it is newer.

        :param item: configuration as that host read it
        :param host: address of that host
        """
        log_event('configuration_told', peer=host, revision=item.revision)
        self.configuration.apply(item)

    def settle(self, reason: str) -> None:
        """Trust the store again, as no newer configuration can be learned.

        :param reason: why, for the log
        """
        if self.uncertain.is_set():
            self.uncertain.clear()
            log_event('configuration_certain', reason=reason)

    def uncertain_s(self) -> float:
        """Return the seconds since entries may have been missing from the store."""
        return self._clock.monotonic() - self._uncertain_since

    def run(self) -> None:
        """Follow the store indefinitely."""
        run_repeatedly('feed', self.step, self._metrics)

    def step(self) -> None:
        """Make one call to the store and apply the result."""
        started = self._clock.monotonic()
        try:
            if self.position is None:
                self._load(started)
            else:
                self._watch(self.position, started)
        except HistoryLostError as exc:
            position = self.position
            log_warning(
                'store_history_lost',
                reason=exc.message,
                era=position.era if position else None,
                revision=position.revision if position else None,
            )
            self.position = None
            if position is None:
                self._record_failure(exc)
        except PlatformError as exc:
            self._record_failure(exc)
        except Exception:
            # A watch from the same position would meet the same input again.
            self.position = None
            raise

    def mark_left(self, upstream: Upstream, reason: str) -> None:
        """Close an incarnation for new requests permanently.

        :param upstream: incarnation of the upstream
        :param reason: evidence that it has left, for the log
        """
        self._publish(self._registry.mark_left(upstream, reason))

    def expire(self) -> None:
        """Drop the entries that expired in an outage and were not registered again."""
        self._publish(self._registry.expire(self._clock.monotonic()))

    def _load(self, started: float) -> None:
        snapshot = self._store.read_range(self._codec.root)
        restored = self._check_era(snapshot)
        self._report_left_out(snapshot.left_out)
        entries: dict[str, Registration] = {}
        others = []
        for item in snapshot.items:
            self.configuration.apply(item)
            entry = self._decode_registration(item)
            if entry is not None:
                entries[entry.upstream.id] = entry
            elif not self._is_known_kind(item.key):
                others.append(item)
        changes = self._registry.replace(
            entries,
            self._clock.monotonic(),
            after_outage=self._is_after_outage(),
            restored=restored,
        )
        self._publish(changes)
        self._on_other_items(OtherItems(tuple(others), True, restored))
        self.position = snapshot.position
        self._mirror.load(
            snapshot._replace(items=self.configuration.substitute(snapshot.items))
        )
        if self.table is None and any(map(self.is_configuration, snapshot.items)):
            self.uncertain.set()  # it is unreadable, and others may have one in force
        self._record_answer(
            _confirmed_at(started, snapshot.freshness), snapshot.freshness
        )
        if restored:
            self._on_restored()

    def _check_era(self, snapshot: Snapshot) -> bool:
        """Return whether the store was restored since the last snapshot."""
        era, previous = snapshot.position.era, self._era
        if previous is not None and era < previous:
            raise EraChangedError('the answer is of an era that has ended')
        self._era = era
        if era != previous and era > 0:
            self._uncertain_since = self._clock.monotonic()
            self.uncertain.set()
        if previous is None or era == previous:
            return False
        self._restored_at = self._clock.monotonic()
        log_warning(
            'store_restored',
            era=era,
            previous=previous,
            revision=snapshot.position.revision,
        )
        return True

    def _watch(self, position: StorePosition, started: float) -> None:
        wait_s = self._watch_timeout_s()
        changes = self._store.watch_range(self._codec.root, position, wait_s)
        now = self._clock.monotonic()
        self._report_left_out(changes.left_out)
        others = [item for item in changes.items if self._apply_item(item, now)]
        if any(map(self.configuration.is_content_of, changes.items)):
            self.settle('the operator wrote again')
        if others:
            self._on_other_items(OtherItems(tuple(others)))
        self.position = changes.position
        self._mirror.extend(
            Changes(self.configuration.substitute(changes.items), changes.position)
        )
        confirmed = _confirmed_at(started, changes.freshness)
        if changes.freshness is None and not changes.items:
            confirmed = min(now, started + wait_s)
        self._record_answer(confirmed, changes.freshness)

    def _watch_timeout_s(self) -> float:
        """Return the timeout of the next watch, which shrinks as staleness grows.

        A watch that returns a change confirms only the time at which it began.
        """
        return min(WATCH_S, max(MIN_WATCH_S, TARGET_STALENESS_S - self.staleness_s()))

    def _apply_item(self, item: Item, now: float) -> bool:
        """Apply a change; return whether it is of a kind that the feed doesn't know."""
        self.configuration.apply(item)
        upstream_id = self._codec.upstream_id(item.key)
        if upstream_id is None:
            return not self._is_known_kind(item.key)
        entry = self._decode_registration(item)
        if entry is not None:
            changes = self._registry.put(entry, now)
        else:
            # An entry that cannot be read names no upstream, as in a first read.
            after_outage = item.value is None and self._is_after_outage()
            changes = self._registry.remove(upstream_id, now, after_outage=after_outage)
        self._publish(changes)
        return False

    def _is_known_kind(self, key: str) -> bool:
        if self._codec.is_configuration(key):
            return True
        return self._codec.upstream_id(key) is not None

    def _report_left_out(self, left_out: Iterable[LeftOutItem]) -> None:
        for one in left_out:
            exc = UnreadableError(one.reason)
            self._skipped.skip('item', one.name, one.reason.encode(), exc)

    def _decode_registration(self, item: Item) -> Registration | None:
        upstream_id = self._codec.upstream_id(item.key)
        if upstream_id is None:
            return None
        if item.value is None:
            self._skipped.forget(item.key)
            return None
        try:
            entry = self._codec.decode_registration(upstream_id, item.value)
        except UnreadableError as exc:
            self._skipped.skip('registration', item.key, item.value, exc)
            return None
        self._skipped.forget(item.key)
        return entry

    def _publish(self, changes: list[UpstreamChange]) -> None:
        for change in changes:
            log_event(
                'upstream_' + change.reason,
                upstream=change.upstream.id,
                service=change.upstream.service,
                address=str(change.upstream.address),
                born=change.upstream.born,
                software=change.upstream.version,
            )
        if changes:
            self._on_changes(changes)

    def _is_after_outage(self) -> bool:
        now = self._clock.monotonic()
        failed_at = self.status.failed_at
        latest = max(self._restored_at, -math.inf if failed_at is None else failed_at)
        return now < latest + OUTAGE_RECOVERY_S

    def _record_answer(self, confirmed_at: float, freshness: Freshness | None) -> None:
        if self.status.failures:
            log_event('store_regained', failures=self.status.failures)
        since_contact_s = 0.0 if freshness is None else freshness.since_contact_s
        self.last_contact_at = self._clock.monotonic() - since_contact_s
        confirmed_at = max(confirmed_at, self.status.confirmed_at)
        if self.uncertain.is_set():
            confirmed_at = self.status.confirmed_at
        self.status = StoreStatus(confirmed_at, self.status.failed_at, 0)

    def _record_failure(self, exc: PlatformError) -> None:
        if not self.status.failures:
            log_warning(
                'store_lost', reason=exc.message, age_s=round(self.staleness_s(), 3)
            )
        self._metrics.count('store_failures')
        now = self._clock.monotonic()
        failures = self.status.failures + 1
        self.status = StoreStatus(self.status.confirmed_at, now, failures)
        pause = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(failures, 10))
        gevent.sleep(pause * self._rng.uniform(0.5, 1.0))


def _confirmed_at(started: float, freshness: Freshness | None) -> float:
    """Return a time at which the answer to a call missed no change.

    :param started: monotonic time at which the call was made
    :param freshness: staleness bound of a relayed answer, ``None`` for the store's own
    """
    if freshness is None:
        return started
    return started + freshness.held_s - freshness.staleness_s
