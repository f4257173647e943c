"""Checks the ends of answers that only the end of their connection marks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.router.faults import BrokenError
from rosemaryseam.router.requests import Framing

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.pool import ConnectionPool
    from rosemaryseam.router.requests import AnswerHead
    from rosemaryseam.router.upstreamconnection import UpstreamConnection
    from rosemaryseam.router.upstreams import Registry, Upstream

DELIVERY_S = 0.02  # for an answer to reach its caller before its deadline
SETTLING_S = 0.05  # in which a process that ends closes all it has open


class EndCheck:
    """Tells the end of an answer from that of its upstream's process.

    The kernel closes the connections of a process that crashes in order if all their
    bytes were read. Its listener is closed as well, so that it refuses connections.

    :param registry: registered upstreams
    :param pool: connections to upstreams
    :param clock: clock of the process
    """

    def __init__(self, registry: Registry, pool: ConnectionPool, clock: Clock) -> None:
        self._clock = clock
        self._registry = registry
        self._pool = pool

    def parts(
        self,
        upstream: Upstream,
        conn: UpstreamConnection,
        head: AnswerHead,
        expires_at: float,
        *,
        streamed: bool,
    ) -> Iterator[bytes]:
        """Yield the parts of an answer's body to its end.

        :param upstream: upstream that answers
        :param conn: connection on which it does
        :param head: head of the answer
        :param expires_at: deadline of the answer; a check that takes longer is given up
        :param streamed: whether the parts have reached the caller already, so that a
            process that is just ending is waited for
        :raises BrokenError: the answer is truncated, or its upstream ended with it
        """
        yield from conn.chunks()
        if head.framing is not Framing.CLOSE or head.leaving:
            return
        if self._registry.has_left(upstream):
            return  # it may have closed its listener and still have answered
        if self._registry.is_succeeded(upstream):
            raise BrokenError(f'{upstream.id} has started again')
        if not self._registry.is_usable(upstream):
            return
        settling_s = SETTLING_S if streamed else 0.0
        left_s = expires_at - self._clock.monotonic() - DELIVERY_S
        has_ended = False
        with gevent.Timeout(max(0.0, left_s), False):
            has_ended = self._pool.refuses_connections(upstream, settling_s)
            # A path that is cut may refuse new connections while old ones live on.
            has_ended = has_ended and not self._pool.has_open(upstream)
        if has_ended:
            log_event('upstream_ended_with_answer', upstream=upstream.id)
            raise BrokenError(f'{upstream.id} ended with its answer')
