"""The lease of a dispatcher and the ceilings it has announced.

A dispatcher may grant while a majority of the roster has acknowledged a recent
announcement. It may let a host hold no more grants than every announcement since
the last one that a majority acknowledged allows. So a successor that asks any
majority learns an upper bound of what each host can hold, whoever died.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.policy.quorum import has_majority

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

CeilingKey = tuple[str, str]  # host, upstream

MAX_HEADROOM = 2  # grants above those in use that a ceiling leaves open
HEADROOM_DIVISOR = 4  # of a limit; small limits get no headroom


class _Announcement(NamedTuple):
    sent_at: float
    ceilings: Mapping[CeilingKey, int]


class DispatcherLease:
    """Announcements and their acknowledgements.

    :param lease_s: how long an acknowledgement counts after the announcement
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._version = 0
        self._announced: dict[int, _Announcement] = {}
        self._acked: dict[str, int] = {}

    @property
    def version(self) -> int:
        """The number of the last announcement."""
        return self._version

    def announce(self, ceilings: Mapping[CeilingKey, int], now: float) -> int:
        """Record an announcement and return its version.

        :param ceilings: the most grants a host may hold on an upstream
        :param now: seconds on the monotonic clock
        """
        self._version += 1
        self._announced[self._version] = _Announcement(now, dict(ceilings))
        return self._version

    def acknowledge(self, host: str, version: int, roster: Collection[str]) -> None:
        """Record an acknowledgement.

        :param host: who acknowledges
        :param version: what is acknowledged
        :param roster: all hosts that may be running
        """
        if version > self._version:
            return
        self._acked[host] = max(version, self._acked.get(host, 0))
        base = self.agreed_version(roster)
        for old in [entry for entry in self._announced if entry < base]:
            if old not in self._acked.values():
                del self._announced[old]

    def agreed_version(self, roster: Collection[str]) -> int:
        """Return the highest version that a majority acknowledged, or 0.

        :param roster: all hosts that may be running
        """
        for version in sorted(set(self._acked.values()), reverse=True):
            if has_majority(self._hosts_at(version), roster):
                return version
        return 0

    def is_valid(self, roster: Collection[str], now: float) -> bool:
        """Return whether a majority acknowledged recently enough.

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
        """Return how many grants a host may hold on an upstream.

        :param key: host and upstream
        :param roster: all hosts that may be running
        """
        base = self.agreed_version(roster)
        if not base:
            return 0
        return min(
            entry.ceilings.get(key, 0)
            for version, entry in self._announced.items()
            if version >= base
        )

    def _hosts_at(self, version: int) -> list[str]:
        return [host for host, acked in self._acked.items() if acked >= version]

    def _sent_at(self, version: int) -> float:
        entry = self._announced.get(version)
        return entry.sent_at if entry is not None else float('-inf')


class UpstreamUsage(NamedTuple):
    """How a host uses an upstream, for its next ceiling."""

    used: int
    wanted: int
    active: bool


def next_ceiling(use: UpstreamUsage, limit: int) -> int:
    """Return the ceiling to announce for a host on an upstream.

    A host that asked lately gets headroom, so that its next grant needs no
    announcement first. What a host has is never above its ceiling.

    :param use: how the host uses the upstream
    :param limit: what the owner lends
    """
    headroom = use.wanted
    if use.active:
        headroom += min(MAX_HEADROOM, limit // HEADROOM_DIVISOR)
    return max(use.used, min(limit, use.used + headroom))
