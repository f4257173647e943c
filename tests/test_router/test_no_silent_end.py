"""Tests whether each complete request ends with an answer or a refusal."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent import socket
from routers import (
    KEY,
    RunningFleet,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemaryseam.standins.scripted import ScriptedExchange

REQUEST = (
    f'POST /safe/thing HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: {KEY}\r\n'
    'Content-Length: 4\r\n\r\nbody'
).encode()
HALF = len(REQUEST) // 2
END_S = 3.0  # in which an answer must have ended


def answer(exchange: ScriptedExchange) -> None:
    """Answer at once."""
    exchange.answer(200, b'done')


def read_status(sock: socket.socket) -> bytes:
    """Return the status of the next answer, empty if the connection ended."""
    data = b''
    with gevent.Timeout(END_S, False):
        try:
            while b'done' not in data and (part := sock.recv(65_536)):
                data += part
        except OSError:
            pass
    return data[9:12]


# Time limits that end at the same place.


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Yield three hosts without upstreams."""
    hosts = RunningFleet(3)
    yield hosts
    hosts.stop()


# Guards against waits that take the request's own time limit for theirs.
@pytest.mark.parametrize('patience_ms', [10, 35])
def test_a_request_that_expires_while_a_dispatcher_is_silent_is_refused(
    fleet: RunningFleet, monkeypatch: pytest.MonkeyPatch, patience_ms: int
) -> None:
    def work_on(exchange: ScriptedExchange) -> None:
        gevent.sleep(1.0)
        answer(exchange)

    fleet.add('one', work_on)
    dispatcher = fleet.dispatcher()
    host = next(host for host in fleet.hosts if host is not dispatcher)
    monkeypatch.setattr(host.router.peers, '_transmit', lambda *_: None)
    began = time.monotonic()
    response = host.call('unsafe', patience_ms=patience_ms)
    assert (response.status, response.complete) == (503, True)
    assert time.monotonic() - began < 0.5
