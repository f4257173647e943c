"""Bands of prompt lengths, and allowances for bands that are refused more often."""

from __future__ import annotations

import random

import pytest

from rosemaryseam.policy.sizes import (
    BAND_SHARES,
    MAX_ALLOWANCE,
    MIN_RELATIVE_PLACEMENT,
    RequestSize,
    RouteSizes,
)

ROUTE = 'digest'
LAST_BAND = len(BAND_SHARES)


def observed_sizes(sizes: RouteSizes, count: int = 1000) -> list[RequestSize]:
    """Return the sizes of prompts of 1,000 to 11,000 tokens, uniformly distributed."""
    rng = random.Random(3)
    lengths = [rng.randrange(1000, 11_000) for _ in range(count)]
    return [sizes.observe(ROUTE, length, float(length)) for length in lengths]


def test_bands_have_their_shares() -> None:
    seen = observed_sizes(RouteSizes())[200:]
    shares = [sum(size.band == band for size in seen) / len(seen) for band in (0, 1, 2)]
    assert shares == pytest.approx([0.1, 0.2, 0.7], abs=0.04)


def test_headroom_is_relative_to_the_largest() -> None:
    sizes = RouteSizes()
    observed_sizes(sizes)
    assert sizes.observe(ROUTE, 1000, 1000.0).headroom_tokens == pytest.approx(
        9000, abs=1500
    )
    assert sizes.observe(ROUTE, 10_900, 10_900.0).headroom_tokens == 0
    assert sizes.observe(ROUTE, 6000, 6000.0).relative_work == pytest.approx(
        1.0, abs=0.1
    )


ALLOWANCES = [
    ('all are placed', 1.0, 1.0, 1.0, 1.0),
    ('all are refused alike', 0.3, 0.3, 1.0, 3.0),
    ('the largest are refused more often', 0.9, 0.2, 2.0, MAX_ALLOWANCE),
    ('the largest are never placed', 0.9, 0.0, MAX_ALLOWANCE, MAX_ALLOWANCE),
]


@pytest.mark.parametrize(
    ('name', 'rest', 'largest', 'least', 'most'),
    ALLOWANCES,
    ids=[row[0] for row in ALLOWANCES],
)
def test_allowance_grows_for_bands_placed_too_rarely(
    name: str, rest: float, largest: float, least: float, most: float
) -> None:
    sizes = RouteSizes()
    rng = random.Random(5)
    seen = observed_sizes(sizes, 2000)
    for size in seen:
        share = largest if size.band == 0 else rest
        sizes.record_outcome(ROUTE, size, placed=rng.random() < share)
    assert least <= sizes.allowance(ROUTE, RequestSize(3.0, 0, 0)) <= most
    assert sizes.allowance(ROUTE, RequestSize(1.0, 5000, LAST_BAND)) == 1.0


def test_allowances_raise_the_placed_share_of_the_largest() -> None:
    sizes = RouteSizes()
    rng = random.Random(7)
    placed = [[0, 0] for _ in range(LAST_BAND + 1)]
    for size in observed_sizes(sizes, 3000):
        # Without an allowance, 1 in 10 of the largest is admitted, of the others 6.
        admission_rate = 0.1 if size.band == 0 else 0.6
        is_placed = rng.random() < admission_rate * sizes.allowance(ROUTE, size)
        sizes.record_outcome(ROUTE, size, placed=is_placed)
        placed[size.band][0] += is_placed
        placed[size.band][1] += 1
    largest, _, rest = (count / asked for count, asked in placed)
    assert largest > rest * (MIN_RELATIVE_PLACEMENT - 0.15)
