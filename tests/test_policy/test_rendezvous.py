"""Work that many wait for is placed where there is capacity to spare."""

from __future__ import annotations

import pytest

from rosemaryseam.policy.rendezvous import rank_by_capacity, rank_by_hash

ALIKE = {'a': 1.0, 'b': 0.9, 'c': 0.6}
MIXED = {'a': 0.5, 'b': 2.15, 'c': 0.5, 'd': 2.15, 'e': 0.0}
KEYS = [f'slot-{number}' for number in range(20)]


@pytest.mark.parametrize('key', KEYS)
def test_places_that_are_about_alike_are_ranked_by_hash(key: str) -> None:
    assert rank_by_capacity(key, ALIKE) == rank_by_hash(key, ALIKE)


@pytest.mark.parametrize('key', KEYS)
def test_strong_places_come_first_and_weak_ones_follow(key: str) -> None:
    ranked = rank_by_capacity(key, MIXED)
    assert set(ranked[:2]) == {'b', 'd'}
    assert sorted(ranked) == sorted(MIXED)


def test_strong_places_share_the_work() -> None:
    firsts = [rank_by_capacity(key, MIXED)[0] for key in KEYS]
    assert {'b', 'd'} == set(firsts)


def test_nowhere() -> None:
    assert rank_by_capacity('slot-1', {}) == []
