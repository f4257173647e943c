"""Ranking by capacity: nodes with large capacity come first."""

from __future__ import annotations

import pytest

from rosemaryseam.policy.rendezvous import rank_by_capacity, rank_by_hash

SIMILAR = {'a': 1.0, 'b': 0.9, 'c': 0.6}
MIXED = {'a': 0.5, 'b': 2.15, 'c': 0.5, 'd': 2.15, 'e': 0.0}
KEYS = [f'slot-{number}' for number in range(20)]


@pytest.mark.parametrize('key', KEYS)
def test_similar_capacities_are_ranked_by_hash(key: str) -> None:
    assert rank_by_capacity(key, SIMILAR) == rank_by_hash(key, SIMILAR)


@pytest.mark.parametrize('key', KEYS)
def test_large_capacities_come_first(key: str) -> None:
    ranked = rank_by_capacity(key, MIXED)
    assert set(ranked[:2]) == {'b', 'd'}
    assert sorted(ranked) == sorted(MIXED)


def test_nodes_with_large_capacity_share_the_first_places() -> None:
    firsts = [rank_by_capacity(key, MIXED)[0] for key in KEYS]
    assert {'b', 'd'} == set(firsts)


def test_no_capacities() -> None:
    assert rank_by_capacity('slot-1', {}) == []
