"""The requests that wait in a partition, and why a wait ends without a grant."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.errors import ResultCode
from rosemaryseam.policy.drain import DrainRate
from rosemaryseam.policy.ordering import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.policy.requests import QueuedRequest

ACTIVE_HOST_S = 5.0  # how long after a request a host counts as active


class RefusedRequest(NamedTuple):
    """A request that is refused up, and what its caller is told."""

    request: QueuedRequest
    code: ResultCode
    message: str
    retry_after_s: float


class RequestQueue:
    """Owns the queue, and how fast it drains.

    :param starvation_s: the window in which a class with a floor is served
    :param length: the most requests that wait
    :param stale_s: how long a request stays whose host does not ask again
    """

    def __init__(self, starvation_s: float, length: int, stale_s: float) -> None:
        self._queue = WaitQueue(starvation_s)
        self._length = length
        self._stale_s = stale_s
        self._refreshed: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}
        self._drain = DrainRate()

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._queue)

    def backlog(self) -> dict[int, int]:
        """Return how many requests wait in each tier."""
        return self._queue.backlog()

    def active_hosts(self, now: float) -> set[str]:
        """Return the hosts that asked lately.

        :param now: seconds on the monotonic clock
        """
        return {host for host, at in self._asked_at.items() if now - at < ACTIVE_HOST_S}

    def ahead(self, request: QueuedRequest) -> int:
        """Return the place of a request: its tier and the higher ones count.

        :param request: the request
        """
        backlog = self._queue.backlog()
        return 1 + sum(n for tier, n in backlog.items() if tier <= request.tier)

    def wait_s(self, places: int, now: float) -> float | None:
        """Return how long a place takes to be served, or ``None`` when unknown.

        :param places: as :meth:`ahead` returns it
        :param now: seconds on the monotonic clock
        """
        return self._drain.wait_s(places, now)

    def next(
        self, now: float, fits: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Return the request to serve next, which still waits.

        :param now: seconds on the monotonic clock
        :param fits: whether some upstream can take the request now
        """
        return self._queue.next(now, fits)

    def refresh(self, request: QueuedRequest, now: float) -> bool:
        """Note that a host asks, and return whether the request waits already.

        :param request: the request
        :param now: seconds on the monotonic clock
        """
        self._refreshed[request.key] = now
        self._asked_at[request.host] = now
        return request.key in self._queue

    def push(self, request: QueuedRequest, now: float) -> None:
        """Let a request wait.

        :param request: the request
        :param now: seconds on the monotonic clock
        """
        self._queue.push(request, now)

    def serve(self, request: QueuedRequest, now: float) -> None:
        """Take out a request that gets a grant.

        :param request: a request that waits
        :param now: seconds on the monotonic clock
        """
        self._queue.serve(request, now)
        self._refreshed.pop(request.key, None)

    def leave(self, key: str) -> None:
        """Take out a request that does not wait any more.

        :param key: the request's key
        """
        self._queue.remove(key)
        self._refreshed.pop(key, None)

    def forget(self, host: str) -> None:
        """Take out all requests of a host whose process has ended.

        :param host: the host
        """
        self._asked_at.pop(host, None)
        for request in self._queue:
            if request.host == host:
                self.leave(request.key)

    def record_drain(self, now: float) -> None:
        """Count one call whose end lets the queue move.

        :param now: seconds on the monotonic clock
        """
        self._drain.record(now)

    def due_ends(self, now: float) -> list[RefusedRequest]:
        """Return the requests to give up now; each must still be taken out.

        :param now: seconds on the monotonic clock
        """
        return [self._expired(request, now) for request in self._queue.expired(now)]

    def overflow(self, now: float) -> RefusedRequest | None:
        """Return the request to give up while the queue is too long.

        :param now: seconds on the monotonic clock
        """
        if len(self._queue) <= self._length:
            return None
        request = self._queue.shed_candidate()
        wait = self._drain.retry_after_s(len(self._queue), now)
        return RefusedRequest(
            request, ResultCode.NO_CAPACITY, 'the queue is full', wait
        )

    def drop_stale(self, now: float) -> None:
        """Take out requests whose host stopped asking.

        :param now: seconds on the monotonic clock
        """
        for request in self._queue:
            if now - self._refreshed.get(request.key, now) > self._stale_s:
                self.leave(request.key)

    def _expired(self, request: QueuedRequest, now: float) -> RefusedRequest:
        wait = self._drain.retry_after_s(self.ahead(request), now)
        message = 'no upstream came free in time'
        return RefusedRequest(request, ResultCode.DEADLINE_EXCEEDED, message, wait)
