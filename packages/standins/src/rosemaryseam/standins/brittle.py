"""Stand-in for an upstream that crashes when it has to reject too many requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import gevent.lock

if TYPE_CHECKING:
    from rosemaryseam.standins.scripted import ScriptedExchange, ScriptedUpstream

STREAM_PREFIXES = ('/stream', '/once')


class BrittleScript:
    """Runs ``slots`` requests at a time, queues some and rejects the rest.

    :param slots: requests that run at the same time
    :param queue: requests that may wait
    :param work_s: duration of the work for a request, in seconds
    :param limit: value of the header that states brittleness, ``None`` for no header
    :param down_s: time for which it is down after a crash, in seconds
    """

    def __init__(
        self,
        slots: int = 8,
        queue: int = 4,
        work_s: float = 0.05,
        limit: str | None = '4',
        down_s: float = 1.5,
    ) -> None:
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.limit = limit
        self.down_s = down_s
        self.upstream: ScriptedUpstream | None = None
        self.rejected_at: list[float] = []
        self.done = 0
        self.crashes = 0
        self._accepted = 0
        self._free = gevent.lock.BoundedSemaphore(slots)

    def __call__(self, exchange: ScriptedExchange) -> None:
        """Answer a request, or reject it as not run."""
        if self._accepted >= self.slots + self.queue:
            self._reject(exchange)
            return
        self._accepted += 1
        try:
            with self._free:
                gevent.sleep(self.work_s)
        finally:
            self._accepted -= 1
        self.done += 1
        if exchange.request.target.startswith(STREAM_PREFIXES):
            exchange.start_stream(**self._stated())
            exchange.event(1)
            exchange.end_stream()
        else:
            exchange.answer(200, b'answer', exchange.headers(**self._stated()))

    def most_rejections_per_s(self) -> int:
        """Return the most rejections in any second."""
        times = self.rejected_at
        return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)

    def _stated(self) -> dict[str, str]:
        return {} if self.limit is None else {'X_Upstream_Brittle': self.limit}

    def _reject(self, exchange: ScriptedExchange) -> None:
        now = gevent.get_hub().loop.now()
        self.rejected_at.append(now)
        exchange.answer(503, b'', exchange.headers(X_Not_Run='1', **self._stated()))
        recent = sum(at > now - 1.0 for at in self.rejected_at)
        if self.limit is not None and recent > float(self.limit):
            self._crash()

    def _crash(self) -> None:
        self.crashes += 1
        if self.upstream is not None:
            self.upstream.stop()
            gevent.spawn_later(self.down_s, self.upstream.restart)
