"""Tests how the size of prefill chunks is learned from the pauses of streams.

The load is streams beside long prompts. With chunks taken for larger than they are,
long prompts are kept away from streams whose pauses they would not lengthen too much.
"""

from __future__ import annotations

import random

import pytest

from rosemaryseam.policy.prefillchunks import MIN_MEASUREMENTS, PrefillChunks

STEP_S = 0.006
RATE = 32_000.0
TOKENS_PER_EVENT = 4


def measure(chunks: PrefillChunks, size: int, count: int, busy: float = 0.6) -> None:
    """Record pauses that contain full or partly filled chunks of a size."""
    rng = random.Random(1)
    for _ in range(count):
        filled = sum(rng.choice((size, size, size // 2, 0)) for _ in range(4)) / 4
        pause_s = TOKENS_PER_EVENT * (STEP_S + filled / RATE)
        pause_s *= 1.5 if rng.random() < 0.05 else 1.0  # a neighbour's noise
        chunks.record_pause(pause_s, TOKENS_PER_EVENT, STEP_S, RATE, busy)


@pytest.mark.parametrize('size', [512, 1024, 2048, 4096])
def test_chunk_size_is_learned(size: int) -> None:
    """Guards against refusing long prompts for pauses that streams would not have."""
    chunks = PrefillChunks(4096)
    measure(chunks, size, 1000)
    assert 0.8 * size <= chunks.tokens <= 1.8 * size


def test_larger_chunks_are_noticed() -> None:
    """Guards against long pauses after the engines' software changed."""
    chunks = PrefillChunks(4096)
    measure(chunks, 1024, 1000)
    measure(chunks, 4096, 300)
    assert chunks.tokens >= 3500


@pytest.mark.parametrize(
    ('count', 'busy'),
    [
        pytest.param(MIN_MEASUREMENTS - 1, 0.6, id='too few measurements'),
        pytest.param(1000, 0.1, id='engines without prefill'),
    ],
)
def test_default_holds_without_evidence(count: int, busy: float) -> None:
    """Guards against taking short pauses of idle engines for small chunks."""
    chunks = PrefillChunks(4096)
    measure(chunks, 1024, count, busy)
    assert chunks.tokens == 4096
