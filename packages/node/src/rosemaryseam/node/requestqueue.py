"""Queue of a partition's waiting requests, with a length limit and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.errors import ResultCode
from rosemaryseam.policy.drain import DrainRate
from rosemaryseam.policy.ordering import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.policy.requests import QueuedRequest

ACTIVE_HOST_S = 5.0  # a host is active for this long after its last request


class RefusedRequest(NamedTuple):
    """Holds a request to refuse and the answer for its caller."""

    request: QueuedRequest
    code: ResultCode
    message: str
    retry_after_s: float


class RequestQueue:
    """Queues waiting requests and measures how fast the queue drains.

    :param starvation_s: window in seconds in which each waiting class with a floor is
        served at least once
    :param max_length: maximum number of waiting requests
    :param stale_s: seconds after which a request is dropped unless its host resends it
    """

    def __init__(self, starvation_s: float, max_length: int, stale_s: float) -> None:
        self._queue = WaitQueue(starvation_s)
        self._max_length = max_length
        self._stale_s = stale_s
        self._refreshed_at: dict[str, float] = {}
        self._last_request_at: dict[str, float] = {}
        self._drain_rate = DrainRate()

    def __len__(self) -> int:
        return len(self._queue)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(self._queue)

    def backlog(self) -> dict[int, int]:
        """Return how many requests wait in each tier."""
        return self._queue.backlog()

    def active_hosts(self, now: float) -> set[str]:
        """Return the hosts that sent a request within ``ACTIVE_HOST_S``.

        :param now: seconds on the monotonic clock
        """
        return {
            host
            for host, at in self._last_request_at.items()
            if now - at < ACTIVE_HOST_S
        }

    def position(self, request: QueuedRequest) -> int:
        """Return the position of a request behind all of its own and of higher tiers.

        :param request: request in this queue, or about to join it
        """
        backlog = self._queue.backlog()
        return 1 + sum(n for tier, n in backlog.items() if tier <= request.tier)

    def wait_s(self, position: int, now: float) -> float | None:
        """Return the expected wait in seconds, or ``None`` without recent releases.

        :param position: number of calls that must end first
        :param now: seconds on the monotonic clock
        """
        return self._drain_rate.wait_s(position, now)

    def next(
        self, now: float, fits: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Return the request to serve next without removing it.

        :param now: seconds on the monotonic clock
        :param fits: returns whether some upstream can serve a request now
        """
        return self._queue.next(now, fits)

    def refresh(self, request: QueuedRequest, now: float) -> bool:
        """Record that a host sent or resent a request; return whether it is queued.

        :param request: request as received
        :param now: seconds on the monotonic clock
        """
        self._refreshed_at[request.key] = now
        self._last_request_at[request.host] = now
        return request.key in self._queue

    def push(self, request: QueuedRequest, now: float) -> None:
        """Add a request to the queue.

        :param request: request to add
        :param now: seconds on the monotonic clock
        """
        self._queue.push(request, now)

    def serve(self, request: QueuedRequest, now: float) -> None:
        """Remove a request that is granted an upstream.

        :param request: request in this queue
        :param now: seconds on the monotonic clock
        """
        self._queue.serve(request, now)
        self._refreshed_at.pop(request.key, None)

    def remove(self, key: str) -> None:
        """Remove a request without serving it.

        :param key: key of the request
        """
        self._queue.remove(key)
        self._refreshed_at.pop(key, None)

    def drop_host(self, host: str) -> None:
        """Remove all requests of a host whose process has ended.

        :param host: name of the host
        """
        self._last_request_at.pop(host, None)
        for request in self._queue:
            if request.host == host:
                self.remove(request.key)

    def record_drain(self, now: float) -> None:
        """Count one ended call, whose slot a waiting request can use.

        :param now: seconds on the monotonic clock
        """
        self._drain_rate.record(now)

    def expired(self, now: float) -> list[RefusedRequest]:
        """Return refusals of the requests whose longest wait has passed.

        The requests stay in the queue; the caller removes them.

        :param now: seconds on the monotonic clock
        """
        return [
            self._refuse_expired(request, now) for request in self._queue.expired(now)
        ]

    def overflow(self, now: float) -> RefusedRequest | None:
        """Return the refusal of one request while the queue is too long.

        The request stays in the queue; the caller removes it.

        :param now: seconds on the monotonic clock
        """
        if len(self._queue) <= self._max_length:
            return None
        request = self._queue.shed_candidate()
        wait = self._drain_rate.retry_after_s(len(self._queue), now)
        return RefusedRequest(
            request, ResultCode.NO_CAPACITY, 'the queue is full', wait
        )

    def drop_stale(self, now: float) -> None:
        """Remove requests that their hosts have stopped resending.

        :param now: seconds on the monotonic clock
        """
        for request in self._queue:
            if now - self._refreshed_at.get(request.key, now) > self._stale_s:
                self.remove(request.key)

    def _refuse_expired(self, request: QueuedRequest, now: float) -> RefusedRequest:
        wait = self._drain_rate.retry_after_s(self.position(request), now)
        message = 'no upstream came free in time'
        return RefusedRequest(request, ResultCode.DEADLINE_EXCEEDED, message, wait)
