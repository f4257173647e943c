"""Counters, gauges and latency histograms in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)

from rosemaryseam.common.workfailures import WorkFailures

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from prometheus_client import Metric

PREFIX = 'rosemaryseam_'
MAX_MICROSECONDS = 3_600_000_000  # longer durations are recorded as one hour
SIGNIFICANT_DIGITS = 2  # precision of recorded durations in decimal digits
QUANTILES = (0.5, 0.95, 0.99)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Holds all metrics of a process.

    ``work_failures`` holds the failed steps in a row of repeated work.
    """

    def __init__(self) -> None:
        self.work_failures = WorkFailures()
        self._counters: dict[tuple[str, Labels], int] = {}
        self._histograms: dict[tuple[str, Labels], HdrHistogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter.

        :param name: name of the counter without prefix and ``_total``
        :param amount: the increment
        :param labels: labels such as ``request_class``
        """
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram.

        :param name: name of the histogram without prefix and ``_seconds``
        :param seconds: the duration
        :param labels: labels such as ``request_class``
        """
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._histograms[key] = histogram
        histogram.record_value(max(1, min(MAX_MICROSECONDS, int(seconds * 1e6))))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge, whose value is read at each scrape.

        :param name: name of the gauge without prefix
        :param read: returns the value
        """
        self._gauges[name] = read

    def value(self, name: str, **labels: str) -> int:
        """Return the value of a counter.

        :param name: name of the counter without prefix and ``_total``
        :param labels: labels of the counter
        """
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def dump(self) -> dict[str, int]:
        """Return the counters as JSON-compatible values."""
        return {
            name + ''.join(f',{key}={value}' for key, value in labels): count
            for (name, labels), count in sorted(self._counters.items())
        }

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families; the Prometheus registry calls this method."""
        yield from self._collect_counters()
        yield from self._collect_histograms()
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(PREFIX + name, name, value=read())
        yield self._collect_work_failures()

    def _collect_work_failures(self) -> GaugeMetricFamily:
        family = GaugeMetricFamily(
            PREFIX + 'work_failures_in_a_row', 'work_failures', labels=('work',)
        )
        for work, failing in self.work_failures.failing().items():
            family.add_metric((work,), failing.in_a_row)
        return family

    def _collect_counters(self) -> Iterator[Metric]:
        families: dict[tuple[str, tuple[str, ...]], CounterMetricFamily] = {}
        for (name, labels), value in self._counters.items():
            names = tuple(key for key, _ in labels)
            family = families.get((name, names))
            if family is None:
                family = CounterMetricFamily(PREFIX + name, name, labels=names)
                families[name, names] = family
            family.add_metric([text for _, text in labels], value)
        yield from families.values()

    def _collect_histograms(self) -> Iterator[Metric]:
        for (name, labels), histogram in self._histograms.items():
            names = [key for key, _ in labels]
            values = [text for _, text in labels]
            family = SummaryMetricFamily(f'{PREFIX}{name}_seconds', name, labels=names)
            count = histogram.get_total_count()
            total = histogram.get_mean_value() * count / 1e6
            family.add_metric(values, count, total)
            for quantile in QUANTILES:
                value = histogram.get_value_at_percentile(quantile * 100) / 1e6
                family.add_sample(
                    f'{PREFIX}{name}_seconds',
                    {**dict(labels), 'quantile': str(quantile)},
                    value,
                )
            yield family
