"""What hosts have told a dispatcher since it took a partition over."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from rosemaryseam.policy.quorum import has_majority

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from rosemaryseam.node.messages import Ceiling
    from rosemaryseam.policy.leases import CeilingKey


class Recovery:
    """Who replied to a takeover, and what the replies say of those who did not.

    :param patience_s: how long hosts that can be reached may take after a majority
    """

    def __init__(self, patience_s: float) -> None:
        self._patience_s = patience_s
        self._replied: set[str] = set()
        self._informed: set[str] = set()
        self._ceilings: Counter[CeilingKey] = Counter()
        self._majority_at: float | None = None

    @property
    def replied(self) -> frozenset[str]:
        """Hosts that have said what they hold."""
        return frozenset(self._replied)

    def record(self, host: str, ceilings: Iterable[Ceiling], *, informed: bool) -> None:
        """Take over a reply.

        :param host: who replies
        :param ceilings: the last that the host heard of
        :param informed: whether it heard any before this takeover
        """
        self._replied.add(host)
        if informed:
            self._informed.add(host)
        for ceiling in ceilings:
            key = (ceiling.host, ceiling.upstream)
            self._ceilings[key] = max(self._ceilings[key], ceiling.count)

    def forget(self, host: str) -> None:
        """Drop what is known of a host whose process has ended.

        :param host: the host
        """
        self._replied.discard(host)
        self._informed.discard(host)
        for key in [entry for entry in self._ceilings if entry[0] == host]:
            del self._ceilings[key]

    def is_complete(
        self, roster: Collection[str], reachable: Collection[str], now: float
    ) -> bool:
        """Return whether the replies suffice.

        :param roster: all hosts that may be running
        :param reachable: those that answer heartbeats
        :param now: seconds on the monotonic clock
        """
        if not has_majority(self._replied, roster):
            return False
        if self._majority_at is None:
            self._majority_at = now
        missing = set(reachable) - self._replied
        return not missing or now - self._majority_at >= self._patience_s

    def most_held(self, host: str, upstream: str, limit: int, roster: set[str]) -> int:
        """Return the most that a silent host can hold on an upstream.

        Without a majority that heard of a former dispatcher's ceilings, that is all
        that the owner lends.

        :param host: the silent host
        :param upstream: its name
        :param limit: what the owner lends
        :param roster: all hosts that may be running
        """
        if not has_majority(self._informed, roster):
            return limit
        return self._ceilings[host, upstream]
