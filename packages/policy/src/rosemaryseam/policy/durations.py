"""How long answers of a service usually take."""

from __future__ import annotations

WEIGHT = 0.05  # of one answer in mean and deviation
LEAST_ANSWERS = 20
DEVIATIONS = 6.0  # beyond the mean, after which an answer is not awaited
LEAST_LIMIT_S = 0.15


class AnswerDurations:
    """Mean and mean deviation of each service's answers."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._deviations: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, service: str, seconds: float) -> None:
        """Learn from an answer, or from the time for which none came.

        :param service: that gave it
        :param seconds: how long it took
        """
        mean = self._means.get(service, seconds)
        deviation = self._deviations.get(service, seconds)
        self._means[service] = mean + WEIGHT * (seconds - mean)
        off = abs(seconds - mean)
        self._deviations[service] = deviation + WEIGHT * (off - deviation)
        self._counts[service] = self._counts.get(service, 0) + 1

    def time_limit_s(self, service: str, target_s: float) -> float | None:
        """Return how long an answer may take before it is not awaited any longer.

        :param service: that should give it
        :param target_s: in which it is wanted; it is awaited at least so long
        :returns: ``None`` while too few answers are known
        """
        if self._counts.get(service, 0) < LEAST_ANSWERS:
            return None
        limit = self._means[service] + DEVIATIONS * self._deviations[service]
        return max(LEAST_LIMIT_S, target_s, limit)
