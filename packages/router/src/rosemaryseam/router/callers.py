"""HTTP server for callers: its listener, its connections and their number."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket
from gevent.hub import get_hub
from gevent.pool import Pool
from gevent.server import StreamServer

from rosemaryseam.common.calleraccount import CallerAccount, NoRoomError
from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.errors import ResultCode
from rosemaryseam.router.admission import RefusalError
from rosemaryseam.router.callerconnection import CallerConnection
from rosemaryseam.router.earlylisten import listen_early
from rosemaryseam.router.reply import CallerGoneError
from rosemaryseam.router.requestreader import RETRY_AFTER_S

if TYPE_CHECKING:
    import socket as std_socket
    from collections.abc import Callable

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.router.requesthandler import RequestHandler
    from rosemaryseam.router.routes import CallerLimits

RELIEF_INTERVAL_S = 0.2  # between two looks for a connection that can yield


class CallerServer:
    """Accepts connections of callers and serves requests on them.

    :param address: address to listen on
    :param handler: answers the requests
    :param clock: clock of the process
    :param metrics: counters of the process
    :param limits: returns the current size and time limits for callers
    :param account: counts the memory that callers occupy
    :param max_descriptors: maximum number of connections of callers and, for complete
        requests, of connections to upstreams
    :param listener: socket that already listens on the address, or ``None``
    """

    def __init__(
        self,
        address: Address,
        handler: RequestHandler,
        clock: Clock,
        metrics: Metrics,
        limits: Callable[[], CallerLimits],
        account: CallerAccount,
        max_descriptors: int,
        listener: std_socket.socket | None = None,
    ) -> None:
        self.handler = handler
        self.clock = clock
        self.metrics = metrics
        self.limits = limits
        self.account = account
        self.draining = False
        self.running = 0  # complete requests
        self._address = address
        self._max_descriptors = max_descriptors
        self._connections: set[CallerConnection] = set()
        self._relief: gevent.Greenlet | None = None
        self._listener = listener
        max_connections = min(max_descriptors, account.max_connections)
        self._server = StreamServer(
            tuple(address), self._serve, spawn=Pool(max_connections)
        )
        metrics.gauge('caller_connections', lambda: self.open_connections)

    def listen(self) -> None:
        """Open the listening socket without accepting connections yet.

        :raises OSError: if the address cannot be bound
        """
        listener = self._listener or listen_early(*self._address)
        self._server.set_listener(socket.socket(fileno=listener.detach()))

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def begin_drain(self) -> None:
        """Add ``Connection: close`` to all answers from now on."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Close the listening socket and keep the open connections.

        Connections in the accept queue are accepted first, else they would be reset.
        """
        self._server.stop_accepting()
        while (accepted := self._server.do_read()) is not None:
            self._server.do_handle(*accepted)
        self._server.close()

    def kill(self) -> None:
        """Close the listening socket and all connections."""
        self._server.stop(timeout=0)
        for conn in list(self._connections):
            conn.close()

    def close_idle(self) -> None:
        """Close the connections without a request in flight or on its way in."""
        for conn in list(self._connections):
            if conn.is_idle and not conn.has_unserved_bytes():
                conn.close()

    def cut_off(self) -> None:
        """Refuse the requests in flight; break off the answers that have begun."""
        for conn in list(self._connections):
            get_hub().loop.run_callback(conn.cut_off)

    def admit(self, conn: CallerConnection) -> None:
        """Admit a complete request, which may open a connection to an upstream.

        :param conn: connection of the request, which does not yield any more
        :raises RefusalError: if no descriptor is left and no connection yields
        """
        while len(self._connections) + self.running > self._max_descriptors:
            if not self.account.free_connection(conn):
                self.account.turned_away.record('connections', conn.peer)
                raise RefusalError(
                    503,
                    ResultCode.NO_CAPACITY,
                    'all connections are in use',
                    RETRY_AFTER_S,
                    close=True,
                )
            gevent.sleep(0)  # an unfinished request that yielded gets its answer

    def forget(self, conn: CallerConnection) -> None:
        """Stop to count a connection that was closed to make room.

        :param conn: the connection, whose greenlet ends in its next turn
        """
        self._connections.discard(conn)

    @property
    def open_connections(self) -> int:
        """The number of open connections of callers."""
        return len(self._connections)

    @property
    def busy_connections(self) -> int:
        """The number of connections with a request in flight."""
        return sum(1 for conn in self._connections if not conn.is_idle)

    def _serve(self, sock: Any, peer: tuple[str, int]) -> None:
        conn = CallerConnection(sock, self, peer[0])
        try:
            self.account.add(conn, None if self.draining else gevent.sleep)
        except NoRoomError:
            conn.close()
            conn.release()
            return
        self._connections.add(conn)
        try:
            if self._is_full():
                self._relieve(conn)
            conn.run()
        except CallerGoneError as exc:
            self.metrics.count('callers_gone')
            log_event('answer_incomplete', reason=str(exc))
        finally:
            self._connections.discard(conn)
            conn.close()
            conn.release()

    def _is_full(self) -> bool:
        return len(self._connections) + self.running >= self._max_descriptors

    def _relieve(self, conn: CallerConnection) -> None:
        """Let a connection yield to a new one, now or as soon as one can."""
        self.account.free_connection(conn)
        if self._is_full() and (self._relief is None or self._relief.ready()):
            self._relief = gevent.spawn(self._free_connections)

    def _free_connections(self) -> None:
        while self._is_full():
            gevent.sleep(RELIEF_INTERVAL_S)
            self.account.free_connection()
