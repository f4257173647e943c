"""Learned prefill rate, step time and growth of the step of one engine."""

from __future__ import annotations

import math
from typing import NamedTuple

from rosemaryseam.policy.decayingmean import DecayingMean
from rosemaryseam.policy.statedwork import StatedWork

LASTING_S = 10.0  # time constant of the lasting figures
RECENT_S = 0.5  # time constant of the present factor; neighbours slow down for 0.6 s
RECENT_PRIOR = 1.5  # measurements of usual speed assumed in the recent mean
PREFILL_PRIOR_S = 0.5  # prefill time at the prior rate that is assumed initially
STEP_PRIOR = 6.0  # measurements of the prior step that are assumed initially
MIN_FACTOR = 0.25  # of the prior figures, to which learned ones are limited
MAX_FACTOR = 8.0
MAX_SAMPLE_FACTOR = 3.0  # of the estimate, to which one measurement is limited
# Present factors below it are within the errors of the measurements.
MIN_PRESENT_FACTOR = 1.3
MAX_PRESENT_FACTOR = 4.0
FULL_SAMPLE_PREFILL_S = 0.05  # prefill that counts as one measurement of the factor
FULL_SAMPLE_EVENTS = 16  # events that count as one measurement of the factor
MAX_PREFILL_SHARE = 0.7  # above it, pauses between events tell little of the step
BINS = 8  # of the number of requests in flight, for the growth of the step
MIN_BIN_WEIGHT = 2.0  # measurements from which on a bin counts
KNEE_TOLERANCE = 0.9  # of the best throughput, below which a bin lies beyond the knee


class EnginePerformance(NamedTuple):
    """Performance of an engine.

    ``prefill_tokens_per_s`` is the rate of prefill. A batch step takes ``step_s`` plus
    ``step_per_slot_s`` for each request in flight, and prefills at most
    ``chunk_tokens`` in addition. ``network_s`` is the network round-trip time.
    """

    prefill_tokens_per_s: float = 54_000.0
    step_s: float = 0.0038
    step_per_slot_s: float = 0.00009
    chunk_tokens: int = 4096
    network_s: float = 0.003


class _StepBin:
    """Measured steps with similar numbers of requests in flight."""

    __slots__ = ('requests', 'step_s')

    def __init__(self) -> None:
        self.requests = DecayingMean(LASTING_S)
        self.step_s = DecayingMean(LASTING_S)


