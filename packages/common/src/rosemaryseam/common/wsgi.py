"""An HTTP server that detects disconnected callers and drains gracefully."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from rosemaryseam.common.requestholder import RequestHolder

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.calleraccount import CallerAccount

DEFAULT_IDLE_S = 75.0
DEFAULT_HEAD_S = 10.0
DEFAULT_SEND_S = 10.0
DEFAULT_HEAD_BYTES = 32_768
IDLE_CHECK_INTERVAL_S = 0.2
RELIEF_INTERVAL_S = 0.2  # between two looks for a connection that can yield
RECEIVE_BUFFER_BYTES = 16_384  # of each connection; the kernel takes twice as much


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
        until others end or yield
    :param account: counts the memory that callers occupy, ``None`` not to count it
    :param head_bytes: limit on the size of a head
    """

    backlog = 1024  # length of the accept queue, in connections

    def __init__(
        self,
        address: Address,
        application: Any,
        timeouts: ServerTimeouts,
        max_connections: int | None = None,
        account: CallerAccount | None = None,
        head_bytes: int = DEFAULT_HEAD_BYTES,
    ) -> None:
        if account is not None:
            max_connections = min(
                max_connections or account.max_connections, account.max_connections
            )
        super().__init__(
            tuple(address),
            application,
            log=None,
            error_log=None,
            handler_class=RequestHolder,
            spawn=max_connections or 'default',
        )
        self.timeouts = timeouts
        self.account = account
        self.head_bytes = head_bytes
        self._max_connections = max_connections
        self._relief: gevent.Greenlet | None = None
        self._idle: dict[RequestHolder, float] = {}
        self.draining = False
        self.connections = 0
        self.requests = 0
        self._all_closed = Event()
        self._all_closed.set()

    def init_socket(self) -> None:
        """Open the listening socket."""
        super().init_socket()
        if self.account is not None:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )

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

    def mark_idle(self, handler: RequestHolder) -> None:
        """Record that a connection waits for a request."""
        self._idle[handler] = time.monotonic()

    def mark_busy(self, handler: RequestHolder) -> None:
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
        if self._is_full() and self.account is not None:
            self._relieve()
        try:
            super().handle(sock, address)
        finally:
            self.connections -= 1
            if not self.connections:
                self._all_closed.set()

    def _is_full(self) -> bool:
        limit = self._max_connections
        return limit is not None and self.connections >= limit

    def _relieve(self) -> None:
        """Let a connection yield, now or as soon as one can."""
        if self.account.free_connection():
            return
        if self._relief is None or self._relief.ready():
            self._relief = gevent.spawn(self._free_connections)

    def _free_connections(self) -> None:
        while self._is_full():
            self.account.free_connection()
            gevent.sleep(RELIEF_INTERVAL_S)
