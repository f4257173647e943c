"""Estimates of cached prompt parts and the cost of prefilling them again."""

from __future__ import annotations

import pytest

from rosemaryseam.policy.prefixes import EngineCache, PartUses

PROMPT = ((1, 1000), (2, 2000), (3, 500))

CACHED = [
    ('nothing', [], PROMPT, 0),
    ('the same prompt', [PROMPT], PROMPT, 3500),
    ('the first part', [PROMPT], ((1, 1000), (9, 2000)), 1000),
    ('a later part without the first', [PROMPT], ((9, 10), (2, 2000)), 0),
    ('evicted by newer prompts', [PROMPT, ((4, 4000), (5, 4900))], PROMPT, 0),
    ('kept by a newer use', [PROMPT, ((4, 4000),), PROMPT, ((5, 1500),)], PROMPT, 3500),
]


@pytest.mark.parametrize(
    ('name', 'prompts', 'prompt', 'expected'), CACHED, ids=[row[0] for row in CACHED]
)
def test_cached_tokens(name: str, prompts: list, prompt: tuple, expected: int) -> None:
    cache = EngineCache(10_000)
    for parts in prompts:
        cache.touch(parts, 0, 0.0)
    assert cache.cached_tokens(prompt) == expected


def test_parts_that_are_still_prefilled_cannot_be_fetched() -> None:
    cache = EngineCache(10_000)
    cache.touch(PROMPT, 0, 5.0)
    assert cache.ready_tokens(PROMPT, 4.9) == 0
    assert cache.ready_tokens(PROMPT, 5.0) == 3500
    cache.touch(PROMPT, 0, 9.0)
    assert cache.ready_tokens(PROMPT, 5.0) == 3500


def test_memory_in_use_shrinks_the_cache() -> None:
    cache = EngineCache(10_000)
    cache.touch(PROMPT, 8000, 0.0)
    assert cache.cached_tokens(PROMPT) < 3500


def test_prefilling_again_costs_less_for_frequently_used_parts() -> None:
    uses = PartUses()
    for step in range(50):
        uses.touch(((1, 1000),), step * 0.1)
    uses.touch(((2, 1000),), 4.9)
    often = uses.reprefill_cost(((1, 1000),), 0, 5.0)
    once = uses.reprefill_cost(((2, 1000),), 0, 5.0)
    assert often < once / 5
    assert once == 1000


COSTS = [
    ('never used', ((9, 1000),), 0, 5.0, 0.0),
    ('used long ago', ((1, 1000),), 0, 50.0, 0.0),
    ('cached there', ((1, 1000),), 1000, 1.0, 0.0),
    ('used recently', ((1, 1000),), 0, 1.0, 1000.0),
]


@pytest.mark.parametrize(
    ('name', 'parts', 'cached', 'now', 'expected'), COSTS, ids=[row[0] for row in COSTS]
)
def test_reprefill_cost(
    name: str, parts: tuple, cached: int, now: float, expected: float
) -> None:
    uses = PartUses()
    uses.touch(((1, 1000),), 0.0)
    assert uses.reprefill_cost(parts, cached, now) == expected
