"""Pool of idle connections to upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from rosemaryseam.router.faults import NotSentError
from rosemaryseam.router.readability import readable_descriptors
from rosemaryseam.router.upstreamconnection import UpstreamConnection

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.codec import HttpCodec
    from rosemaryseam.router.paths import UpstreamPaths
    from rosemaryseam.router.upstreams import Upstream

MAX_RECENT_IDLE_S = 2.0  # a connection idle for longer may have been dropped
MAX_IDLE_S = 30.0  # limit for upstreams that state no keep-alive timeout

Incarnation = tuple[str, int]


class ConnectionPool:
    """Keeps idle connections by upstream incarnation and reuses the latest used first.

    :param codec: codec of request and answer heads
    :param clock: clock of the process
    :param paths: opens connections on the path that works
    """

    def __init__(self, codec: HttpCodec, clock: Clock, paths: UpstreamPaths) -> None:
        self._codec = codec
        self._clock = clock
        self._paths = paths
        self._idle: dict[Incarnation, list[UpstreamConnection]] = {}

    def acquire(self, upstream: Upstream, *, recently_used: bool) -> UpstreamConnection:
        """Return an idle connection or open a new one.

        :param upstream: upstream to connect to
        :param recently_used: whether an idle connection must have been used recently
        :raises NotSentError: no connection could be made
        """
        idle = self._take_idle(upstream, recently_used=recently_used)
        if idle is not None:
            return idle
        return self._open(upstream)

    def refuses_connections(self, upstream: Upstream, settling_s: float = 0.0) -> bool:
        """Return whether an upstream refuses connections, as after a crash.

        A connection that could be made, even through another host, is kept for the
        next request.

        :param upstream: upstream to connect to
        :param settling_s: time in seconds for which a new connection has to last, as a
            process that ends may still have accepted it
        """
        try:
            conn = self._open(upstream)
        except NotSentError as exc:
            return isinstance(exc.__cause__, ConnectionRefusedError)
        if settling_s:
            gevent.sleep(settling_s)
            if not conn.is_reusable():
                conn.close()
                return self.refuses_connections(upstream)
        self._idle.setdefault(upstream.incarnation, []).append(conn)
        return False

    def has_open(self, upstream: Upstream) -> bool:
        """Return whether an idle connection to an upstream is open at its far end.

        :param upstream: upstream that may have ended
        """
        idle = self._idle.get(upstream.incarnation, [])
        descriptors = {conn.fileno() for conn in idle}
        return bool(descriptors - readable_descriptors(descriptors))

    def is_cut_off(self, upstream: Upstream) -> bool:
        """Return whether this host reaches an upstream only through other hosts.

        :param upstream: upstream that other hosts may reach
        """
        return self._paths.is_relayed(upstream)

    def release(self, upstream: Upstream, conn: UpstreamConnection) -> None:
        """Keep a connection whose answer was read completely, or close it.

        :param upstream: upstream of the connection
        :param conn: connection on which the answer was read
        """
        if conn.prepare_reuse():
            self._idle.setdefault(upstream.incarnation, []).append(conn)
        else:
            conn.close()

    def retain(self, incarnations: Iterable[Incarnation]) -> None:
        """Close the connections to all other incarnations.

        :param incarnations: incarnations still in use
        """
        kept = set(incarnations)
        for incarnation in [key for key in self._idle if key not in kept]:
            for conn in self._idle.pop(incarnation):
                conn.close()

    def close_expired(self) -> None:
        """Close idle connections that the upstream may have closed by now."""
        idle = [conn for conns in self._idle.values() for conn in conns]
        readable = readable_descriptors(conn.fileno() for conn in idle)
        for incarnation, conns in list(self._idle.items()):
            usable = [
                conn
                for conn in conns
                if conn.fileno() not in readable and self._may_use(conn)
            ]
            for conn in conns:
                if conn not in usable:
                    conn.close()
            if usable:
                self._idle[incarnation] = usable
            else:
                del self._idle[incarnation]

    def discard(self, upstream: Upstream) -> None:
        """Close all idle connections to an upstream that stopped responding.

        :param upstream: upstream of the connections
        """
        for conn in self._idle.pop(upstream.incarnation, []):
            conn.close()

    def size(self) -> int:
        """Return the number of idle connections."""
        return sum(len(conns) for conns in self._idle.values())

    def _open(self, upstream: Upstream) -> UpstreamConnection:
        sock, path = self._paths.open(upstream)
        return UpstreamConnection(sock, self._codec, self._clock, path)

    def _take_idle(
        self, upstream: Upstream, *, recently_used: bool
    ) -> UpstreamConnection | None:
        conns = self._idle.get(upstream.incarnation, [])
        while conns:
            if recently_used and (
                conns[-1].idle_s() > MAX_RECENT_IDLE_S
                or self._paths.must_verify(conns[-1].path)
            ):
                return None
            conn = conns.pop()
            if self._is_usable(conn):
                return conn
            conn.close()
        return None

    def _is_usable(self, conn: UpstreamConnection) -> bool:
        return self._may_use(conn) and conn.is_reusable()

    def _may_use(self, conn: UpstreamConnection) -> bool:
        """Return whether all but the state of its socket speaks for a connection."""
        if conn.is_expired() or conn.idle_s() > MAX_IDLE_S or conn.has_trailing_data():
            return False
        return self._paths.may_reuse(conn.path)
