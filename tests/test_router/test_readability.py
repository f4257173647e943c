"""Tests which sockets are seen to have something to read."""

from __future__ import annotations

import os
import resource
import socket
from typing import TYPE_CHECKING

import pytest

from rosemaryseam.common.clock import SystemClock
from rosemaryseam.router.headercodec import open_header_codec
from rosemaryseam.router.pool import ConnectionPool
from rosemaryseam.router.readability import readable_descriptors
from rosemaryseam.router.upstreamconnection import UpstreamConnection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

HIGH = 1500  # above what select() takes


@pytest.fixture
def high_descriptors() -> Iterator[None]:
    """Allow descriptors above 1023."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, HIGH + 10), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def high_pair() -> tuple[socket.socket, socket.socket]:
    """Return connected sockets, the first with a descriptor above 1023."""
    near, far = socket.socketpair()
    os.dup2(near.fileno(), HIGH)
    near.close()
    return socket.socket(fileno=HIGH), far


def nothing(_: socket.socket) -> None:
    """Do nothing."""


def send(far: socket.socket) -> None:
    """Send a byte."""
    far.sendall(b'x')


def close(far: socket.socket) -> None:
    """Close the far end."""
    far.close()


# Guards against connections that are not reused, and pauses of the process that count
# as silence, from the 1024th descriptor on.
@pytest.mark.parametrize(
    ('act', 'reusable', 'unread'),
    [(nothing, True, False), (send, False, True), (close, False, False)],
)
def test_a_descriptor_above_1023_is_looked_at(
    high_descriptors: None,
    act: Callable[[socket.socket], None],
    reusable: bool,
    unread: bool,
) -> None:
    near, far = high_pair()
    conn = UpstreamConnection(near, open_header_codec(), SystemClock())
    act(far)
    assert conn.is_reusable() is reusable
    assert conn.has_unread_bytes() is unread
    near.close()
    far.close()


class OpenPaths:
    """Paths that are not cut."""

    def may_reuse(self, _: object) -> bool:
        """Return that each path works."""
        return True


# Guards against idle connections that stay open after their upstream closed them.
@pytest.mark.parametrize(('act', 'kept'), [(nothing, 2), (send, 1), (close, 1)])
def test_the_sweep_closes_what_cannot_be_reused(
    act: Callable[[socket.socket], None], kept: int
) -> None:
    pairs = [socket.socketpair() for _ in range(2)]
    codec, clock = open_header_codec(), SystemClock()
    pool = ConnectionPool(codec, clock, OpenPaths())
    pool._idle['one', 1] = [UpstreamConnection(near, codec, clock) for near, _ in pairs]
    act(pairs[0][1])
    pool.close_expired()
    assert pool.size() == kept
    assert (pairs[0][0].fileno() < 0) is (kept == 1)
    for pair in pairs:
        for sock in pair:
            sock.close()


def test_many_descriptors_are_asked_for_at_once() -> None:
    pairs = [socket.socketpair() for _ in range(5)]
    pairs[1][1].sendall(b'x')
    pairs[3][1].close()
    pairs[4][0].close()
    found = readable_descriptors(near.fileno() for near, _ in pairs)
    assert found == {pairs[1][0].fileno(), pairs[3][0].fileno(), -1}
    for pair in pairs:
        for sock in pair:
            sock.close()
