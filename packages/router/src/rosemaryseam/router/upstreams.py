"""The upstreams that registered themselves, as this host believes them to be."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

    from rosemaryseam.common.addresses import Address

LAPSE_GRACE_S = 1.5  # of about 2 s in which owners write lapsed entries again


class Upstream(NamedTuple):
    """One incarnation of an upstream; ``born`` tells restarts under one id apart."""

    id: str
    born: int
    service: str
    address: Address
    zone: str
    slots: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """What no other start of an upstream has."""
        return (self.id, self.born)


class Registration(NamedTuple):
    """An entry of the registry; ``leaving`` closes the upstream for new requests."""

    upstream: Upstream
    leaving: bool


class UpstreamChange(NamedTuple):
    """An upstream that became usable, changed, or stopped being usable."""

    upstream: Upstream
    reason: str


class Registry:
    """Which upstreams may get requests.

    Leaving is final for an incarnation; an entry that was removed may come back, as
    it also lapses while its owner cannot reach the store. Entries that are missing
    after the store was away stay usable for :data:`LAPSE_GRACE_S`, as their owners may
    write them again.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Registration] = {}
        self._left: set[tuple[str, int]] = set()
        self._lapsed: dict[str, float] = {}
        self._by_service: dict[str, tuple[Upstream, ...]] = {}

    def usable(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may get new requests.

        :param service: its name
        """
        return self._by_service.get(service, ())

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether an incarnation may get new requests.

        :param upstream: the incarnation
        """
        return upstream in self._by_service.get(upstream.service, ())

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
    ) -> list[UpstreamChange]:
        """Take over a complete reading of the registry.

        :param entries: by upstream id
        :param now: seconds on the monotonic clock
        :param after_outage: whether missing entries may have lapsed in an outage
        """
        changes = []
        for missing in [key for key in self._entries if key not in entries]:
            if after_outage:
                self._lapsed.setdefault(missing, now + LAPSE_GRACE_S)
            elif missing not in self._lapsed:
                changes += self._drop(missing, 'unregistered')
        for entry in entries.values():
            changes += self._accept(entry)
        self._index()
        return changes

    def put(self, entry: Registration) -> list[UpstreamChange]:
        """Take over one entry.

        :param entry: as it stands in the registry now
        """
        changes = self._accept(entry)
        self._index()
        return changes

    def remove(
        self, key: str, now: float, *, after_outage: bool
    ) -> list[UpstreamChange]:
        """Drop an upstream whose entry is gone.

        :param key: the upstream's id
        :param now: seconds on the monotonic clock
        :param after_outage: whether the entry may have lapsed in an outage
        """
        if after_outage and key in self._entries:
            self._lapsed.setdefault(key, now + LAPSE_GRACE_S)
            return []
        changes = self._drop(key, 'unregistered')
        self._index()
        return changes

    def expire(self, now: float) -> list[UpstreamChange]:
        """Drop the lapsed entries that did not come back.

        :param now: seconds on the monotonic clock
        """
        due = [key for key, until in self._lapsed.items() if until <= now]
        changes = []
        for key in due:
            changes += self._drop(key, 'lapsed')
        if due:
            self._index()
        return changes

    def mark_left(self, upstream: Upstream, reason: str) -> list[UpstreamChange]:
        """Close an incarnation for new requests, for good.

        :param upstream: the incarnation
        :param reason: what showed that it has left
        """
        self._left.add(upstream.incarnation)
        entry = self._entries.get(upstream.id)
        if entry is None or entry.upstream.incarnation != upstream.incarnation:
            return []
        changes = [] if entry.leaving else [UpstreamChange(upstream, reason)]
        self._entries[upstream.id] = entry._replace(leaving=True)
        self._index()
        return changes

    def _accept(self, entry: Registration) -> list[UpstreamChange]:
        upstream = entry.upstream
        self._lapsed.pop(upstream.id, None)
        known = self._entries.get(upstream.id)
        if known is not None and known.upstream.born > upstream.born:
            return []
        if upstream.incarnation in self._left:
            entry = entry._replace(leaving=True)
        if entry.leaving:
            self._left.add(upstream.incarnation)
        self._entries[upstream.id] = entry
        if known == entry:
            return []
        return [UpstreamChange(upstream, 'leaving' if entry.leaving else 'registered')]

    def _drop(self, key: str, reason: str) -> list[UpstreamChange]:
        self._lapsed.pop(key, None)
        entry = self._entries.pop(key, None)
        if entry is None or entry.leaving:
            return []
        return [UpstreamChange(entry.upstream, reason)]

    def _index(self) -> None:
        groups: dict[str, list[Upstream]] = {}
        for entry in self._entries.values():
            if not entry.leaving:
                group = groups.setdefault(entry.upstream.service, [])
                group.append(entry.upstream)
        self._by_service = {
            service: tuple(sorted(group, key=lambda upstream: upstream.id))
            for service, group in groups.items()
        }
