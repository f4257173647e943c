"""Tests of the client of the platform's API for duties."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.platform.dutyapi import DutyApi
from rosemaryseam.policy.dutylease import Permission
from rosemaryseam.router.dutyport import DutyResult
from rosemaryseam.standins.dutyapi import DutyApiServer, DutyLedger

if TYPE_CHECKING:
    from collections.abc import Iterator

CLOCK = SystemClock()


@pytest.fixture
def server() -> Iterator[DutyApiServer]:
    """An API that accepts three calls a second."""
    running = DutyApiServer(
        DutyLedger(CLOCK, 3, 3.0),
        'Rosemaryseam-Duty-Holder',
        'Rosemaryseam-Fence-Token',
    )
    yield running
    running.stop()


def permission(left_s: float = 2.0) -> Permission:
    """Return a permission that ends soon."""
    return Permission(7, CLOCK.monotonic() + left_s)


def test_calls_are_made_as_the_platform_expects(server: DutyApiServer) -> None:
    api = DutyApi(server.address, 'host-1', CLOCK)
    assert api.report_usage(5, {'north': 3}, permission()) is DutyResult.ACCEPTED
    result = api.order_upstreams('work', 'a', 4, True, permission())
    assert result is DutyResult.ACCEPTED
    api.order_upstreams('work', 'b', 2, False, permission())
    assert server.ledger.usage == {5: {'north': 3}}
    assert server.ledger.orders == {
        'work/a': {'service': 'work', 'zone': 'a', 'desired': 4, 'spot': True},
        'work/b': {'service': 'work', 'zone': 'b', 'desired': 2},
    }
    assert server.ledger.holders == ['host-1']
    assert api.report_usage(6, {}, permission()) is DutyResult.REFUSED  # the rate
    assert server.ledger.violations == []


RESULTS = [
    (503, DutyResult.REFUSED),
    (429, DutyResult.REFUSED),
    (409, DutyResult.NONE_AVAILABLE),
    (400, DutyResult.NONE_AVAILABLE),
    ('lose', DutyResult.UNKNOWN),
]


@pytest.mark.parametrize(('mode', 'expected'), RESULTS)
def test_results_of_calls(
    server: DutyApiServer, mode: int | str, expected: DutyResult
) -> None:
    """A call that may have been executed must not count as refused."""
    server.ledger.mode = mode
    api = DutyApi(server.address, 'host-1', CLOCK)
    began = CLOCK.monotonic()
    assert api.report_usage(5, {}, permission(0.4)) is expected
    assert CLOCK.monotonic() - began < 0.6
    assert (api.answered_at >= began) is (mode != 'lose')


def test_nothing_is_sent_without_time_left(server: DutyApiServer) -> None:
    """The next holder may act once the permission has ended."""
    api = DutyApi(server.address, 'host-1', CLOCK)
    assert api.report_usage(5, {}, permission(0.01)) is DutyResult.REFUSED
    assert server.ledger.usage == {}


def test_nothing_is_sent_after_a_pause_during_the_connect(
    server: DutyApiServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process may be paused between the check of the permission and the send."""
    ended = permission(0.3)

    def connect(address: tuple[str, int]) -> socket.socket:
        monkeypatch.undo()
        sock = socket.create_connection(address)
        monkeypatch.setattr(CLOCK, 'monotonic', lambda: ended.valid_until + 1.0)
        return sock

    monkeypatch.setattr(
        'rosemaryseam.platform.dutyapi.socket.create_connection', connect
    )
    api = DutyApi(server.address, 'host-1', CLOCK)
    assert api.report_usage(5, {}, ended) is DutyResult.REFUSED
    monkeypatch.undo()
    gevent.sleep(0.05)
    assert server.ledger.usage == {}


def test_a_refused_connection_means_not_sent() -> None:
    api = DutyApi(Address('127.0.0.1', 1), 'host-1', CLOCK)
    assert api.report_usage(5, {}, permission()) is DutyResult.REFUSED


