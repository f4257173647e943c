"""Tests of the HTTP server of nodes and operators."""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING, Any

import gevent
import pytest
from gevent import socket

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.calleraccount import CallerAccount
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.requestholder import RequestHolder
from rosemaryseam.common.wsgi import HttpServer, ServerTimeouts

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

HEAD = b'POST /x HTTP/1.1\r\nHost: h\r\n'


class RunningServer:
    """A server whose application records the paths that it was asked for."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        account = CallerAccount(10_000_000, SystemClock(), Metrics())
        self.server = HttpServer(
            Address('127.0.0.1', 0), self._answer, ServerTimeouts(), account=account
        )
        self.server.start()

    def send(self, data: bytes) -> bytes:
        """Send bytes and their end; return what is answered."""
        received = b''
        with socket.create_connection(self.server.address) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while part := sock.recv(65_536):
                received += part
        return received

    def _answer(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        self.paths.append(environ['PATH_INFO'])
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']


@pytest.fixture
def running() -> Iterator[RunningServer]:
    one = RunningServer()
    yield one
    one.server.stop()


TRUNCATED = [
    HEAD,
    HEAD + b'Content-Length: 1',
    HEAD + b'Content-Length: 12\r\n',
]


@pytest.mark.parametrize('data', TRUNCATED, ids=['headers', 'a header', 'its end'])
def test_request_with_a_truncated_head_is_refused(
    data: bytes, running: RunningServer
) -> None:
    """Guards against a request that runs without the rest of its head."""
    assert running.send(data).startswith(b'HTTP/1.1 400')
    assert not running.paths


@pytest.mark.parametrize(
    'data',
    [b'', HEAD, HEAD + b'Content-Length: 9\r\n\r\nbody', b'hello\r\n\r\n'],
    ids=['silent', 'an unfinished head', 'an unfinished body', 'refused'],
)
def test_closed_connections_are_freed_without_garbage_collection(
    data: bytes, running: RunningServer
) -> None:
    """Guards against connections that the collector frees long after their end."""
    gc.collect()
    gc.disable()
    try:
        for _ in range(5):
            running.send(data)
        gevent.sleep(0.1)
        assert not any(isinstance(one, RequestHolder) for one in gc.get_objects())
    finally:
        gc.enable()
