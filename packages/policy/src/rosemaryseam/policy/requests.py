"""What the decisions know of a request and of an upstream."""

from __future__ import annotations

from typing import NamedTuple


class QueuedRequest(NamedTuple):
    """A request that asks for an upstream.

    Times are in seconds on the dispatcher's monotonic clock.
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
    """An upstream as its dispatcher sees it.

    ``rate_limited`` tells that another limit than the concurrent calls is used up.
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
        """Slots that may be granted now."""
        if self.leaving or self.rate_limited:
            return 0
        return max(0, self.concurrent - self.used)

    def serves(self, request: QueuedRequest) -> bool:
        """Return whether a request may go to this upstream at all.

        :param request: the request
        """
        if request.key and self.name in request.excluded:
            return False
        return not self.classes or request.request_class in self.classes
