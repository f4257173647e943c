"""Detection and ejection of upstreams that fail more than the rest of a service."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

FAILURE_WEIGHT = 0.12  # of one outcome in the moving failure rate
FAILURE_DECAY_S = 4.0  # time constant: a rate falls to 1/e without new outcomes
RATE_TOLERANCE = 0.1  # difference that chance causes among equal upstreams
BASE_EJECTION_S = 0.5  # first ejection; each further one in a row lasts twice as long
MAX_EJECTION_S = 4.0


class _FailureRate(NamedTuple):
    value: float
    updated_at: float


class OutlierDetector:
    """Tracks failure rates and ejects unreachable upstreams for a growing time.

    Failure rates decay with time, so that an avoided upstream is tried again.
    """

    def __init__(self) -> None:
        self._rates: dict[str, _FailureRate] = {}
        self._ejections: dict[str, tuple[float, float]] = {}

    def record(self, name: str, now: float, *, failed: bool) -> None:
        """Record the outcome of a request; a success ends an ejection.

        :param name: id of the upstream
        :param now: seconds on the monotonic clock
        :param failed: whether the request failed because of the upstream
        """
        self._update_rate(name, now, failed=failed)
        if not failed:
            self._ejections.pop(name, None)

    def record_unreachable(self, name: str, now: float) -> None:
        """Eject an upstream that refused a connection or never answered.

        :param name: id of the upstream
        :param now: seconds on the monotonic clock
        """
        _, length = self._ejections.get(name, (0.0, BASE_EJECTION_S / 2))
        length = min(MAX_EJECTION_S, length * 2)
        self._ejections[name] = (now + length, length)
        self._update_rate(name, now, failed=True)

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether an upstream is ejected and should get no requests now.

        :param name: id of the upstream
        :param now: seconds on the monotonic clock
        """
        until, _ = self._ejections.get(name, (0.0, 0.0))
        return now < until

    def median_failure_rate(self, names: Iterable[str], now: float) -> float:
        """Return the median failure rate of a service's upstreams.

        :param names: ids of all upstreams of the service
        :param now: seconds on the monotonic clock
        """
        return statistics.median([self._rate(name, now) for name in names])

    def excess_failure_rate(self, name: str, median: float, now: float) -> float:
        """Return the excess of a failure rate over the median plus the tolerance.

        :param name: id of the upstream
        :param median: median failure rate of the service
        :param now: seconds on the monotonic clock
        """
        return max(0.0, self._rate(name, now) - median - RATE_TOLERANCE)

    def retain(self, kept: Iterable[str]) -> None:
        """Drop the state of all upstreams that are not listed.

        :param kept: ids of the upstreams that are still registered
        """
        names = set(kept)
        for known in (self._rates, self._ejections):
            for name in [key for key in known if key not in names]:
                del known[name]

    def _rate(self, name: str, now: float) -> float:
        known = self._rates.get(name)
        if known is None:
            return 0.0
        return known.value * math.exp((known.updated_at - now) / FAILURE_DECAY_S)

    def _update_rate(self, name: str, now: float, *, failed: bool) -> None:
        rate = self._rate(name, now)
        rate += FAILURE_WEIGHT * (float(failed) - rate)
        self._rates[name] = _FailureRate(rate, now)
