"""Demand for a service in engines: its present value, trend, spread and peak."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.policy.engines import EnginePerformance

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

WINDOW_S = 20.0  # covers a whole wave of demand
TREND_S = 3.0  # of the latest samples, from which the trend is estimated
TREND_DAMPING = 0.6  # a wave turns before its trend has lasted a start-up time
NEW_PEAK = 1.05  # times the earlier peak, below which demand follows a known wave
MAX_TREND_GAIN = 1.5  # highest expected demand, as a multiple of the present one
# Streams with short pause limits suffer if prefill and slots take more of an engine.
FULL_SHARE = 0.65
# Prefill between two steps slows streams down, at the share usual on a full engine.
PREFILL_SLOWDOWN = 1.5
DEFAULT_WORK_S = 0.05  # of a request without a prompt


class RankDemand(NamedTuple):
    """Demand for a service per second, of requests of one urgency rank.

    ``prefill_tokens`` are prompt tokens that are not cached. The requests include those
    ``refused``.
    """

    requests: float
    prefill_tokens: float
    output_tokens: float
    refused: float = 0.0


class EngineRates(NamedTuple):
    """Performance and size of a service's upstreams.

    ``work_s`` is the time that a request without a prompt takes.
    """

    performance: EnginePerformance = EnginePerformance()
    batch_slots: int = 64
    work_s: float = DEFAULT_WORK_S
    is_engine: bool = True


class DemandForecast(NamedTuple):
    """Expected demand in full engines.

    ``present`` is the latest value and ``ahead`` the one expected when an upstream that
    is ordered now serves. ``mean`` and ``peak`` are those of the window, ``samples``
    all values in it. ``urgent`` is the peak of the most urgent rank, ``refused`` the
    requests refused in the last second. ``history_s`` is the time covered.
    """

    present: float
    ahead: float
    mean: float
    peak: float
    urgent: float
    samples: tuple[float, ...]
    refused: float
    history_s: float


class _Sample(NamedTuple):
    """Demand in engines at one time."""

    at: float
    total: float
    urgent: float
    refused: float


class DemandTrend:
    """Keeps the demand for a service over the last :data:`WINDOW_S` seconds."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque()

    def add(
        self, ranks: Mapping[int, RankDemand], rates: EngineRates, now: float
    ) -> None:
        """Record the demand of the last second.

        Nothing is recorded before the first request: the hosts of a new fleet start
        before their callers, and the upstreams must not be reduced meanwhile.

        :param ranks: demand by urgency rank, 0 first
        :param rates: performance of the service's upstreams
        :param now: seconds on the monotonic clock
        """
        total = engines_needed(ranks.values(), rates)
        if not self._samples and not total:
            return
        urgent = ranks[min(ranks)] if ranks else RankDemand(0.0, 0.0, 0.0)
        self._samples.append(
            _Sample(
                now,
                total,
                engines_needed((urgent,), rates),
                sum(rank.refused for rank in ranks.values()),
            )
        )
        while self._samples[0].at < now - WINDOW_S:
            self._samples.popleft()

    def forecast(self, horizon_s: float) -> DemandForecast | None:
        """Return the expected demand, or ``None`` if none was recorded.

        :param horizon_s: time in seconds until an upstream ordered now serves
        """
        if not self._samples:
            return None
        totals = tuple(sample.total for sample in self._samples)
        last = self._samples[-1]
        peak = max(totals)
        ahead = last.total + self._slope() * horizon_s * TREND_DAMPING
        earlier = (one.total for one in self._samples if one.at < last.at - TREND_S)
        if last.total < NEW_PEAK * max(earlier, default=0.0):
            ahead = min(ahead, peak)
        return DemandForecast(
            present=last.total,
            ahead=max(0.0, min(ahead, last.total * MAX_TREND_GAIN)),
            mean=sum(totals) / len(totals),
            peak=peak,
            urgent=max(sample.urgent for sample in self._samples),
            samples=totals,
            refused=last.refused,
            history_s=last.at - self._samples[0].at,
        )

    def _slope(self) -> float:
        """Return the change per second, by least squares over the latest samples."""
        newest = self._samples[-1].at
        latest = [one for one in self._samples if one.at >= newest - TREND_S]
        mean_at = math.fsum(one.at for one in latest) / len(latest)
        spread = math.fsum((one.at - mean_at) ** 2 for one in latest)
        if len(latest) < 3 or spread == 0.0:
            return 0.0
        return math.fsum((one.at - mean_at) * one.total for one in latest) / spread


def engines_needed(ranks: Iterable[RankDemand], rates: EngineRates) -> float:
    """Return how many engines a demand fills.

    :param ranks: demand to serve
    :param rates: performance of the engines
    """
    total = [sum(values) for values in zip(*ranks, strict=True)]
    if not total:
        return 0.0
    requests, prefill_tokens, output_tokens, _ = total
    slots = max(1, rates.batch_slots)
    if not rates.is_engine:
        return requests * rates.work_s / slots / FULL_SHARE
    performance = rates.performance
    prefill_share = prefill_tokens / performance.prefill_tokens_per_s
    step_s = performance.step_s + performance.step_per_slot_s * slots / 2
    slot_share = output_tokens * step_s * PREFILL_SLOWDOWN / slots
    return (prefill_share + slot_share) / FULL_SHARE
