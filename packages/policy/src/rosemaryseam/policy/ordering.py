"""Order in which queued requests are served.

Tiers have strict priority. Within a tier, the class whose request has the earliest
target time goes first; within a class, workspaces share by weight. A class with a floor
earns credit with every grant. With enough credit its requests overtake higher tiers
while these can still meet their targets; after a whole starvation window without
service they overtake in any case.
"""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.policy.requests import QueuedRequest

MAX_FLOOR_CREDIT = 2.0  # grants for which a class can save credit
DEFAULT_STARVATION_S = 5.0


class ClassQueue:
    """Queues the requests of one class with weighted fairness among its workspaces."""

    def __init__(self, name: str, tier: int, floor: float, now: float) -> None:
        self.name = name
        self.tier = tier
        self.floor = floor
        self.credit = 0.0
        self.last_served = now
        self._by_workspace: dict[str, list[QueuedRequest]] = {}
        self._virtual_times: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._by_workspace.values())

    def __iter__(self) -> Iterator[QueuedRequest]:
        for queue in self._by_workspace.values():
            yield from queue

    def push(self, request: QueuedRequest) -> None:
        """Add a request to its workspace's queue in order of arrival.

        A request that is queued again, after a preemption or by another dispatcher,
        therefore gets its former place.

        :param request: request to add
        """
        queue = self._by_workspace.get(request.workspace)
        if queue is None:
            queue = self._by_workspace[request.workspace] = []
            start = max(
                self._virtual_time, self._virtual_times.get(request.workspace, 0.0)
            )
            self._virtual_times[request.workspace] = start
        bisect.insort(queue, request, key=lambda entry: entry.arrived)

    def heads(self) -> list[QueuedRequest]:
        """Return the first request of each workspace, in order of virtual time."""
        names = sorted(self._by_workspace, key=lambda name: self._virtual_times[name])
        return [self._by_workspace[name][0] for name in names]

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request without serving it.

        :param request: request in this queue
        """
        queue = self._by_workspace[request.workspace]
        queue.remove(request)
        if not queue:
            del self._by_workspace[request.workspace]

    def charge(self, request: QueuedRequest, now: float) -> None:
        """Charge a served request to its workspace's virtual time and the class credit.

        :param request: request that was served
        :param now: seconds on the monotonic clock
        """
        start = self._virtual_times.get(request.workspace, 0.0)
        self._virtual_time = max(self._virtual_time, start)
        self._virtual_times[request.workspace] = start + 1.0 / request.weight
        self.last_served = now
        self.credit = max(0.0, self.credit - 1.0)

    def earn_credit(self) -> None:
        """Add the credit that the floor earns with one grant."""
        self.credit = min(MAX_FLOOR_CREDIT, self.credit + self.floor)


class WaitQueue:
    """Queues all waiting requests of a partition.

    :param starvation_s: window in seconds in which each waiting class with a floor is
        served at least once
    """

    def __init__(self, starvation_s: float = DEFAULT_STARVATION_S) -> None:
        self._starvation_s = starvation_s
        self._classes: dict[str, ClassQueue] = {}
        self._requests: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, key: str) -> bool:
        return key in self._requests

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._requests.values()))

    def get(self, key: str) -> QueuedRequest | None:
        """Return the waiting request with a key, or ``None``.

        :param key: key of the request
        """
        return self._requests.get(key)

    def backlog(self) -> dict[int, int]:
        """Return how many requests wait in each tier."""
        counts: dict[int, int] = {}
        for queue in self._classes.values():
            counts[queue.tier] = counts.get(queue.tier, 0) + len(queue)
        return counts

    def push(self, request: QueuedRequest, now: float) -> None:
        """Add a request to the queue of its class.

        :param request: request to add
        :param now: seconds on the monotonic clock
        """
        queue = self._classes.get(request.request_class)
        if queue is None:
            queue = ClassQueue(request.request_class, request.tier, request.floor, now)
            self._classes[request.request_class] = queue
        if not len(queue):
            queue.last_served = max(queue.last_served, now)
        queue.tier = request.tier
        queue.floor = request.floor
        queue.push(request)
        self._requests[request.key] = request

    def remove(self, key: str) -> QueuedRequest | None:
        """Remove a request without serving it, and return it if it was queued.

        :param key: key of the request
        """
        request = self._requests.pop(key, None)
        if request is not None:
            self._classes[request.request_class].remove(request)
        return request

    def next(
        self, now: float, fits: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Return the request to serve next without removing it.

        :param now: seconds on the monotonic clock
        :param fits: returns whether some upstream can serve a request now
        """
        for queue in self._order(now):
            for request in queue.heads():
                if fits(request):
                    return request
        return None

    def serve(self, request: QueuedRequest, now: float) -> None:
        """Remove a request and count it as served.

        :param request: request in this queue
        :param now: seconds on the monotonic clock
        """
        queue = self._classes[request.request_class]
        self.remove(request.key)
        queue.charge(request, now)
        for entry in self._classes.values():
            entry.earn_credit()

    def expired(self, now: float) -> list[QueuedRequest]:
        """Return the requests whose longest wait has passed.

        :param now: seconds on the monotonic clock
        """
        return [entry for entry in self._requests.values() if entry.expires_at <= now]

    def shed_candidate(self) -> QueuedRequest | None:
        """Return the request to shed first: lowest tier, then latest target time."""
        return max(
            self._requests.values(),
            key=lambda entry: (entry.tier, entry.due, entry.key),
            default=None,
        )

    def _order(self, now: float) -> list[ClassQueue]:
        waiting = [queue for queue in self._classes.values() if len(queue)]
        waiting.sort(key=lambda queue: (queue.tier, _earliest_due(queue)))
        preferred = [
            queue for queue in waiting if self._may_overtake(queue, waiting, now)
        ]
        preferred.sort(key=lambda queue: queue.last_served)
        return preferred + [queue for queue in waiting if queue not in preferred]

    def _may_overtake(
        self, queue: ClassQueue, waiting: list[ClassQueue], now: float
    ) -> bool:
        if queue.floor <= 0.0:
            return False
        if now - queue.last_served >= self._starvation_s:
            return True
        if queue.credit < 1.0:
            return False
        higher = [entry for entry in waiting if entry.tier < queue.tier]
        return all(_earliest_due(entry) > now for entry in higher)


def _earliest_due(queue: ClassQueue) -> float:
    return min(request.due for request in queue.heads())
