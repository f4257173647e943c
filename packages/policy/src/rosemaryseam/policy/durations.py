"""Answer durations of each service and the time limits derived from them."""

from __future__ import annotations

EWMA_WEIGHT = 0.05  # of one answer in the moving mean and mean deviation
MIN_ANSWERS = 20  # of a service, below which no time limit is derived
LIMIT_DEVIATIONS = 6.0  # mean deviations above the mean at which a wait ends
MIN_LIMIT_S = 0.15  # lower bound on a time limit


class AnswerDurations:
    """Tracks the moving mean and mean deviation of each service's answer times."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._deviations: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def record(self, service: str, seconds: float) -> None:
        """Record the duration of an answer, or of a wait that ended without one.

        :param service: name of the service
        :param seconds: duration of the answer or of the wait
        """
        mean = self._means.get(service, seconds)
        deviation = self._deviations.get(service, seconds)
        self._means[service] = mean + EWMA_WEIGHT * (seconds - mean)
        error = abs(seconds - mean)
        self._deviations[service] = deviation + EWMA_WEIGHT * (error - deviation)
        self._counts[service] = self._counts.get(service, 0) + 1

    def answer_timeout_s(self, service: str, target_s: float) -> float | None:
        """Return the time in seconds after which the wait for an answer ends.

        :param service: name of the service
        :param target_s: target for the answer; the limit is never below it
        :returns: ``None`` until :data:`MIN_ANSWERS` answers were recorded
        """
        if self._counts.get(service, 0) < MIN_ANSWERS:
            return None
        limit = self._means[service] + LIMIT_DEVIATIONS * self._deviations[service]
        return max(MIN_LIMIT_S, target_s, limit)
