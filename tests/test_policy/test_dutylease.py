"""Tests of the decisions about duties."""

from __future__ import annotations

import math

import pytest

from rosemaryseam.policy.dutylease import (
    ClaimTiming,
    HandoverTiming,
    fence_token,
    permission_end,
    renewal_due_at,
)

LEASE_S = 3.0

CLAIMS = [
    # notes of (time, kind, value); place; earliest claim
    ([], 0, math.inf),
    ([(1, 'key', True)], 0, math.inf),
    ([(1, 'key', False)], 0, 3.0),
    ([(1, 'key', False)], 2, 4.0),
    ([(5, 'key', False)], 2, 6.0),
    ([(5, 'key', False), (8, 'key', False)], 0, 5.0),
    ([(5, 'key', False), (8, 'key', True)], 0, math.inf),
    ([(5, 'key', False), (6, 'lost', 4.5)], 0, 7.5),
    ([(0, 'era', 0), (9, 'key', False), (9, 'era', 1)], 1, 12.5),
    ([(0, 'era', 1), (9, 'key', False), (9, 'era', 1)], 1, 9.5),
]


@pytest.mark.parametrize(('notes', 'place', 'expected'), CLAIMS)
def test_claims_wait_for_earlier_holders(
    notes: list, place: int, expected: float
) -> None:
    """An early claim gives the order A, B, A, or two holders in two eras."""
    timing = ClaimTiming(LEASE_S, 0.0)
    for at, kind, value in notes:
        if kind == 'key':
            timing.note_key(at, present=value)
        elif kind == 'lost':
            timing.note_lost(value)
        else:
            timing.note_era(at, value)
    assert timing.claim_at(place) == expected


def test_fences_increase_with_revision_and_era() -> None:
    """A restored store gives out earlier revisions again."""
    fences = [fence_token(*pair) for pair in [(0, 1), (0, 2**39), (1, 1), (1, 2)]]
    assert fences == sorted(set(fences))


def test_a_permission_ends_before_the_lease_and_after_its_renewal() -> None:
    """A key that vanishes while its holder acts lets another one act too."""
    assert renewal_due_at(5.0, LEASE_S) < permission_end(5.0, LEASE_S) - 1.0
    assert permission_end(5.0, LEASE_S) < 5.0 + LEASE_S - 0.3


HANDOVERS = [
    # changes of the holder, last hand-over, unanswered since, now, due
    ([0], None, None, 50.0, False),
    ([0], None, 48.0, 50.0, False),
    ([0], None, 46.9, 50.0, True),
    ([0], 25.0, 46.9, 50.0, False),
    ([0], 15.0, 46.9, 50.0, True),
    ([30, 40], None, 46.0, 50.0, False),
    ([30, 40], None, 43.9, 50.0, True),
    ([28, 30, 35, 40], None, 40.0, 50.0, False),
]


@pytest.mark.parametrize(
    ('changes', 'handed_over_at', 'unanswered_since', 'now', 'due'), HANDOVERS
)
def test_an_unreachable_api_moves_the_duty_rarely(
    changes: list[float],
    handed_over_at: float | None,
    unanswered_since: float | None,
    now: float,
    due: bool,
) -> None:
    """If no host reaches the API, each hand-over costs calls and time."""
    timing = HandoverTiming()
    for at in changes:
        timing.note_change(at)
    if handed_over_at is not None:
        timing.note_handover(handed_over_at)
    assert timing.is_due(now, unanswered_since) is due
