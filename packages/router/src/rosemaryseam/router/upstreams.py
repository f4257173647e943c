"""Registry of upstreams, as built from the entries that this host read."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from rosemaryseam.common.addresses import Address

LAPSE_GRACE_S = 1.5  # for lapsed entries; owners write them again within about 2 s
MAX_KEPT_REMOVALS = 4096  # latest removed entries, which a restored store may hold
RESTORED_HOLD_S = 6.0  # by then the store drops the entries of upstreams that left


class Upstream(NamedTuple):
    """One incarnation of an upstream.

    ``born`` distinguishes restarts under one id. ``version`` is the version of the
    upstream's software, empty if it is not stated. A ``spot`` upstream may be
    reclaimed by the platform at short notice.
    """

    id: str
    born: int
    service: str
    address: Address
    zone: str
    slots: int
    version: str = ''
    spot: bool = False

    @property
    def incarnation(self) -> tuple[str, int]:
        """The id and start that identify this incarnation."""
        return (self.id, self.born)


class Registration(NamedTuple):
    """A registry entry; an upstream that is ``leaving`` gets no new requests.

    ``leaves_in_s`` is the time that it has left, ``None`` if it does not state one.
    """

    upstream: Upstream
    leaving: bool
    leaves_in_s: float | None = None


class UpstreamChange(NamedTuple):
    """An upstream that became usable, changed, or stopped being usable."""

    upstream: Upstream
    reason: str


class Registry:
    """Tracks which upstreams may get requests.

    An incarnation that left cannot return. An entry that was removed may return, since
    entries also lapse while their owners cannot reach the store. Entries that are
    missing after a store outage stay usable for :data:`LAPSE_GRACE_S`, because their
    owners may write them again. When the store was restored from a copy, an entry that
    had been removed before is held back for :data:`RESTORED_HOLD_S`, unless its owner
    writes it again.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Registration] = {}
        self._left: set[tuple[str, int]] = set()
        self._removed: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._held_back: dict[str, tuple[Registration, float]] = {}
        self._lapsed: dict[str, float] = {}
        self._by_service: dict[str, tuple[Upstream, ...]] = {}
        self._versions: dict[str, frozenset[str]] = {}
        self._leaves_at: dict[tuple[str, int], float] = {}

    def usable(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may get new requests.

        :param service: name of the service
        """
        return self._by_service.get(service, ())

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an incarnation may get new requests.

        :param upstream: incarnation of the upstream
        """
        return upstream in self._by_service.get(upstream.service, ())

    def has_left(self, upstream: Upstream) -> bool:
        """Return whether an incarnation was closed for new requests, as it leaves.

        :param upstream: incarnation of the upstream
        """
        return upstream.incarnation in self._left

    def versions(self, service: str) -> frozenset[str]:
        """Return the software versions of a service's upstreams, leaving ones included.

        :param service: name of the service
        """
        return self._versions.get(service, frozenset())

    def leaving_too_soon(
        self,
        upstreams: Collection[Upstream],
        excluded: frozenset[str],
        expires_at: float,
        due_at: float,
    ) -> frozenset[str]:
        """Return the ids of the upstreams that leave before a request may end.

        If no others are left, these are only those that leave before it is due.

        :param upstreams: upstreams that may serve the request
        :param excluded: ids of upstreams that may not serve it for other reasons
        :param expires_at: time at which the request ends at the latest
        :param due_at: time at which it should have an answer
        """
        if not self._leaves_at:
            return frozenset()
        leaving = self._leaving_before(upstreams, expires_at)
        if all(entry.id in excluded | leaving for entry in upstreams):
            return self._leaving_before(upstreams, due_at)
        return leaving

    def is_succeeded(self, upstream: Upstream) -> bool:
        """Return whether a later incarnation has taken an upstream's address.

        :param upstream: incarnation of the upstream
        """
        return any(
            entry.upstream.address == upstream.address
            and entry.upstream.born > upstream.born
            for entry in self._entries.values()
        )

    def all(self) -> tuple[Upstream, ...]:
        """Return all usable upstreams."""
        return tuple(
            upstream for group in self._by_service.values() for upstream in group
        )

    def replace(
        self,
        entries: Mapping[str, Registration],
        now: float,
        *,
        after_outage: bool,
        restored: bool = False,
    ) -> list[UpstreamChange]:
        """Apply a complete snapshot of the registry.

        :param entries: entries by upstream id
        :param now: seconds on the monotonic clock
        :param after_outage: whether missing entries may have lapsed in a store outage
        :param restored: whether the store was restored from a copy
        """
        if restored:
            self._hold_back(entries, now)
        entries = {
            key: entry for key, entry in entries.items() if key not in self._held_back
        }
        changes = []
        for missing in [key for key in self._entries if key not in entries]:
            if after_outage:
                self._lapsed.setdefault(missing, now + LAPSE_GRACE_S)
            elif missing not in self._lapsed:
                changes += self._drop(missing, 'unregistered')
        for entry in entries.values():
            changes += self._accept(entry)
            self._record_leaving_time(entry, now)
        self._index()
        return changes

    def put(self, entry: Registration, now: float = 0.0) -> list[UpstreamChange]:
        """Apply one entry.

        :param entry: current entry of the registry
        :param now: seconds on the monotonic clock, from which an entry's time left runs
        """
        self._record_leaving_time(entry, now)
        self._held_back.pop(entry.upstream.id, None)
        changes = self._accept(entry)
        self._index()
        return changes

    def remove(
        self, key: str, now: float, *, after_outage: bool
    ) -> list[UpstreamChange]:
        """Drop an upstream whose entry was removed.

        :param key: id of the upstream
        :param now: seconds on the monotonic clock
        :param after_outage: whether the entry may have lapsed in a store outage
        """
        self._held_back.pop(key, None)
        if after_outage and key in self._entries:
            self._lapsed.setdefault(key, now + LAPSE_GRACE_S)
            return []
        changes = self._drop(key, 'unregistered')
        self._index()
        return changes

    def expire(self, now: float) -> list[UpstreamChange]:
        """Drop lapsed entries, and accept entries that were held back long enough.

        :param now: seconds on the monotonic clock
        """
        due = [key for key, until in self._lapsed.items() if until <= now]
        changes = []
        for key in due:
            changes += self._drop(key, 'lapsed')
        held = [key for key, (_, until) in self._held_back.items() if until <= now]
        for key in held:
            changes += self._accept(self._held_back.pop(key)[0])
        if due or held:
            self._index()
        return changes

    def mark_left(self, upstream: Upstream, reason: str) -> list[UpstreamChange]:
        """Close an incarnation for new requests permanently.

        :param upstream: incarnation of the upstream
        :param reason: evidence that it has left
        """
        self._left.add(upstream.incarnation)
        entry = self._entries.get(upstream.id)
        if entry is None or entry.upstream.incarnation != upstream.incarnation:
            return []
        changes = [] if entry.leaving else [UpstreamChange(upstream, reason)]
        self._entries[upstream.id] = entry._replace(leaving=True)
        self._index()
        return changes

    def _leaving_before(
        self, upstreams: Iterable[Upstream], time: float
    ) -> frozenset[str]:
        """Return the ids of the upstreams that stated that they leave by a time."""
        return frozenset(
            entry.id
            for entry in upstreams
            if self._leaves_at.get(entry.incarnation, math.inf) < time
        )

    def _record_leaving_time(self, entry: Registration, now: float) -> None:
        """Record when an upstream leaves; a later reading does not extend the time."""
        if entry.leaves_in_s is not None:
            key = entry.upstream.incarnation
            leaves_at = min(now + entry.leaves_in_s, self._leaves_at.get(key, math.inf))
            self._leaves_at[key] = leaves_at

    def _hold_back(self, entries: Mapping[str, Registration], now: float) -> None:
        """Hold back the entries of incarnations that were removed before."""
        until = now + RESTORED_HOLD_S
        self._held_back = {
            key: (entry, until)
            for key, entry in entries.items()
            if entry.upstream.incarnation in self._removed
        }

    def _accept(self, entry: Registration) -> list[UpstreamChange]:
        upstream = entry.upstream
        self._lapsed.pop(upstream.id, None)
        self._removed.pop(upstream.incarnation, None)
        known = self._entries.get(upstream.id)
        if known is not None and known.upstream.born > upstream.born:
            return []
        if upstream.incarnation in self._left:
            entry = entry._replace(leaving=True)
        if entry.leaving:
            self._left.add(upstream.incarnation)
        self._entries[upstream.id] = entry
        if known is not None and known._replace(leaves_in_s=entry.leaves_in_s) == entry:
            return []
        return [UpstreamChange(upstream, 'leaving' if entry.leaving else 'registered')]

    def _drop(self, key: str, reason: str) -> list[UpstreamChange]:
        self._lapsed.pop(key, None)
        entry = self._entries.pop(key, None)
        if entry is None:
            return []
        self._leaves_at.pop(entry.upstream.incarnation, None)
        self._removed[entry.upstream.incarnation] = None
        if len(self._removed) > MAX_KEPT_REMOVALS:
            self._removed.popitem(last=False)
        if entry.leaving:
            return []
        return [UpstreamChange(entry.upstream, reason)]

    def _index(self) -> None:
        groups: dict[str, list[Upstream]] = {}
        versions: dict[str, set[str]] = {}
        for entry in self._entries.values():
            service = entry.upstream.service
            versions.setdefault(service, set()).add(entry.upstream.version)
            if not entry.leaving:
                group = groups.setdefault(entry.upstream.service, [])
                group.append(entry.upstream)
        self._by_service = {
            service: tuple(sorted(group, key=lambda upstream: upstream.id))
            for service, group in groups.items()
        }
        self._versions = {key: frozenset(names) for key, names in versions.items()}
