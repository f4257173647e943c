"""Connections to upstreams that wait for their next request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.router.upstreamconnection import connect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.router.codec import HttpCodec
    from rosemaryseam.router.upstreamconnection import UpstreamConnection
    from rosemaryseam.router.upstreams import Upstream

CONNECT_S = 0.3  # links of a region take milliseconds; a lost packet costs a retry
PROVEN_IDLE_S = 2.0  # a connection idle for longer may have been dropped unseen
MAX_IDLE_S = 30.0  # bound on what is kept for an upstream that states no timeout

Incarnation = tuple[str, int]


class ConnectionPool:
    """Idle connections by upstream incarnation, the last used first.

    :param codec: reads heads
    :param clock: the process's clock
    :param metrics: the process's counters
    """

    def __init__(self, codec: HttpCodec, clock: Clock, metrics: Metrics) -> None:
        self._codec = codec
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[Incarnation, list[UpstreamConnection]] = {}

    def acquire(self, upstream: Upstream, *, recently_used: bool) -> UpstreamConnection:
        """Return a connection, kept or new.

        :param upstream: where to
        :param recently_used: whether only a connection that was used lately will do
        :raises NotSentError: no connection was made
        """
        kept = self._take(upstream, recently_used=recently_used)
        if kept is not None:
            return kept
        self._metrics.count('upstream_connects')
        return connect(upstream.address, self._codec, self._clock, CONNECT_S)

    def release(self, upstream: Upstream, conn: UpstreamConnection) -> None:
        """Keep a connection whose answer was read whole, or close it.

        :param upstream: where it leads
        :param conn: the connection
        """
        if conn.prepare_reuse():
            self._idle.setdefault(upstream.incarnation, []).append(conn)
        else:
            conn.close()

    def retain(self, incarnations: Iterable[Incarnation]) -> None:
        """Close the connections to all other incarnations.

        :param incarnations: those still in use
        """
        kept = set(incarnations)
        for incarnation in [key for key in self._idle if key not in kept]:
            for conn in self._idle.pop(incarnation):
                conn.close()

    def close_expired(self) -> None:
        """Close connections that the upstream may close by now."""
        for incarnation, conns in list(self._idle.items()):
            usable = [conn for conn in conns if self._is_usable(conn)]
            for conn in conns:
                if conn not in usable:
                    conn.close()
            if usable:
                self._idle[incarnation] = usable
            else:
                del self._idle[incarnation]

    def discard(self, upstream: Upstream) -> None:
        """Close all idle connections to an upstream that went silent.

        :param upstream: the upstream
        """
        for conn in self._idle.pop(upstream.incarnation, []):
            conn.close()

    def size(self) -> int:
        """Return the number of idle connections."""
        return sum(len(conns) for conns in self._idle.values())

    def _take(
        self, upstream: Upstream, *, recently_used: bool
    ) -> UpstreamConnection | None:
        conns = self._idle.get(upstream.incarnation, [])
        while conns:
            if recently_used and conns[-1].idle_s() > PROVEN_IDLE_S:
                return None
            conn = conns.pop()
            if self._is_usable(conn):
                return conn
            conn.close()
        return None

    def _is_usable(self, conn: UpstreamConnection) -> bool:
        if conn.is_expired() or conn.idle_s() > MAX_IDLE_S:
            return False
        return conn.is_reusable()
