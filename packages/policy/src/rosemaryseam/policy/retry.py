"""The budget that bounds retries of idempotent requests."""

from __future__ import annotations

BUDGET_RATIO = 0.2  # retries allowed per first try
BUDGET_MIN = 10.0  # retries a quiet host may make
BUDGET_MAX = 100.0  # retries a busy host can save up


class RetryBudget:
    """Earns a share of a retry with every first try."""

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
        """Earn for one first try."""
        self.tokens = min(self._maximum, self.tokens + self._ratio)

    def spend(self) -> bool:
        """Take one retry and return whether the budget allowed it."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
