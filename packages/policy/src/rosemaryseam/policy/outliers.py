"""Upstreams that fail more than the others of their service."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

FAILURE_WEIGHT = 0.12  # of one outcome in the failure share
FAILURE_MEMORY_S = 4.0  # in which a share falls to a third without new outcomes
USUAL_SPREAD = 0.1  # by which shares of equal upstreams differ by chance
BASE_EJECTION_S = 0.5  # that an unreachable upstream gets no requests
MAX_EJECTION_S = 4.0


class _Share(NamedTuple):
    value: float
    at: float


class OutlierDetector:
    """Learns from outcomes which upstreams to avoid, and for how long.

    What was learnt fades, so that an upstream that is avoided is tried again.
    """

    def __init__(self) -> None:
        self._shares: dict[str, _Share] = {}
        self._pauses: dict[str, tuple[float, float]] = {}

    def record(self, name: str, now: float, *, failed: bool) -> None:
        """Note the outcome of a request that an upstream got.

        :param name: the upstream
        :param now: seconds on the monotonic clock
        :param failed: whether the upstream failed it
        """
        self._count(name, now, failed=failed)
        if not failed:
            self._pauses.pop(name, None)

    def record_unreachable(self, name: str, now: float) -> None:
        """Note that an upstream did not take a connection, or never answered.

        :param name: the upstream
        :param now: seconds on the monotonic clock
        """
        _, length = self._pauses.get(name, (0.0, BASE_EJECTION_S / 2))
        length = min(MAX_EJECTION_S, length * 2)
        self._pauses[name] = (now + length, length)
        self._count(name, now, failed=True)

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether an upstream should get no requests now.

        :param name: the upstream
        :param now: seconds on the monotonic clock
        """
        until, _ = self._pauses.get(name, (0.0, 0.0))
        return now < until

    def median_failure_rate(self, names: Iterable[str], now: float) -> float:
        """Return the median share of failures.

        :param names: all upstreams of a service
        :param now: seconds on the monotonic clock
        """
        return statistics.median([self._share(name, now) for name in names])

    def excess_failure_rate(self, name: str, usual: float, now: float) -> float:
        """Return by how much an upstream fails more often than chance explains.

        :param name: the upstream
        :param usual: share of failures that is usual in the service
        :param now: seconds on the monotonic clock
        """
        return max(0.0, self._share(name, now) - usual - USUAL_SPREAD)

    def retain(self, kept: Iterable[str]) -> None:
        """Drop what is known of all other upstreams.

        :param kept: the upstreams that are still registered
        """
        names = set(kept)
        for known in (self._shares, self._pauses):
            for name in [key for key in known if key not in names]:
                del known[name]

    def _share(self, name: str, now: float) -> float:
        known = self._shares.get(name)
        if known is None:
            return 0.0
        return known.value * math.exp((known.at - now) / FAILURE_MEMORY_S)

    def _count(self, name: str, now: float, *, failed: bool) -> None:
        share = self._share(name, now)
        share += FAILURE_WEIGHT * (float(failed) - share)
        self._shares[name] = _Share(share, now)
