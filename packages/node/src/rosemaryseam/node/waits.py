"""The requests that wait in a partition, and why a wait ends without a grant."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.errors import ResultCode
from rosemaryseam.policy.drain import DrainRate
from rosemaryseam.policy.ordering import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.policy.requests import Demand

ACTIVE_S = 5.0  # how long after a request a host counts as active


class Given(NamedTuple):
    """A request that is given up, and what its caller is told."""

    demand: Demand
    code: ResultCode
    message: str
    retry_after_s: float


class Waits:
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

    def __iter__(self) -> Iterator[Demand]:
        return iter(self._queue)

    def backlog(self) -> dict[int, int]:
        """Return how many requests wait in each tier."""
        return self._queue.backlog()

    def active_hosts(self, now: float) -> set[str]:
        """Return the hosts that asked lately.

        :param now: seconds on the monotonic clock
        """
        return {host for host, at in self._asked_at.items() if now - at < ACTIVE_S}

    def ahead(self, demand: Demand) -> int:
        """Return the place of a request: its tier and the higher ones count.

        :param demand: the request
        """
        backlog = self._queue.backlog()
        return 1 + sum(n for tier, n in backlog.items() if tier <= demand.tier)

    def wait_s(self, places: int, now: float) -> float | None:
        """Return how long a place takes to be served, or ``None`` when unknown.

        :param places: as :meth:`ahead` returns it
        :param now: seconds on the monotonic clock
        """
        return self._drain.wait_s(places, now)

    def next(self, now: float, fits: Callable[[Demand], bool]) -> Demand | None:
        """Return the request to serve next, which still waits.

        :param now: seconds on the monotonic clock
        :param fits: whether some upstream can take the request now
        """
        return self._queue.next(now, fits)

    def refresh(self, demand: Demand, now: float) -> bool:
        """Note that a host asks, and return whether the request waits already.

        :param demand: the request
        :param now: seconds on the monotonic clock
        """
        self._refreshed[demand.key] = now
        self._asked_at[demand.host] = now
        return demand.key in self._queue

    def push(self, demand: Demand, now: float) -> None:
        """Let a request wait.

        :param demand: the request
        :param now: seconds on the monotonic clock
        """
        self._queue.push(demand, now)

    def serve(self, demand: Demand, now: float) -> None:
        """Take out a request that gets a grant.

        :param demand: a request that waits
        :param now: seconds on the monotonic clock
        """
        self._queue.serve(demand, now)
        self._refreshed.pop(demand.key, None)

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
        for demand in self._queue:
            if demand.host == host:
                self.leave(demand.key)

    def record_drain(self, now: float) -> None:
        """Count one call whose end lets the queue move.

        :param now: seconds on the monotonic clock
        """
        self._drain.record(now)

    def due_ends(self, now: float) -> list[Given]:
        """Return the requests to give up now; each must still be taken out.

        :param now: seconds on the monotonic clock
        """
        return [self._expired(demand, now) for demand in self._queue.expired(now)]

    def overflow(self, now: float) -> Given | None:
        """Return the request to give up while the queue is too long.

        :param now: seconds on the monotonic clock
        """
        if len(self._queue) <= self._length:
            return None
        demand = self._queue.lowest()
        wait = self._drain.retry_after_s(len(self._queue), now)
        return Given(demand, ResultCode.NO_CAPACITY, 'the queue is full', wait)

    def drop_stale(self, now: float) -> None:
        """Take out requests whose host stopped asking.

        :param now: seconds on the monotonic clock
        """
        for demand in self._queue:
            if now - self._refreshed.get(demand.key, now) > self._stale_s:
                self.leave(demand.key)

    def _expired(self, demand: Demand, now: float) -> Given:
        wait = self._drain.retry_after_s(self.ahead(demand), now)
        message = 'no upstream came free in time'
        return Given(demand, ResultCode.DEADLINE_EXCEEDED, message, wait)
