"""An HTTP server that notices callers who go away and drains gracefully."""

from __future__ import annotations

import contextlib
import socket
import time
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from gevent.hub import get_hub
from gevent.pywsgi import WSGIHandler, WSGIServer

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemaryseam.common.addresses import Address

SOCKET_KEY = 'rosemaryseam.socket'
DEFAULT_IDLE_S = 75.0
DEFAULT_HEAD_S = 10.0
DEFAULT_SEND_S = 10.0
IDLE_CHECK_S = 0.2
_READ = 1  # libev's event bit for readable


class CallerGoneError(Exception):
    """The caller closed its connection before the answer was complete."""


class ServerTimeouts:
    """Deadlines of a server's connections.

    :param idle_s: how long a connection may stay open without a request
    :param head_s: how long the rest of a request's head may take
    :param send_s: how long the caller may keep a part of the answer from leaving
    """

    def __init__(
        self,
        idle_s: float = DEFAULT_IDLE_S,
        head_s: float = DEFAULT_HEAD_S,
        send_s: float = DEFAULT_SEND_S,
    ) -> None:
        self.idle_s = idle_s
        self.head_s = head_s
        self.send_s = send_s


class HttpServer(WSGIServer):
    """A WSGI server that counts connections and requests.

    :param address: where to listen
    :param application: the WSGI application
    :param timeouts: deadlines of its connections
    :param max_connections: accepted at a time; more wait in the kernel
    """

    def __init__(
        self,
        address: Address,
        application: Any,
        timeouts: ServerTimeouts,
        max_connections: int | None = None,
    ) -> None:
        super().__init__(
            tuple(address),
            application,
            log=None,
            error_log=None,
            handler_class=_Handler,
            spawn=max_connections or 'default',
        )
        self.timeouts = timeouts
        self._idle: dict[_Handler, float] = {}
        self.draining = False
        self.connections = 0
        self.requests = 0
        self._quiet = Event()
        self._quiet.set()

    def begin_drain(self) -> None:
        """Answer with ``Connection: close`` from now on."""
        self.draining = True

    def close_listener(self) -> None:
        """Close the listening socket and keep the open connections.

        Connections that wait to be accepted are served, not reset.
        """
        self.stop_accepting()
        while (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)
        self.close()

    def close_idle_connections(self, idle_s: float) -> None:
        """End connections that stay without a request, in the background.

        :param idle_s: how long each may stay so
        """
        gevent.spawn(self._end_idle, idle_s)

    def _end_idle(self, idle_s: float) -> None:
        while self.connections:
            horizon = time.monotonic() - idle_s
            for handler, since in list(self._idle.items()):
                if since < horizon:
                    handler.end()
            gevent.sleep(IDLE_CHECK_S)

    def mark_idle(self, handler: _Handler) -> None:
        """Note that a connection waits for a request."""
        self._idle[handler] = time.monotonic()

    def mark_busy(self, handler: _Handler) -> None:
        """Note that a request came in on a connection, or that it ended."""
        self._idle.pop(handler, None)

    def wait_connections_closed(self, timeout_s: float | None = None) -> bool:
        """Wait until no connection is open.

        :param timeout_s: how long to wait, ``None`` for ever
        :returns: whether all connections have ended
        """
        return self._quiet.wait(timeout_s)

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        self.connections += 1
        self._quiet.clear()
        try:
            super().handle(sock, address)
        finally:
            self.connections -= 1
            if not self.connections:
                self._quiet.set()


class _Handler(WSGIHandler):
    """Serves the requests of one connection."""

    def read_requestline(self) -> str:
        """Read a request line, or end the connection that stays idle."""
        self.server.mark_idle(self)
        try:
            with gevent.Timeout(self.server.timeouts.idle_s, False):
                return super().read_requestline()
            return ''
        finally:
            self.server.mark_busy(self)

    def end(self) -> None:
        """End a connection that waits for a request."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def read_request(self, raw_requestline: str) -> bool:
        """Read the rest of the head under its deadline."""
        with gevent.Timeout(self.server.timeouts.head_s, ValueError('slow head')):
            return super().read_request(raw_requestline)

    def get_environ(self) -> dict[str, Any]:
        """Add the connection's socket to the environment."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def _sendall(self, data: bytes) -> None:
        """Send, or give up on a caller that does not read."""
        with gevent.Timeout(self.server.timeouts.send_s, CallerGoneError()):
            super()._sendall(data)

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Any:
        """Announce the end of the connection while draining."""
        if self.server.draining:
            headers = [*headers, ('Connection', 'close')]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self) -> None:
        """Count the request while it is served."""
        self.server.requests += 1
        try:
            super().handle_one_response()
        except CallerGoneError:
            self.close_connection = True
        finally:
            self.server.requests -= 1

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close quietly when the caller went away."""
        if isinstance(v, CallerGoneError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


@contextlib.contextmanager
def watch_caller(sock: socket.socket | None) -> Iterator[None]:
    """Raise :exc:`CallerGoneError` in this greenlet when the caller hangs up.

    :param sock: the caller's connection; nothing is watched without one
    """
    if sock is None or sock.fileno() < 0:
        yield
        return
    greenlet = gevent.getcurrent()
    watcher = get_hub().loop.io(sock.fileno(), _READ)

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
