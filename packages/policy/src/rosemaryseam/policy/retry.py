"""Retry budget of a host for idempotent requests."""

from __future__ import annotations

BUDGET_RATIO = 0.2  # retries earned by each first attempt
BUDGET_MIN = 10.0  # retries available without any first attempts
BUDGET_MAX = 100.0  # upper bound on saved retries


class RetryBudget:
    """Earns a fraction of a retry with every first attempt."""

    def __init__(
        self,
        ratio: float = BUDGET_RATIO,
        minimum: float = BUDGET_MIN,
        maximum: float = BUDGET_MAX,
    ) -> None:
        self._ratio = ratio
        self._maximum = maximum
        self.tokens = minimum

    def record_first_try(self) -> None:
        """Add the fraction of a retry that one first attempt earns."""
        self.tokens = min(self._maximum, self.tokens + self._ratio)

    def spend(self) -> bool:
        """Use one retry and return whether the budget allowed it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
