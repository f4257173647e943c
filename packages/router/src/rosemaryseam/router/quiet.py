"""Periods in which upstreams want no requests from this host."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.upstreams import Upstream

MAX_QUIET_S = 600.0  # a longer period is taken for an error of the upstream


class QuietPeriods:
    """Remembers until when each incarnation of an upstream wants no requests.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[tuple[str, int], float] = {}

    def start(self, upstream: Upstream, seconds: float) -> None:
        """Start a period, or extend the current one.

        :param upstream: incarnation of the upstream
        :param seconds: duration from now, at most :data:`MAX_QUIET_S`
        """
        now = self._clock.monotonic()
        until = now + min(seconds, MAX_QUIET_S)
        key = upstream.incarnation
        self._until = {one: end for one, end in self._until.items() if end > now}
        self._until[key] = max(until, self._until.get(key, until))

    def names(self, upstreams: Iterable[Upstream]) -> frozenset[str]:
        """Return the ids of the upstreams that want no requests now.

        :param upstreams: upstreams to check
        """
        if not self._until:
            return frozenset()
        return frozenset(entry.id for entry in upstreams if self._left_s(entry) > 0)

    def shortest_s(self, upstreams: Iterable[Upstream]) -> float:
        """Return the seconds until the first of some upstreams wants requests again.

        :param upstreams: upstreams to check, at least one
        """
        return max(0.0, min(self._left_s(entry) for entry in upstreams))

    def _left_s(self, upstream: Upstream) -> float:
        until = self._until.get(upstream.incarnation)
        return 0.0 if until is None else until - self._clock.monotonic()
