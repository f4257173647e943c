"""Tests of the checks of data that another writer wrote."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemaryseam.common.decoding import (
    MAX_DEPTH,
    decode_json,
    decoding,
    readable,
    require_count,
    require_flag,
    require_list,
    require_number,
    require_object,
    require_text,
)
from rosemaryseam.common.errors import UnreadableError
from rosemaryseam.common.workfailures import MAX_ERROR_CHARS

if TYPE_CHECKING:
    from collections.abc import Callable

ANY_VALUE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def nested(depth: int) -> str:
    """Return arrays in arrays beside other values."""
    return '[' * depth + '1, {"a": "]"}' + ', [2]]' * (depth - 1) + ']'


@pytest.mark.parametrize('depth', [1, MAX_DEPTH - 1])
def test_values_that_are_not_too_deep_are_read(depth: int) -> None:
    assert decode_json(nested(depth)) == json.loads(nested(depth))


# Guards against values that some callers read and others do not, as the parser's limit
# depends on the stack.
@pytest.mark.parametrize('depth', [MAX_DEPTH + 2, 900, 100_000])
@pytest.mark.parametrize('frames', [0, 500])
def test_values_that_are_too_deep_are_unreadable(depth: int, frames: int) -> None:
    def call(left: int) -> Any:
        return call(left - 1) if left else decode_json(nested(depth))

    with pytest.raises(UnreadableError):
        call(frames)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=60) | st.text(max_size=60))
def test_any_bytes_are_read_or_unreadable(data: bytes | str) -> None:
    try:
        decode_json(data)
    except UnreadableError as exc:
        assert len(exc.message) < MAX_ERROR_CHARS + 50


REQUIRED: list[tuple[Callable[[Any], Any], type | tuple[type, ...]]] = [
    (require_text, str),
    (require_count, int),
    (require_number, (int, float)),
    (require_flag, bool),
    (require_list, list),
    (require_object, dict),
]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(ANY_VALUE)
def test_any_value_is_of_its_type_or_unreadable(value: Any) -> None:
    for require, expected in REQUIRED:
        try:
            checked = require(value)
        except UnreadableError as exc:
            exc.message.encode()
            continue
        assert isinstance(checked, expected)
        if require is require_text:
            assert checked.encode() and not set(checked) & set('\r\n\x00\x7f')
        if require in (require_count, require_number):
            assert 0 <= float(checked) < float('inf')


class _UnshowableError(Exception):
    def __repr__(self) -> str:
        raise RecursionError


@pytest.mark.parametrize(
    'error', [RecursionError(), OverflowError(), MemoryError(), _UnshowableError()]
)
def test_each_error_of_a_decoder_is_one_error(error: Exception) -> None:
    def fail(_: object) -> None:
        raise error

    with pytest.raises(UnreadableError), decoding('value'):
        fail(None)
    reasons = []
    assert list(readable([1, 2], fail, reasons.append)) == []
    assert len(reasons) == 2
