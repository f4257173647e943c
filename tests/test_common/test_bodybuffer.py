"""Tests of the buffers for bodies."""

from __future__ import annotations

import random

import pytest

from rosemaryseam.common.bodybuffer import GROWTH_BYTES, MAPPED_BYTES, BodyBuffer

SIZES = [0, 1, GROWTH_BYTES, MAPPED_BYTES, MAPPED_BYTES + 1, 4_194_304]


@pytest.mark.parametrize('stated', [True, False], ids=['length', 'chunks'])
@pytest.mark.parametrize('size', SIZES)
def test_buffer_holds_what_was_added(size: int, stated: bool) -> None:
    rng = random.Random(size)
    data = rng.randbytes(size)
    buffer = BodyBuffer(size if stated else 0)
    at = 0
    while at < size:
        part = data[at : at + rng.randint(1, 100_000)]
        expected = buffer.capacity_for(len(part))
        buffer.append(part)
        assert buffer.capacity == expected
        at += len(part)
    assert buffer.size == size
    assert bytes(buffer.view()) == data
    assert buffer.capacity <= (size if stated else max(GROWTH_BYTES, 2 * size))


def test_released_buffer_is_kept_by_its_views() -> None:
    buffer = BodyBuffer(1_000_000)
    buffer.append(b'x' * 1_000_000)
    view = buffer.view()
    buffer.release()
    assert buffer.capacity == buffer.size == 0
    assert bytes(view) == b'x' * 1_000_000