class EngineSpeed:
    """Learns how fast one engine prefills and generates.

    Lasting figures follow the measurements of about 10 s. A present factor on all times
    follows those of about 0.5 s and what the engine states; it returns to 1 without
    news. One measurement changes neither by much.

    If ``learns`` is false, measurements are ignored.

    :param defaults: figures that are used before any upstream of the service is known
    :param batch_slots: maximum number of concurrent requests
    """

    def __init__(self, defaults: EnginePerformance, batch_slots: int) -> None:
        self._defaults = defaults
        self._prior = defaults
        self._batch_slots = max(1, batch_slots)
        self._measured_s = DecayingMean(LASTING_S)
        self._nominal_s = DecayingMean(LASTING_S)
        self._bins: dict[int, _StepBin] = {}
        self._recent = DecayingMean(RECENT_S)
        self._lasting = defaults
        self._knee = math.inf
        self._measured_at = self._adopted_at = -math.inf
        self._beyond_step_s = 0.0  # step measured beyond the knee, at its first bin
        self.stated = StatedWork()
        self.learns = True

    def set_prior(self, prior: EnginePerformance, now: float) -> None:
        """Set the figures that count where none was measured lately.

        :param prior: median of the other engines of the service
        :param now: seconds on the monotonic clock
        """
        if now - self._adopted_at >= LASTING_S:
            self._prior = prior
        self._estimate_prefill(now)
        self._estimate_step(now)

    @property
    def lasting(self) -> EnginePerformance:
        """Figures of the last 10 s."""
        return self._lasting

    @property
    def knee(self) -> float:
        """Number of requests in flight beyond which the throughput drops."""
        return self._knee

    @property
    def slowdown(self) -> float:
        """Ratio of the lasting prefill time to that of the defaults."""
        return self._defaults.prefill_tokens_per_s / self._lasting.prefill_tokens_per_s

    def is_known(self, now: float) -> bool:
        """Return whether prefill was measured lately.

        :param now: seconds on the monotonic clock
        """
        return now - self._measured_at < LASTING_S

    def present_factor(self, now: float) -> float:
        """Return the factor by which all times are longer than usual at present.

        :param now: seconds on the monotonic clock
        """
        factor = self.stated.blend(self._recent, RECENT_PRIOR, now)
        return 1.0 if factor < MIN_PRESENT_FACTOR else min(MAX_PRESENT_FACTOR, factor)

    def step_s(self, requests: int) -> float:
        """Return the usual duration of a batch step without prefill.

        :param requests: number of requests in flight
        """
        lasting = self._lasting
        step_s = lasting.step_s + lasting.step_per_slot_s * requests
        return max(step_s, self._beyond_step_s) if requests > self._knee else step_s

    def record_prefill(self, measured_s: float, tokens: int, now: float) -> None:
        """Record how long the prefill of a prompt took.

        :param measured_s: measured time; prompts of one step count with the first one
        :param tokens: number of prefilled tokens
        :param now: seconds on the monotonic clock
        """
        if tokens <= 0 or not self.learns:
            return
        usual_s = tokens / self._lasting.prefill_tokens_per_s
        bounded_s = min(measured_s, MAX_SAMPLE_FACTOR * usual_s + self._prior.step_s)
        self._measured_s.add(bounded_s, now)
        self._nominal_s.add(tokens / self._defaults.prefill_tokens_per_s, now)
        weight = min(1.0, usual_s / FULL_SAMPLE_PREFILL_S)
        self._recent.add(min(MAX_SAMPLE_FACTOR, bounded_s / usual_s), now, weight)
        self._measured_at = now
        self._estimate_prefill(now)

    def record_pace(
        self,
        step_s: float,
        requests: int,
        prefill_share: float,
        events: int,
        now: float,
    ) -> None:
        """Record the pace of streams.

        :param step_s: mean time per generated token
        :param requests: number of requests in flight
        :param prefill_share: share of the time that the engine spent on prefill
        :param events: number of events in the mean
        :param now: seconds on the monotonic clock
        """
        if (
            not self.learns
            or prefill_share > MAX_PREFILL_SHARE
            or events <= 0
            or not step_s > 0.0
        ):
            return
        usual_s = self.step_s(requests)
        alone_s = step_s * (1.0 - prefill_share)
        low, high = usual_s / MAX_SAMPLE_FACTOR, usual_s * MAX_SAMPLE_FACTOR
        alone_s = min(high, max(low, alone_s))
        weight = min(1.0, events / FULL_SAMPLE_EVENTS) * (1.0 - prefill_share) ** 2
        self._recent.add(alone_s / usual_s, now, weight)
        index = min(BINS - 1, requests * BINS // self._batch_slots)
        entry = self._bins.setdefault(index, _StepBin())
        entry.requests.add(requests, now, weight)
        entry.step_s.add(alone_s, now, weight)
        self._estimate_step(now)

    def adopt(self, figures: EnginePerformance, learned_at: float, now: float) -> None:
        """Use the figures that another dispatcher learned, if none is known here.

        :param figures: lasting figures
        :param learned_at: time at which they were learned
        :param now: seconds on the monotonic clock
        """
        if self.is_known(now) or learned_at <= self._adopted_at:
            return
        self._prior = self._bounded(figures)
        self._adopted_at = learned_at
        self._estimate_prefill(now)
        self._estimate_step(now)

    def learned_at(self) -> float:
        """Return when the figures were measured or learned by another dispatcher."""
        return max(self._measured_at, self._adopted_at)

    def adopt_slowdown(self, slowdown: float) -> None:
        """Use another host's ratio of prefill times, if no figures are known here.

        :param slowdown: value of :attr:`slowdown` at the other host
        """
        now = max(self._measured_s.at, self._recent.at)
        if now - self._adopted_at < LASTING_S:
            return
        base = self._defaults
        self.adopt(
            base._replace(
                prefill_tokens_per_s=base.prefill_tokens_per_s / slowdown,
                step_s=base.step_s * slowdown,
                step_per_slot_s=base.step_per_slot_s * slowdown,
            ),
            now,
            now,
        )

    def _estimate_prefill(self, now: float) -> None:
        """Estimate the prefill rate as the ratio of sums, which batches do not bias."""
        default_rate = self._defaults.prefill_tokens_per_s
        prior_factor = default_rate / self._prior.prefill_tokens_per_s
        measured_s = self._measured_s.total(now) + PREFILL_PRIOR_S * prior_factor
        nominal_s = self._nominal_s.total(now) + PREFILL_PRIOR_S
        factor = measured_s / nominal_s
        factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
        self._lasting = self._lasting._replace(
            prefill_tokens_per_s=default_rate / factor
        )

    def _estimate_step(self, now: float) -> None:
        """Fit the step below the knee to the bins, with the prior at both ends."""
        prior = self._prior
        points = [
            (entry.requests.mean(now, 0.0, 1e-9), entry.step_s.mean(now, 0.0, 1e-9), w)
            for _, entry in sorted(self._bins.items())
            if (w := entry.step_s.weight(now)) > 0.0
        ]
        self._find_knee(points)
        weight = STEP_PRIOR / 2
        for requests in (1.0, self._batch_slots / 2):
            step_s = prior.step_s + prior.step_per_slot_s * requests
            points.append((requests, step_s, weight))
        kept = [point for point in points if point[0] <= self._knee]
        base_s, growth_s = _fit_line(kept)
        low, high = prior.step_per_slot_s * MIN_FACTOR, prior.step_per_slot_s * 4.0
        bounded = min(high, max(low, growth_s))
        if bounded != growth_s:
            total = sum(w for _, _, w in kept)
            mean_n = sum(n * w for n, _, w in kept) / total
            base_s += (growth_s - bounded) * mean_n
        base_s = min(prior.step_s * MAX_FACTOR, max(prior.step_s * MIN_FACTOR, base_s))
        self._lasting = self._lasting._replace(step_s=base_s, step_per_slot_s=bounded)

    def _find_knee(self, points: list[tuple[float, float, float]]) -> None:
        """Find the number of requests beyond which more of them yield fewer tokens."""
        self._knee, self._beyond_step_s = math.inf, 0.0
        best_rate = best_requests = 0.0
        for requests, step_s, weight in points:
            if weight < MIN_BIN_WEIGHT:
                continue
            rate = requests / step_s
            if rate < KNEE_TOLERANCE * best_rate:
                self._knee, self._beyond_step_s = best_requests, step_s
                return
            if rate > best_rate:
                best_rate, best_requests = rate, requests

    def _bounded(self, figures: EnginePerformance) -> EnginePerformance:
        base = self._defaults
        return base._replace(
            **{
                name: _limit(getattr(figures, name), getattr(base, name))
                for name in ('prefill_tokens_per_s', 'step_s', 'step_per_slot_s')
            }
        )


def _limit(value: float, default: float) -> float:
    if not math.isfinite(value):
        return default
    return min(default * MAX_FACTOR, max(default / MAX_FACTOR, value))


def _fit_line(points: list[tuple[float, float, float]]) -> tuple[float, float]:
    """Return the start and slope of the line through weighted points."""
    total = sum(weight for _, _, weight in points)
    mean_x = sum(x * weight for x, _, weight in points) / total
    mean_y = sum(y * weight for _, y, weight in points) / total
    variance = sum(weight * (x - mean_x) ** 2 for x, _, weight in points)
    if variance <= 0.0:
        return mean_y, 0.0
    covariance = sum(weight * (x - mean_x) * (y - mean_y) for x, y, weight in points)
    slope = covariance / variance
    return mean_y - slope * mean_x, slope
