"""Tests that odd answers of the platform and of engines fail one call alone."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest
from oddvalues import BYTES, HUGE, OddValue
from rawanswers import RawServer

from rosemaryseam.common.errors import (
    CatalogueError,
    PeerError,
    PlatformError,
    UnknownOutcomeError,
    UnreadableError,
)
from rosemaryseam.common.keyvalue import open_key_value_store
from rosemaryseam.common.revisions import decode_revision
from rosemaryseam.node.codec import decode_frame
from rosemaryseam.node.gateway.events import AnswerAggregator
from rosemaryseam.node.hostlist import open_host_list
from rosemaryseam.node.loadreports import open_load_report_reader
from rosemaryseam.operator.explain import parse_line

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 0.5
ODD = [
    *BYTES,
    OddValue('entries without fields', b'[{}]'),
    OddValue('no base64', b'[{"Value": "***", "ModifyIndex": 1}]'),
    OddValue('a huge index', b'[{"Value": "", "ModifyIndex": %d}]' % HUGE),
]


@pytest.fixture
def server() -> Iterator[RawServer]:
    """Yield a server whose answer a test sets."""
    running = RawServer()
    yield running
    running.stop()


# Guards against greenlets that end with an answer that their callers do not expect.
@pytest.mark.parametrize('odd', ODD, ids=lambda odd: odd.name)
def test_an_odd_value_is_a_failure_of_the_call(
    odd: OddValue, server: RawServer
) -> None:
    server.body = odd.value
    with pytest.raises(PlatformError):
        open_key_value_store(server.address, TIMEOUT_S).get('key')


# Guards against a write that counts as not made, as its answer was cut short.
@pytest.mark.parametrize('body', [b'', b'tr', b'fals', b'{}'])
def test_an_odd_answer_to_a_write_is_no_known_outcome(
    body: bytes, server: RawServer
) -> None:
    server.body = body
    with pytest.raises(UnknownOutcomeError):
        open_key_value_store(server.address, TIMEOUT_S).put('key', b'value', 0)


@pytest.mark.parametrize('odd', BYTES, ids=lambda odd: odd.name)
def test_odd_lists_reports_and_frames_are_unreadable(
    odd: OddValue, server: RawServer
) -> None:
    server.body = odd.value
    names = {}
    with contextlib.suppress(PlatformError):
        names = open_host_list(server.address, TIMEOUT_S).read()
    assert names == {}
    with contextlib.suppress(PlatformError):
        open_load_report_reader(TIMEOUT_S).read(server.address)
    with pytest.raises(PeerError):
        decode_frame(odd.value)
    with pytest.raises(CatalogueError):
        decode_revision(odd.value)
    if odd.value != b'{}':  # a chunk that adds nothing
        with pytest.raises(UnreadableError):
            AnswerAggregator().add_event(b'data: ' + odd.value + b'\n\n')
    assert parse_line('x ' + odd.value.decode('latin-1')) is None


def test_one_odd_entry_of_the_host_list_hides_no_other(server: RawServer) -> None:
    server.body = (
        b'[{"ServiceID": 7}, null, {"ServiceID": "a", "CheckID": "c",'
        b' "Status": "critical"}, {"ServiceID": "b"}]'
    )
    states = open_host_list(server.address, TIMEOUT_S).read()
    assert set(states) == {'a'}


@pytest.mark.parametrize('figure', ['NaN', '+Inf', '-1', '1e400'])
def test_an_odd_figure_of_a_load_report_is_unreadable(
    figure: str, server: RawServer
) -> None:
    server.body = f'vllm:num_requests_running {figure}\n'.encode()
    with pytest.raises(PlatformError):
        open_load_report_reader(TIMEOUT_S).read(server.address)
