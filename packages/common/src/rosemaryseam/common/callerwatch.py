"""Tells a request that its caller has disconnected."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import gevent
from gevent.hub import get_hub

if TYPE_CHECKING:
    from collections.abc import Iterator

_EV_READ = 1  # libev's event bit for a readable descriptor


class CallerGoneError(Exception):
    """Raised when the caller closed its connection before the answer was complete."""


@contextlib.contextmanager
def watch_caller(sock: socket.socket | None) -> Iterator[None]:
    """Raise :exc:`CallerGoneError` in this greenlet when the caller disconnects.

    :param sock: socket of the caller; ``None`` watches nothing
    """
    if sock is None or sock.fileno() < 0:
        yield
        return
    greenlet = gevent.getcurrent()
    watcher = get_hub().loop.io(sock.fileno(), _EV_READ)

    def on_readable() -> None:
        watcher.stop()
        if _is_closed(sock):
            greenlet.throw(CallerGoneError())

    watcher.start(on_readable)
    try:
        yield
    finally:
        watcher.stop()
        watcher.close()


def _is_closed(sock: socket.socket) -> bool:
    try:
        raw = socket.socket(fileno=socket.dup(sock.fileno()))
    except OSError:
        return True
    with raw:
        try:
            return not raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
