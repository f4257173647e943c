"""The sizes of a route's requests, and which sizes are refused too often."""

from __future__ import annotations

from typing import NamedTuple

SIZE_WEIGHT = 0.02  # of one request in the mean size of its route, once it is known
LEAST_REQUESTS = 20  # of a route, before which each of them counts as ordinary
LARGEST = 0.1  # of a route's prompts
LARGE = 0.3  # of a route's prompts, the largest included
LENGTH_STEP = 0.03  # by which one prompt moves the least length of a band
SHARE_WEIGHT = 0.05  # of one request in how often a band is placed
MIN_RELATIVE_PLACEMENT = 0.6  # of how often all of a route's requests are placed
ALLOWANCE_STEP = 0.1  # by which one request moves what is borne for its band
MAX_ALLOWANCE = 4.0

BANDS = (LARGEST, LARGE)  # the rest is a band of its own


class RequestSize(NamedTuple):
    """A request's size.

    ``relative`` is its work against the mean of its route, ``room_tokens`` by how much
    its prompt is shorter than the largest of its route, ``band`` 0 for the largest.
    """

    relative_work: float
    headroom_tokens: int
    band: int


class _Route:
    def __init__(self, prompt_tokens: int, work: float) -> None:
        self.requests = 0
        self.mean = work
        self.lengths = [float(prompt_tokens)] * len(BANDS)
        self.placed = 1.0
        self.placed_by_band = [1.0] * len(BANDS)
        self.allowances = [1.0] * len(BANDS)


class RouteSizes:
    """Learns each route's sizes, and bears more for those that fall behind."""

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}

    def observe(self, route: str, prompt_tokens: int, work: float) -> RequestSize:
        """Take a request into account and return its size.

        :param route: name of its route
        :param prompt_tokens: length of its prompt
        :param work: tokens that it takes, answers weighed
        """
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _Route(prompt_tokens, work)
        band = _band(known, prompt_tokens)
        known.requests += 1
        known.mean += max(SIZE_WEIGHT, 1.0 / known.requests) * (work - known.mean)
        for index, share in enumerate(BANDS):
            longer = prompt_tokens > known.lengths[index]
            step = max(LENGTH_STEP, 1.0 / known.requests)
            known.lengths[index] *= 1.0 + step * (1.0 - share if longer else -share)
        if known.requests < LEAST_REQUESTS:
            return RequestSize(1.0, 0, len(BANDS))
        room = max(0, int(known.lengths[0]) - prompt_tokens)
        relative = work / known.mean if known.mean else 1.0
        return RequestSize(relative, room, band)

    def allowance(self, route: str, size: RequestSize) -> float:
        """Return how much more loss is borne for a request, 1 for an ordinary one.

        :param route: name of its route
        :param size: as learnt
        """
        if size.band == len(BANDS):
            return 1.0
        return self._routes[route].allowances[size.band]

    def record_outcome(self, route: str, size: RequestSize, *, placed: bool) -> None:
        """Note whether a request was placed or refused.

        :param route: name of its route
        :param size: as learnt
        :param placed: whether it was placed
        """
        known = self._routes[route]
        known.placed += SHARE_WEIGHT * (placed - known.placed)
        if size.band == len(BANDS):
            return
        share = known.placed_by_band[size.band]
        share += SHARE_WEIGHT * (placed - share)
        known.placed_by_band[size.band] = share
        behind = share < known.placed * MIN_RELATIVE_PLACEMENT
        factor = 1.0 + ALLOWANCE_STEP if behind else 1.0 / (1.0 + ALLOWANCE_STEP)
        allowance = known.allowances[size.band] * factor
        known.allowances[size.band] = min(MAX_ALLOWANCE, max(1.0, allowance))


def _band(known: _Route, prompt_tokens: int) -> int:
    for band, length in enumerate(known.lengths):
        if prompt_tokens > length:
            return band
    return len(BANDS)
