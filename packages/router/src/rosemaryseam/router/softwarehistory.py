"""Remembers which software versions served lately, also when all hosts restart."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import xxhash
from gevent.event import Event

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.decoding import (
    decode_json,
    decoding,
    require_optional_text,
    require_text,
)
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.rangestore import Write
from rosemaryseam.common.skippedvalues import SkippedValues
from rosemaryseam.router.entrywriter import MAX_WRITES, EntryWriter
from rosemaryseam.router.origins import Software

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.rangestore import Item, RangeStore
    from rosemaryseam.router.feed import OtherItems
    from rosemaryseam.router.hostlink import HostLink
    from rosemaryseam.router.routes import RoutingTable
    from rosemaryseam.router.upstreams import Registry

SOFTWARE_PREFIX = 'rosemaryseam/software/'
CHECK_INTERVAL_S = 2.0  # between two comparisons with the store without a change
SUBSTITUTE_DELAY_S = 3.0  # before other hosts write what the writer did not


class SoftwareHistory:
    """Keeps the software versions of services with resumable streams in the store.

    A version has an entry from its first registration until it has not been registered
    for a while. One host writes the entries; others do if it does not.

    :param host: address of this host
    :param capacity: relative capacity of this host
    :param store: store that holds the entries
    :param registry: registered upstreams
    :param find_table: returns the routing table, ``None`` if there is none yet
    :param kept_s: returns the seconds for which versions are kept that are not
        registered; longer than callers take up streams of them
    :param clock: clock of the process
    :param rng: source of the jitter before other hosts write
    :param skipped: keeps the entries that cannot be read
    """

    def __init__(
        self,
        host: str,
        capacity: float,
        store: RangeStore,
        registry: Registry,
        find_table: Callable[[], RoutingTable | None],
        kept_s: Callable[[], float],
        clock: Clock,
        rng: random.Random,
        skipped: SkippedValues | None = None,
    ) -> None:
        self._store = store
        self._registry = registry
        self._find_table = find_table
        self._kept_s = kept_s
        self._clock = clock
        self._skipped = skipped or SkippedValues(Metrics())
        self._writer = EntryWriter(
            host, capacity, SOFTWARE_PREFIX, SUBSTITUTE_DELAY_S, clock, rng
        )
        self._stored: dict[str, Software] = {}
        self._seen_at: dict[Software, float] = {}
        self._changed = Event()
        self._on_change: Callable[[], None] = lambda: None

    def connect(self, link: HostLink, on_change: Callable[[], None]) -> None:
        """Set the link that knows the other hosts.

        :param link: link to the other hosts
        :param on_change: called when the versions may have changed
        """
        self._writer.connect(link)
        self._on_change = on_change

    def has_several(self, service: str) -> bool:
        """Return whether several versions of a service serve or have served lately.

        :param service: name of the service
        """
        return len(self.versions(service)) > 1

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service that serve or have served lately.

        :param service: name of the service
        """
        lately = {*self._stored.values(), *self._recent()}
        versions = {one.version for one in lately if one.service == service}
        return self._registry.versions(service) | versions

    def dump(self) -> dict[str, float]:
        """Return for each version the seconds since it was last registered."""
        now = self._clock.monotonic()
        return {
            f'{one.service} {one.version}': round(now - at, 1)
            for one, at in self._seen_at.items()
        }

    def apply_items(self, others: OtherItems) -> None:
        """Apply the entries in the store, or changes of them.

        :param others: items of the store, among them the entries
        """
        items = [item for item in others.items if item.key.startswith(SOFTWARE_PREFIX)]
        if others.complete:
            self._stored.clear()
        for item in items:
            self._apply_item(item)
        if items or others.complete:
            self._changed.set()

    def registry_changed(self) -> None:
        """Have the entries compared with the registry."""
        self._changed.set()

    def step(self) -> None:
        """Wait for a change or a while, and bring the entries up to date."""
        self._changed.wait(CHECK_INTERVAL_S)
        self._changed.clear()
        now = self._clock.monotonic()
        self._seen_at.update(dict.fromkeys(self._registered(), now))
        recent = self._recent()
        self._seen_at = {one: self._seen_at[one] for one in recent}
        self._on_change()
        missing = recent - set(self._stored.values())
        expired = [key for key, one in self._stored.items() if one not in recent]
        if self._writer.may_write(differs=bool(missing or expired)):
            self._write(sorted(missing)[:MAX_WRITES], expired[:MAX_WRITES])

    def _apply_item(self, item: Item) -> None:
        if item.value is None:
            self._stored.pop(item.key, None)
            self._skipped.forget(item.key)
            return
        try:
            software = _decode(item.value)
        except UnreadableError as exc:
            self._skipped.skip('software version', item.key, item.value, exc)
            self._stored.pop(item.key, None)  # written again if it served lately
            return
        self._skipped.forget(item.key)
        self._stored[item.key] = software
        # This host may not have known it; it is kept as if it had served until now.
        self._seen_at.setdefault(software, self._clock.monotonic())

    def _write(self, missing: Iterable[Software], expired: Iterable[str]) -> None:
        entries = {_key(one): one for one in missing}
        writes = [
            Write(key, json.dumps(one._asdict()).encode())
            for key, one in entries.items()
        ]
        removals = tuple(expired)[: MAX_WRITES - len(writes)]
        try:
            self._store.write(writes, removals)
        except PlatformError as exc:
            log_warning('cannot_write_software', reason=exc.message)
            return
        self._stored.update(entries)
        for key in removals:
            self._stored.pop(key, None)
        log_event(
            'software_recorded',
            added=[f'{one.service} {one.version}' for one in entries.values()],
            removed=len(removals),
        )

    def _registered(self) -> set[Software]:
        table = self._find_table()
        services = table.resumable_services if table is not None else ()
        return {
            Software(service, version)
            for service in services
            for version in self._registry.versions(service)
        }

    def _recent(self) -> set[Software]:
        oldest = self._clock.monotonic() - self._kept_s()
        return {one for one, at in self._seen_at.items() if at > oldest}


def _decode(value: bytes) -> Software:
    with decoding('software version'):
        fields = decode_json(value)
        # Upstreams that state no version have an empty one.
        return Software(
            require_text(fields['service']), require_optional_text(fields['version'])
        )


def _key(software: Software) -> str:
    text = '\x00'.join(software)
    return f'{SOFTWARE_PREFIX}{xxhash.xxh3_64_intdigest(text.encode()):016x}'
