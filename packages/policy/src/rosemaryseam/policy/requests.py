"""What the decisions know of a request and of an upstream."""

from __future__ import annotations

from typing import NamedTuple


class Demand(NamedTuple):
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
    give_up: float
    floor: float
    sheds: bool
    excluded: frozenset[str]
    prefix: str


class Supply(NamedTuple):
    """An upstream as its dispatcher sees it.

    ``closed`` tells that another limit than the concurrent calls is used up.
    """

    name: str
    zone: str
    classes: frozenset[str]
    concurrent: int
    used: int
    reported_waiting: int
    closed: bool
    leaving: bool

    @property
    def free(self) -> int:
        """Slots that may be granted now."""
        if self.leaving or self.closed:
            return 0
        return max(0, self.concurrent - self.used)

    def serves(self, demand: Demand) -> bool:
        """Return whether a demand may go to this upstream at all.

        :param demand: the request
        """
        if demand.key and self.name in demand.excluded:
            return False
        return not self.classes or demand.request_class in self.classes
