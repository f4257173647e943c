"""Retry budget that hosts share without communicating."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rosemaryseam.policy.retrybudget import FleetRetryBudget, RetryBudgetLimits

LIMITS = RetryBudgetLimits(ratio=0.2, slack=52.0, window_s=10.0)

ALLOWED = [
    ('one host, no requests', 0, 1, 41),
    ('six hosts, no requests', 0, 6, 6),
    ('six hosts, a hundred requests', 100, 6, 22),
    ('more hosts than slack', 0, 100, 0),
]


@pytest.mark.parametrize(
    ('name', 'first_attempts', 'hosts', 'expected'),
    ALLOWED,
    ids=[row[0] for row in ALLOWED],
)
def test_allows_retry(
    name: str, first_attempts: int, hosts: int, expected: int
) -> None:
    budget = FleetRetryBudget(LIMITS)
    for _ in range(first_attempts):
        budget.record_request(0.0)
    spent = 0
    while budget.allows_retry(0.0, hosts):
        budget.record_retry(0.0)
        spent += 1
    assert spent == expected


@given(
    st.integers(1, 12),
    st.lists(
        st.tuples(st.floats(0.0, 0.5), st.integers(0, 11), st.booleans()), max_size=400
    ),
)
def test_the_fleet_keeps_the_budget_in_any_window(
    hosts: int, steps: list[tuple[float, int, bool]]
) -> None:
    budgets = [FleetRetryBudget(LIMITS) for _ in range(hosts)]
    first_attempts: list[float] = []
    retries: list[float] = []
    now = 0.0
    for gap, number, fails in steps:
        now += gap
        budget = budgets[number % hosts]
        budget.record_request(now)
        first_attempts.append(now)
        while fails and budget.allows_retry(now, hosts):
            budget.record_retry(now)
            retries.append(now)
        spent = sum(1 for at in retries if at > now - LIMITS.window_s)
        asked = sum(1 for at in first_attempts if at > now - LIMITS.window_s)
        assert spent <= LIMITS.ratio * asked + LIMITS.slack


# Guards against retries that were allowed, were not sent and still count.
def test_a_withdrawn_retry_is_allowed_again() -> None:
    budget = FleetRetryBudget(RetryBudgetLimits(0.0, 1.0 / 0.8, 10.0))
    budget.record_retry(1.0)
    assert not budget.allows_retry(1.0, 1)
    budget.withdraw_retry(1.0)
    assert budget.allows_retry(1.0, 1)
    budget.withdraw_retry(1.0)
    budget.record_retry(2.0)
    assert not budget.allows_retry(2.0, 1)
