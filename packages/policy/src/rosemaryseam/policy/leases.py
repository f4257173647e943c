"""Lease of a dispatcher and the grant ceilings that it has announced.

A dispatcher may grant while a majority of the roster has acknowledged a recent
announcement. A host may hold no more grants than the lowest ceiling among the last
announcement that a majority acknowledged and all later ones. A successor that queries
any majority therefore learns an upper bound of the grants that each host can hold,
whichever hosts have failed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.policy.quorum import has_majority

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

CeilingKey = tuple[str, str]  # host, upstream

MAX_HEADROOM = 2  # grants that a ceiling allows above those in use
HEADROOM_DIVISOR = 4  # headroom is at most limit // 4, so none for small limits


class _Announcement(NamedTuple):
    sent_at: float
    ceilings: Mapping[CeilingKey, int]


class DispatcherLease:
    """Tracks announcements and the hosts that acknowledged them.

    :param lease_s: validity of an acknowledgement in seconds after its announcement
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._version = 0
        self._announcements: dict[int, _Announcement] = {}
        self._acked: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Version of the last announcement."""
        return self._version

    def announce(self, ceilings: Mapping[CeilingKey, int], now: float) -> int:
        """Record an announcement and return its version.

        :param ceilings: maximum number of grants for each host and upstream
        :param now: seconds on the monotonic clock
        """
        self._version += 1
        self._announcements[self._version] = _Announcement(now, dict(ceilings))
        return self._version

    def acknowledge(self, host: str, version: int, roster: Collection[str]) -> None:
        """Record an acknowledgement.

        :param host: name of the host that acknowledges
        :param version: version of the acknowledged announcement
        :param roster: all hosts that may be running
        """
        if version > self._version:
            return
        self._acked[host] = max(version, self._acked.get(host, 0))
        base = self.agreed_version(roster)
        for old in [entry for entry in self._announcements if entry < base]:
            if old not in self._acked.values():
                del self._announcements[old]

    def agreed_version(self, roster: Collection[str]) -> int:
        """Return the highest version that a majority acknowledged, or 0.

        :param roster: all hosts that may be running
        """
        for version in sorted(set(self._acked.values()), reverse=True):
            if has_majority(self._hosts_at(version), roster):
                return version
        return 0

    def is_valid(self, roster: Collection[str], now: float) -> bool:
        """Return whether a majority has acknowledged within the lease time.

        :param roster: all hosts that may be running
        :param now: seconds on the monotonic clock
        """
        recent = [
            host
            for host, version in self._acked.items()
            if self._sent_at(version) + self._lease_s > now
        ]
        return has_majority(recent, roster)

    def max_grants(self, key: CeilingKey, roster: Collection[str]) -> int:
        """Return the maximum number of grants that a host may hold on an upstream.

        :param key: host and upstream
        :param roster: all hosts that may be running
        """
        base = self.agreed_version(roster)
        if not base:
            return 0
        return min(
            entry.ceilings.get(key, 0)
            for version, entry in self._announcements.items()
            if version >= base
        )

    def _hosts_at(self, version: int) -> list[str]:
        return [host for host, acked in self._acked.items() if acked >= version]

    def _sent_at(self, version: int) -> float:
        entry = self._announcements.get(version)
        return entry.sent_at if entry is not None else float('-inf')


class UpstreamUsage(NamedTuple):
    """Describes a host's use of an upstream, from which its next ceiling follows.

    ``used`` counts the grants that it holds, ``wanted`` those that its ceiling has
    withheld. ``active`` is set when the host sent a request recently.
    """

    used: int
    wanted: int
    active: bool


def next_ceiling(use: UpstreamUsage, limit: int) -> int:
    """Return the ceiling to announce for a host on an upstream.

    An active host gets headroom, so that its next grant need not wait for an
    announcement. The ceiling is never below the number of grants that the host holds.

    :param use: the host's use of the upstream
    :param limit: number of concurrent calls that the upstream's owner lends
    """
    headroom = use.wanted
    if use.active:
        headroom += min(MAX_HEADROOM, limit // HEADROOM_DIVISOR)
    return max(use.used, min(limit, use.used + headroom))
