"""Tests that paused upstreams lose nothing and that the soak finds cut requests."""

from __future__ import annotations

import random
import time
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest
from checks import find_violations
from gevent import socket
from records import Attempt, Disturbance, History, SentRequest
from upstream import EVENTS, SoakUpstream

from rosemaryseam.platform.headers import HEADER_NAMES

if TYPE_CHECKING:
    from collections.abc import Iterator

PAUSE_S = 0.4


@pytest.fixture
def upstream() -> Iterator[SoakUpstream]:
    """A running upstream."""
    running = SoakUpstream('u1', 'work', ('127.0.0.1', 0), History(), random.Random(1))
    yield running
    running.stop()


def read_until(sock: socket.socket, end: bytes) -> bytes:
    """Return what arrives up to some bytes."""
    data = b''
    while not data.endswith(end):
        received = sock.recv(65_536)
        assert received
        data += received
    return data


@pytest.mark.parametrize('events_before', [0, 3])
def test_paused_stream_is_silent_and_goes_on(
    events_before: int, upstream: SoakUpstream
) -> None:
    if not events_before:
        upstream.pause(PAUSE_S)
    sock = socket.create_connection(upstream._server.address)
    head = f'GET /stream/x HTTP/1.1\r\nHost: x\r\n{HEADER_NAMES.request_id}: a\r\n'
    sock.sendall(f'{head}{HEADER_NAMES.upstream_id}: u1\r\n\r\n'.encode())
    started = b''
    while started.count(b'data: a') < events_before:
        started += sock.recv(65_536)
    if events_before:
        upstream.pause(PAUSE_S)
    paused_at = time.monotonic()
    first = sock.recv(65_536)
    assert time.monotonic() - paused_at > 0.9 * PAUSE_S
    answer = started + first + read_until(sock, b'0\r\n\r\n')
    assert answer.count(b'data: a') == EVENTS
    sock.close()


def test_second_pause_does_not_prolong_the_first(upstream: SoakUpstream) -> None:
    upstream.pause(PAUSE_S)
    upstream.pause(10 * PAUSE_S)
    assert upstream._paused_until - time.monotonic() <= PAUSE_S


CUTS = [
    ('nothing else happened', {}, {}, None, True),
    ('the router stopped gracefully', {}, {}, ('r0', 'term'), True),
    ('the store was away', {}, {}, ('all', 'store'), True),
    ('another router was killed', {}, {}, ('r1', 'kill'), True),
    ('the router was suspended', {}, {}, ('r0', 'freeze'), False),
    ('the router was killed', {}, {}, ('r0', 'kill'), False),
    ('the upstream crashed', {}, {}, ('u1', 'crash'), False),
    ('its connections were disturbed', {}, {}, ('u1', 'connections'), False),
    ('the answer was faulty', {}, {'faulty': True}, None, False),
    ('no upstream ran it', {}, {'executed': False}, None, False),
    ('the caller left', {'outcome': 'left'}, {}, None, False),
    ('the time was nearly over', {'ended_at': 12.9}, {}, None, False),
]


@pytest.mark.parametrize(
    ('name', 'request_changes', 'attempt_changes', 'disturbance', 'found'),
    CUTS,
    ids=[row[0] for row in CUTS],
)
def test_cut_request_is_found_unless_a_fault_explains_it(
    name: str,
    request_changes: dict[str, Any],
    attempt_changes: dict[str, Any],
    disturbance: tuple[str, str] | None,
    found: bool,
) -> None:
    request = SentRequest('a', 'stream', 'r0', 'key', 10.0, 11.5, 'cut', patience_s=4.0)
    attempt = Attempt('a', 'u1', 'work', 10.0, True, 'u1', 'north', 4000)
    request = replace(request, **request_changes)
    attempt = replace(attempt, **attempt_changes)
    history = History(requests=[request], attempts=[attempt])
    if disturbance:
        history.disturbances.append(Disturbance(*disturbance, 9.0, 12.0))
    cut = [line for line in find_violations(history, 20.0) if 'was cut' in line]
    assert bool(cut) is found
