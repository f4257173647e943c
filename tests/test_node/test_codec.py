"""Tests the encoding of frames and the rejection of malformed ones."""

from __future__ import annotations

import random
from typing import get_args

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rosemaryseam.common.errors import PeerError
from rosemaryseam.node import messages
from rosemaryseam.node.codec import Frame, decode_frame, encode_frame
from rosemaryseam.node.process import task_name_for

text = st.text(st.characters(exclude_categories=['Cs'], exclude_characters='\0'))
number = st.integers(0, 2**16 - 1)

st.register_type_strategy(str, text)
st.register_type_strategy(int, number)


@given(st.lists(st.from_type(messages.Message), max_size=4))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_decoded_frame_equals_the_encoded_one(sent: list[messages.Message]) -> None:
    frame = Frame('host-1', 7, tuple(sent))
    assert decode_frame(encode_frame(frame)) == frame


@pytest.mark.parametrize('message_type', get_args(messages.Message))
def test_every_message_type_has_a_task(message_type: type) -> None:
    message = message_type(*(None for _ in message_type._fields))
    assert task_name_for(message) in ('member', 'replica', 'dispatcher', 'grants')


def test_corrupted_frames_raise_only_peer_errors() -> None:
    """Truncated and corrupted data decodes to a frame or raises ``PeerError``."""
    rng = random.Random(5)
    held = tuple(messages.Held(f'k{n}', 'e', 'c', 'w', n) for n in range(20))
    epoch = messages.Epoch(1, 'host-1')
    holdings = messages.Holdings('models#0', epoch, 3, held, (), True)
    valid_data = encode_frame(Frame('host-1', 1, (holdings,)))
    rejected = 0
    for _ in range(3000):
        data = bytearray(valid_data)
        for _ in range(rng.randint(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        data = data[: rng.randint(0, len(data))]
        try:
            decode_frame(bytes(data))
        except PeerError:
            rejected += 1
    assert rejected > 100