ODD_STATUS_LINES = [
    b'',
    b'HTTP/1.1',
    b'HTTP/1.1 x',
    b'HTTP/1.1 -20 OK',
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 20',
    b'HTTP/1.1 +20 OK',
    b'HTTP/1.1 503x',
    b'HTTP/2.0 200 OK',
    b'RTSP/1.0 200 OK',
    b'no 200 OK',
    b'HTTP/1.1 200 O\x01K',
]


# Guards against calls that count as accepted, or as refused and free to be made again,
# by an answer that is none.
@pytest.mark.parametrize('answer', [line + b'\r\n' for line in ODD_STATUS_LINES])
def test_an_odd_status_line_is_no_known_outcome(answer: bytes) -> None:
    listener = StreamServer(('127.0.0.1', 0), lambda sock, _: sock.sendall(answer))
    listener.start()
    api = DutyApi(Address('127.0.0.1', listener.server_port), 'host-1', CLOCK)
    assert api.report_usage(5, {}, permission()) is DutyResult.UNKNOWN
    listener.stop(timeout=0)


INVALID_HEADS = [
    *(
        b'HTTP/1.1 %s OK\r\n\r\n' % status
        for status in (b'000', b'099', b'2000', b'600')
    ),
    b'HTTP/2.0 200 OK\r\n\r\n',
    b'RTSP/1.0 200 OK\r\n\r\n',
    b'\x16\x03 200 OK\r\n\r\n',
    b'HTTP/1.1 200\x01OK\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nX A: b\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nX\x01A: b\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na',
    b'HTTP/1.1 200 OK\r\nContent-Len',
]


# Guards against a call that counts as executed or refused by an answer that is none
# (issue 51).
@pytest.mark.parametrize('answer', INVALID_HEADS)
def test_an_invalid_answer_is_no_known_outcome(answer: bytes) -> None:
    def serve(sock: socket.socket, _: object) -> None:
        sock.recv(65_536)
        sock.sendall(answer)

    listener = StreamServer(('127.0.0.1', 0), serve)
    listener.start()
    api = DutyApi(Address('127.0.0.1', listener.server_port), 'host-1', CLOCK)
    try:
        assert api.report_usage(5, {}, permission()) is DutyResult.UNKNOWN
    finally:
        listener.stop(timeout=0)


ENDLESS = [
    (b'HTTP/1.1 200 OK\r\nX-A: ', b'a' * 8192),
    (b'HTTP/1.1 100 Continue\r\n\r\n', b'HTTP/1.1 100 Continue\r\n\r\n' * 400),
]


# Guards against a call without an end, or that takes turns and memory from others.
@pytest.mark.parametrize(('first', 'again'), ENDLESS)
def test_an_endless_answer_is_no_known_outcome(first: bytes, again: bytes) -> None:
    def serve(sock: socket.socket, _: object) -> None:
        with contextlib.suppress(OSError):
            sock.sendall(first)
            while True:
                sock.sendall(again)

    listener = StreamServer(('127.0.0.1', 0), serve)
    listener.start()
    api = DutyApi(Address('127.0.0.1', listener.server_port), 'host-1', CLOCK)
    began = CLOCK.monotonic()
    try:
        assert api.report_usage(5, {}, permission(0.5)) is DutyResult.UNKNOWN
    finally:
        listener.stop(timeout=0)
    assert CLOCK.monotonic() - began < 1.0


def test_the_connection_of_an_unanswered_call_is_reset() -> None:
    """Otherwise the kernel delivers its bytes after another host acts."""
    seen = []

    def read_to_end(sock: socket.socket, _: object) -> None:
        try:
            while sock.recv(4096):
                pass
            seen.append('end')
        except ConnectionResetError:
            seen.append('reset')

    listener = StreamServer(('127.0.0.1', 0), read_to_end)
    listener.start()
    api = DutyApi(Address('127.0.0.1', listener.server_port), 'host-1', CLOCK)
    assert api.report_usage(5, {}, permission(0.2)) is DutyResult.UNKNOWN
    gevent.sleep(0.05)
    listener.stop(timeout=0)
    assert seen == ['reset']
