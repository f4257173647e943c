"""An HTTP server that detects disconnected callers and drains gracefully."""

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
IDLE_CHECK_INTERVAL_S = 0.2
_EV_READ = 1  # libev's event bit for a readable descriptor


class CallerGoneError(Exception):
    """Raised when the caller closed its connection before the answer was complete."""


class ServerTimeouts:
    """Timeouts of a server's connections.

    :param idle_s: seconds for which a connection may stay open without a request
    :param head_s: seconds for the rest of a request's head to arrive
    :param send_s: seconds for which a caller may block the sending of an answer's part
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

    :param address: address to listen on
    :param application: the WSGI application
    :param timeouts: timeouts of the connections
    :param max_connections: limit on open connections; more wait in the listen backlog
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
        self._all_closed = Event()
        self._all_closed.set()

    def begin_drain(self) -> None:
        """Send ``Connection: close`` with all following answers."""
        self.draining = True

    def close_listener(self) -> None:
        """Close the listening socket and keep the open connections.

        Connections in the listen backlog are served instead of reset.
        """
        self.stop_accepting()
        while (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)
        self.close()

    def close_idle_connections(self, idle_s: float) -> None:
        """Close idle connections in the background.

        :param idle_s: seconds after which a connection without a request is closed
        """
        gevent.spawn(self._close_idle_periodically, idle_s)

    def _close_idle_periodically(self, idle_s: float) -> None:
        while self.connections:
            idle_before = time.monotonic() - idle_s
            for handler, since in list(self._idle.items()):
                if since < idle_before:
                    handler.shut_down()
            gevent.sleep(IDLE_CHECK_INTERVAL_S)

    def mark_idle(self, handler: _Handler) -> None:
        """Record that a connection waits for a request."""
        self._idle[handler] = time.monotonic()

    def mark_busy(self, handler: _Handler) -> None:
        """Record that a connection received a request or was closed."""
        self._idle.pop(handler, None)

    def wait_connections_closed(self, timeout_s: float | None = None) -> bool:
        """Wait until no connection is open.

        :param timeout_s: seconds to wait, ``None`` for no limit
        :returns: whether all connections have ended
        """
        return self._all_closed.wait(timeout_s)

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection."""
        self.connections += 1
        self._all_closed.clear()
        try:
            super().handle(sock, address)
        finally:
            self.connections -= 1
            if not self.connections:
                self._all_closed.set()


class _Handler(WSGIHandler):
    """Serves the requests of one connection."""

    def read_requestline(self) -> str:
        """Read a request line; a connection that stays idle is closed."""
        self.server.mark_idle(self)
        try:
            with gevent.Timeout(self.server.timeouts.idle_s, False):
                return super().read_requestline()
            return ''
        finally:
            self.server.mark_busy(self)

    def shut_down(self) -> None:
        """Shut down a connection that waits for a request."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def read_request(self, raw_requestline: str) -> bool:
        """Read the rest of the head within its timeout."""
        with gevent.Timeout(self.server.timeouts.head_s, ValueError('slow head')):
            return super().read_request(raw_requestline)

    def get_environ(self) -> dict[str, Any]:
        """Add the connection's socket to the environment."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def _sendall(self, data: bytes) -> None:
        """Send data, or raise :exc:`CallerGoneError` when the caller does not read."""
        with gevent.Timeout(self.server.timeouts.send_s, CallerGoneError()):
            super()._sendall(data)

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Any:
        """Add ``Connection: close`` to the answer while draining."""
        if self.server.draining:
            headers = [*headers, ('Connection', 'close')]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self) -> None:
        """Serve a request and count it meanwhile."""
        self.server.requests += 1
        try:
            super().handle_one_response()
        except CallerGoneError:
            self.close_connection = True
        finally:
            self.server.requests -= 1

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection without an error log when the caller disconnected."""
        if isinstance(v, CallerGoneError):
            self.close_connection = True
            return
        super().handle_error(t, v, tb)


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
