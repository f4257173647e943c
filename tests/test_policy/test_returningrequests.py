"""Tests how refused requests are recognized when they return.

The load is a burst in which one caller in three is refused and returns as told, while
some callers repeat at once.
"""

from __future__ import annotations

import pytest

from rosemaryseam.policy.returningrequests import (
    MAX_REFUSALS,
    RETURN_WINDOW_S,
    ReturningRequests,
)

# Times of refusals with a wait of 1 s, the time of the return, counted refusals.
RETURNS = [
    pytest.param([0.0], 1.0, 1, id='as told'),
    pytest.param([0.0], 0.95, 1, id='a little early'),
    pytest.param([0.0], 0.2, 0, id='at once'),
    pytest.param([0.0], 1.0 + RETURN_WINDOW_S + 0.1, 0, id='too late'),
    pytest.param([0.0, 1.1], 2.2, 2, id='refused again'),
    pytest.param([0.0, 0.1, 0.2, 0.3], 0.95, 0, id='repeats move the time on'),
    pytest.param([0.0, 0.1, 0.2, 0.3], 1.3, 1, id='repeats count once'),
    pytest.param([0.0, 1.0, 2.0, 3.0, 4.0], 5.0, 3, id='bounded'),
    pytest.param([], 1.0, 0, id='new'),
]


@pytest.mark.parametrize(('refused_at', 'returned_at', 'count'), RETURNS)
def test_only_callers_who_waited_count_as_returning(
    refused_at: list[float], returned_at: float, count: int
) -> None:
    """Guards against refusing twice who waited, and against a gain by repeating."""
    requests = ReturningRequests()
    for at in refused_at:
        requests.record_refusal(7, 1.0, at)
    assert requests.refusals(7, returned_at) == count


def test_a_placed_request_is_new_when_it_comes_again() -> None:
    """Guards against precedence for callers who send the same request all day."""
    requests = ReturningRequests()
    requests.record_refusal(7, 1.0, 0.0)
    requests.forget(7)
    assert requests.refusals(7, 1.0) == 0


def test_requests_without_a_digest_are_not_taken_for_one_another() -> None:
    requests = ReturningRequests()
    requests.record_refusal(0, 1.0, 0.0)
    assert requests.refusals(0, 1.0) == 0


def test_memory_for_refusals_is_bounded() -> None:
    """Guards against growth in an overload that lasts for hours."""
    requests = ReturningRequests()
    for number in range(1, MAX_REFUSALS + 11):
        requests.record_refusal(number, 1.0, 0.0)
    known = [n for n in range(1, MAX_REFUSALS + 11) if requests.refusals(n, 1.0)]
    assert known == list(range(11, MAX_REFUSALS + 11))
