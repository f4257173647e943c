"""Tests how much a router keeps of answers that come without end."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import gevent
import pytest
from gevent import socket
from gevent.subprocess import PIPE, Popen
from routers import KEY
from test_endless_answers import CHUNKED, ENDLESS, HEAD, repeat

from rosemaryseam.router.tunnels import PIPE_BYTES
from rosemaryseam.standins.scripted import ScriptedUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.standins.scripted import ScriptedExchange

HERE = os.path.dirname(__file__)
REQUESTS = 20  # at once, half of them for streams
SECONDS = 1.5  # in which answers arrive
CALL = (
    'POST /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%d\r\n'
    f'X-Patience-Ms: 3000\r\nX-Api-Key: {KEY}\r\nContent-Length: 0\r\n\r\n'
)
LARGE_CHUNK = b'2000\r\n' + b'a' * 0x2000 + b'\r\n'
ROWS = [
    # Small chunks cost the router more time than memory.
    (name, first, LARGE_CHUNK if first.endswith(CHUNKED) else again)
    for name, first, again in ENDLESS
    if name != 'an event'  # a body of large chunks is one
] + [('a body without a length', HEAD % b'own' + b'\r\n', b'a' * 8192)]
CASES = [(*row, True) for row in ROWS] + [
    (*row, False) for row in ROWS if row[0].startswith('a body')
]


def _call(address: tuple[str, int], number: int, reads: bool) -> None:
    sock = socket.create_connection(address)
    route = 'stream' if number % 2 else 'safe'
    sock.sendall((CALL % (route, number)).encode())
    with contextlib.suppress(OSError):
        while reads and sock.recv(65_536):
            pass
    gevent.sleep(SECONDS)


def _send_without_end(
    first: bytes, again: bytes, sent: list[int]
) -> Callable[[ScriptedExchange], None]:
    def send(exchange: ScriptedExchange) -> None:
        own = exchange.request.headers['x-request-id'].encode()
        exchange.keep_alive = False
        sent.append(0)
        for data in repeat(first.replace(b'own', own), again.replace(b'own', own)):
            exchange.send_raw(data)
            sent[-1] += len(data)

    return send


def _measure(upstream: ScriptedUpstream, path: str, reads: bool) -> tuple[Any, ...]:
    """Return the growth in bytes, the limit for callers and the tunnels opened."""
    entry = upstream.registry_entry('work', slots=2 * REQUESTS)
    entry = entry.decode() if isinstance(entry, bytes) else entry
    command = [sys.executable, f'{HERE}/measuredrouter.py', entry, path]
    env = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
    child = Popen(command, stdin=PIPE, stdout=PIPE, stderr=subprocess.DEVNULL, env=env)
    callers = []
    try:
        ip, port, limit = json.loads(child.stdout.readline())
        callers = [
            gevent.spawn(_call, (ip, port), number, reads) for number in range(REQUESTS)
        ]
        gevent.sleep(SECONDS)
        child.stdin.write(b'\n')
        child.stdin.flush()
        grown, tunnels = json.loads(child.stdout.readline())
    finally:
        gevent.killall(callers)
        child.kill()
        child.wait()
    return grown, limit, tunnels


# Guards against a host that runs out of memory as upstreams send bytes without end, or
# as callers do not read them.
@pytest.mark.parametrize('path', ['direct', 'tunnel'])
@pytest.mark.parametrize(
    ('name', 'first', 'again', 'reads'),
    CASES,
    ids=[f'{row[0]}, {"read" if row[3] else "unread"}' for row in CASES],
)
def test_endless_answers_stay_within_the_memory_for_callers(
    name: str, first: bytes, again: bytes, reads: bool, path: str
) -> None:
    sent: list[int] = []
    upstream = ScriptedUpstream(_send_without_end(first, again, sent))
    try:
        with gevent.Timeout(20.0):
            grown, limit, tunnels = _measure(upstream, path, reads)
    finally:
        upstream.stop()
    pipes = 2 * PIPE_BYTES * REQUESTS if path == 'tunnel' else 0
    assert bool(tunnels) == (path == 'tunnel')
    assert len(sent) >= REQUESTS / 2
    assert grown <= limit + pipes
