"""Tests of signals and callers that arrive while a router starts."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import gevent
import pytest
from environment import FRONT_PORT, RouterProcess
from gevent import socket
from storeserver import StoreServer

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

INTERPRETER_START_S = 0.15  # time to the program's first line on a busy machine
START_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.01


@pytest.fixture
def router(tmp_path: pathlib.Path) -> Iterator[RouterProcess]:
    """A router process that is not started yet."""
    store = StoreServer()
    process = RouterProcess('r0', '127.77.0.1', tuple(store.address), tmp_path)
    yield process
    process.stop()
    store.stop()


@pytest.mark.parametrize('number', [signal.SIGHUP, signal.SIGUSR1])
def test_signal_does_not_end_a_starting_router(
    number: int, router: RouterProcess, tmp_path: pathlib.Path
) -> None:
    router.start()
    gevent.sleep(INTERPRETER_START_S)
    log = tmp_path / 'r0.log'
    with gevent.Timeout(START_TIMEOUT_S):
        while '"started"' not in log.read_text():
            router.signal(number)
            gevent.sleep(POLL_INTERVAL_S)
            assert router.is_running()
    gevent.sleep(0.2)
    assert router.is_running()


def test_callers_connecting_during_startup_are_answered(
    router: RouterProcess, tmp_path: pathlib.Path
) -> None:
    log = tmp_path / 'r0.log'
    router.start()
    connected_before_start = False
    with gevent.Timeout(START_TIMEOUT_S):
        while True:
            try:
                sock = socket.create_connection((router.ip, FRONT_PORT), timeout=0.2)
                break
            except OSError:
                gevent.sleep(POLL_INTERVAL_S)
        connected_before_start = '"started"' not in log.read_text()
        sock.settimeout(START_TIMEOUT_S)
        sock.sendall(b'GET /x HTTP/1.1\r\nHost: soak.example\r\n\r\n')
        answer = sock.recv(1000)
    assert connected_before_start
    assert answer.startswith(b'HTTP/1.1 4') or b'503' in answer[:20]
