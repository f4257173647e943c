"""Tests that the history checkers find violations and accept valid histories."""

from __future__ import annotations

from typing import Any

import pytest
from histories import (
    AcceptedRequest,
    FinishedCall,
    ShedRequest,
    duplicate_executions,
    finished_calls,
    longest_gap,
    priority_inversions,
    sheds_during_lower_tier_calls,
    wrongly_reported_not_run,
)

KEYED = {'key': 'booking-1'}


@pytest.mark.parametrize(
    ('shed', 'start', 'found'),
    [
        (ShedRequest(0, 1.0, 4.0), AcceptedRequest(2, 2.0), True),
        (ShedRequest(0, 1.0, 4.0), AcceptedRequest(1, 3.0), True),
        (ShedRequest(1, 1.0, 4.0), AcceptedRequest(1, 2.0), False),
        (ShedRequest(2, 1.0, 4.0), AcceptedRequest(0, 2.0), False),
        (ShedRequest(0, 1.0, 4.0), AcceptedRequest(2, 0.5), False),
        (ShedRequest(0, 1.0, 4.0), AcceptedRequest(2, 4.5), False),
        (ShedRequest(0, 1.0, 4.0), AcceptedRequest(2, 1.1), False),
    ],
)
def test_priority_inversions(
    shed: ShedRequest, start: AcceptedRequest, found: bool
) -> None:
    assert bool(priority_inversions([shed], [start], grace_s=0.3)) is found


@pytest.mark.parametrize(
    ('span', 'found'),
    [
        (FinishedCall(1, 1.0, 9.0), True),
        (FinishedCall(0, 1.0, 9.0), False),
        (FinishedCall(1, 3.9, 9.0), False),
        (FinishedCall(1, 1.0, 4.1), False),
    ],
)
def test_sheds_during_lower_tier_calls(span: FinishedCall, found: bool) -> None:
    assert (
        bool(
            sheds_during_lower_tier_calls(
                [ShedRequest(0, 2.0, 4.0)], [span], grace_s=0.5
            )
        )
        is found
    )


def test_finished_calls_pair_each_request_with_its_end() -> None:
    log = [
        [1.0, 'accepted', 'listing', 'a'],
        [2.0, 'accepted', 'coaching', 'b'],
        [3.0, 'cancelled', 'listing', 'a'],
        [4.0, 'accepted', 'listing', 'a'],
        [5.0, 'completed', 'listing', 'a'],
    ]
    spans = finished_calls([log], {'listing': 2, 'coaching': 0})
    assert spans == [FinishedCall(2, 1.0, 3.0), FinishedCall(2, 4.0, 5.0)]


@pytest.mark.parametrize(
    ('times', 'gap'), [([], 10.0), ([5.0], 5.0), ([2.0, 9.0], 7.0), ([1, 11], 9.0)]
)
def test_longest_gap(times: list[float], gap: float) -> None:
    assert longest_gap(times, 0.0, 10.0) == gap


@pytest.mark.parametrize(
    ('executions', 'found'),
    [
        ([], {}),
        ([KEYED], {}),
        ([KEYED, KEYED], {'booking-1': 2}),
        ([{'key': None}], {}),
    ],
)
def test_duplicate_executions(
    executions: list[dict[str, Any]], found: dict[str, int]
) -> None:
    assert duplicate_executions(executions) == found


@pytest.mark.parametrize(
    ('change', 'executions', 'found'),
    [
        ({}, [KEYED], ['booking-1']),
        ({}, [], []),
        ({'unanswered': True}, [KEYED], []),
        ({'outcome': 'unknown', 'last_code': 67}, [KEYED], []),
        ({'outcome': 'whole', 'last_code': 0}, [KEYED], []),
    ],
)
def test_wrongly_reported_not_run(
    change: dict[str, Any], executions: list[dict[str, Any]], found: list[str]
) -> None:
    observation = {
        'idempotency_key': 'booking-1',
        'last_code': 65,
        'outcome': 'failed',
        'unanswered': False,
        **change,
    }
    assert wrongly_reported_not_run([observation], executions) == found
