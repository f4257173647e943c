"""Replies of hosts to the dispatcher that takes over a partition."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from rosemaryseam.policy.quorum import has_majority

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from rosemaryseam.node.messages import Ceiling
    from rosemaryseam.policy.leases import CeilingKey


class Recovery:
    """Tracks replies to a takeover and bounds the grants of hosts that did not reply.

    :param straggler_wait_s: seconds that other reachable hosts may take to reply once a
        majority has replied
    """

    def __init__(self, straggler_wait_s: float) -> None:
        self._straggler_wait_s = straggler_wait_s
        self._replied: set[str] = set()
        self._informed: set[str] = set()
        self._ceilings: Counter[CeilingKey] = Counter()
        self._majority_at: float | None = None

    @property
    def replied(self) -> frozenset[str]:
        """Hosts that have reported the grants that they hold."""
        return frozenset(self._replied)

    def record(self, host: str, ceilings: Iterable[Ceiling], *, informed: bool) -> None:
        """Record a reply.

        :param host: name of the host that replied
        :param ceilings: ceilings of the last lease that the host accepted
        :param informed: whether the host has accepted a lease from any dispatcher
        """
        self._replied.add(host)
        if informed:
            self._informed.add(host)
        for ceiling in ceilings:
            key = (ceiling.host, ceiling.upstream)
            self._ceilings[key] = max(self._ceilings[key], ceiling.count)

    def drop_host(self, host: str) -> None:
        """Discard the replies and ceilings of a host whose process has ended.

        :param host: name of the host
        """
        self._replied.discard(host)
        self._informed.discard(host)
        for key in [entry for entry in self._ceilings if entry[0] == host]:
            del self._ceilings[key]

    def is_complete(
        self, roster: Collection[str], reachable: Collection[str], now: float
    ) -> bool:
        """Return whether the replies suffice to bound the grants of all hosts.

        :param roster: all hosts that may be running
        :param reachable: hosts that answer heartbeats
        :param now: seconds on the monotonic clock
        """
        if not has_majority(self._replied, roster):
            return False
        if self._majority_at is None:
            self._majority_at = now
        missing = set(reachable) - self._replied
        return not missing or now - self._majority_at >= self._straggler_wait_s

    def max_held(self, host: str, upstream: str, limit: int, roster: set[str]) -> int:
        """Return the maximum number of grants that a silent host can hold.

        Unless a majority knows the ceilings of a former dispatcher, the maximum is the
        owner's whole limit.

        :param host: name of the silent host
        :param upstream: name of the upstream
        :param limit: number of concurrent calls that the upstream's owner lends
        :param roster: all hosts that may be running
        """
        if not has_majority(self._informed, roster):
            return limit
        return self._ceilings[host, upstream]
