"""Requests and upstreams as seen by placement, ordering and preemption."""

from __future__ import annotations

from typing import NamedTuple


class QueuedRequest(NamedTuple):
    """Describes a request that waits for an upstream.

    ``due`` is the time of its target, ``expires_at`` the end of its longest wait. Times
    are in seconds on the dispatcher's monotonic clock. With ``shed_on_miss``, it is
    refused on arrival if it cannot meet its target.
    """

    key: str
    host: str
    request_class: str
    tier: int
    workspace: str
    weight: float
    arrived: float
    due: float
    expires_at: float
    floor: float
    shed_on_miss: bool
    excluded: frozenset[str]
    prefix: str


class UpstreamCapacity(NamedTuple):
    """Describes the load and limits of an upstream, as its dispatcher sees them.

    ``rate_limited`` is true if a limit other than the one on concurrent calls is
    exhausted.
    """

    name: str
    zone: str
    classes: frozenset[str]
    concurrent: int
    used: int
    reported_waiting: int
    rate_limited: bool
    leaving: bool

    @property
    def free(self) -> int:
        """Number of slots that may be granted now."""
        if self.leaving or self.rate_limited:
            return 0
        return max(0, self.concurrent - self.used)

    def serves(self, request: QueuedRequest) -> bool:
        """Return whether the upstream accepts a request, whatever its load.

        :param request: request that needs an upstream
        """
        if request.key and self.name in request.excluded:
            return False
        return not self.classes or request.request_class in self.classes
