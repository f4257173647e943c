"""How long answers of a service usually take."""

from __future__ import annotations

WEIGHT = 0.05  # of one answer in mean and deviation
FIRST_MEAN_S = 0.1
DEVIATIONS = 6.0  # beyond the mean, after which an answer is not awaited
LEAST_LIMIT_S = 0.15


class Durations:
    """Mean and mean deviation of each service's answers."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._deviations: dict[str, float] = {}

    def record(self, service: str, seconds: float) -> None:
        """Learn from an answer.

        :param service: that gave it
        :param seconds: how long it took
        """
        mean = self._means.get(service, FIRST_MEAN_S)
        deviation = self._deviations.get(service, FIRST_MEAN_S)
        self._means[service] = mean + WEIGHT * (seconds - mean)
        off = abs(seconds - mean)
        self._deviations[service] = deviation + WEIGHT * (off - deviation)

    def limit_s(self, service: str) -> float:
        """Return how long an answer may take before it is not awaited any longer.

        :param service: that should give it
        """
        mean = self._means.get(service, FIRST_MEAN_S)
        deviation = self._deviations.get(service, FIRST_MEAN_S)
        return max(LEAST_LIMIT_S, mean + DEVIATIONS * deviation)
