"""Tests that the soak's proxy loses bytes only as a network would."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer
from proxy import FaultyProxy

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

READ_TIMEOUT_S = 0.2


@pytest.fixture
def proxy() -> Iterator[FaultyProxy]:
    """A proxy in front of a server that echoes each byte."""

    def echo(sock: socket.socket, _: object) -> None:
        while data := sock.recv(1):
            sock.sendall(data)

    server = StreamServer(('127.0.0.1', 0), echo)
    server.start()
    running = FaultyProxy(('127.0.0.1', 0), ('127.0.0.1', server.server_port))
    yield running
    running.stop()
    server.stop(timeout=0)


def silence_open(proxy: FaultyProxy) -> None:
    """Silence the open connections."""
    proxy.silence_open()


LOSSES: list[tuple[str, Callable[[FaultyProxy], None]]] = [
    ('answers are dropped', lambda proxy: proxy.set_mode('mute')),
    ('requests are dropped', lambda proxy: proxy.set_mode('deaf')),
    ('both are dropped', lambda proxy: proxy.set_mode('silent')),
    ('open connections fall silent', silence_open),
]


@pytest.mark.parametrize(('name', 'lose'), LOSSES, ids=[row[0] for row in LOSSES])
def test_nothing_follows_lost_bytes_on_a_connection(
    name: str, lose: Callable[[FaultyProxy], None], proxy: FaultyProxy
) -> None:
    sock = socket.create_connection(proxy.address)
    sock.settimeout(READ_TIMEOUT_S)
    sock.sendall(b'1')
    assert sock.recv(1) == b'1'
    lose(proxy)
    sock.sendall(b'2')
    gevent.sleep(0.05)
    proxy.set_mode('open')
    sock.sendall(b'3')
    with pytest.raises(TimeoutError):
        sock.recv(1)
    sock.close()
