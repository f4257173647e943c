"""The checkers reject bad histories and accept good ones."""

from __future__ import annotations

from typing import Any

import pytest
from histories import (
    Shed,
    Span,
    Start,
    false_not_run,
    inversions,
    longest_gap,
    overlaps,
    repeated,
    spans_of,
)

KEYED = {'key': 'booking-1'}


@pytest.mark.parametrize(
    ('shed', 'start', 'found'),
    [
        (Shed(0, 1.0, 4.0), Start(2, 2.0), True),
        (Shed(0, 1.0, 4.0), Start(1, 3.0), True),
        (Shed(1, 1.0, 4.0), Start(1, 2.0), False),
        (Shed(2, 1.0, 4.0), Start(0, 2.0), False),
        (Shed(0, 1.0, 4.0), Start(2, 0.5), False),
        (Shed(0, 1.0, 4.0), Start(2, 4.5), False),
        (Shed(0, 1.0, 4.0), Start(2, 1.1), False),
    ],
)
def test_inversions(shed: Shed, start: Start, found: bool) -> None:
    assert bool(inversions([shed], [start], grace_s=0.3)) is found


@pytest.mark.parametrize(
    ('span', 'found'),
    [
        (Span(1, 1.0, 9.0), True),
        (Span(0, 1.0, 9.0), False),
        (Span(1, 3.9, 9.0), False),
        (Span(1, 1.0, 4.1), False),
    ],
)
def test_overlaps(span: Span, found: bool) -> None:
    assert bool(overlaps([Shed(0, 2.0, 4.0)], [span], grace_s=0.5)) is found


def test_spans_pair_a_request_with_its_end() -> None:
    log = [
        [1.0, 'accepted', 'listing', 'a'],
        [2.0, 'accepted', 'coaching', 'b'],
        [3.0, 'cancelled', 'listing', 'a'],
        [4.0, 'accepted', 'listing', 'a'],
        [5.0, 'completed', 'listing', 'a'],
    ]
    spans = spans_of([log], {'listing': 2, 'coaching': 0})
    assert spans == [Span(2, 1.0, 3.0), Span(2, 4.0, 5.0)]


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
def test_repeated(executions: list[dict[str, Any]], found: dict[str, int]) -> None:
    assert repeated(executions) == found


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
def test_false_not_run(
    change: dict[str, Any], executions: list[dict[str, Any]], found: list[str]
) -> None:
    observation = {
        'idempotency_key': 'booking-1',
        'last_code': 65,
        'outcome': 'failed',
        'unanswered': False,
        **change,
    }
    assert false_not_run([observation], executions) == found
