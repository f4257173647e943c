"""Request sizes by route, and loss allowances for sizes that are refused too often.

The prompts of a route are split into bands by estimated quantiles of their lengths.
"""

from __future__ import annotations

from typing import NamedTuple

MEAN_WORK_WEIGHT = 0.02  # of one request in its route's mean, once 50 are known
MIN_REQUESTS = 20  # of a route; until then all its requests count as average
LARGEST_SHARE = 0.1  # of a route's prompts, in the band of the largest
LARGE_SHARE = 0.3  # of a route's prompts, in the bands of the large and the largest
QUANTILE_STEP = 0.03  # relative change of a quantile by one prompt
PLACEMENT_WEIGHT = 0.05  # of one request in the moving share of placed requests
MIN_RELATIVE_PLACEMENT = 0.6  # of the route's share of placed requests
ALLOWANCE_STEP = 0.1  # relative change of a band's allowance by one request
MAX_ALLOWANCE = 4.0

BAND_SHARES = (LARGEST_SHARE, LARGE_SHARE)  # all other prompts form the last band


class RequestSize(NamedTuple):
    """Describes the size of a request in comparison with others of its route.

    ``relative_work`` is its work divided by the mean of its route. ``headroom_tokens``
    is the number of tokens by which its prompt is shorter than the largest ones.
    ``band`` is its band of prompt lengths, 0 for the largest.
    """

    relative_work: float
    headroom_tokens: int
    band: int


class _RouteStats:
    def __init__(self, prompt_tokens: int, work: float) -> None:
        self.requests = 0
        self.mean_work = work
        self.length_quantiles = [float(prompt_tokens)] * len(BAND_SHARES)
        self.placed_share = 1.0
        self.placed_share_by_band = [1.0] * len(BAND_SHARES)
        self.allowances = [1.0] * len(BAND_SHARES)


class RouteSizes:
    """Tracks the request sizes of each route and raises the allowance of some bands.

    A band gets a higher allowance while its share of placed requests is too far below
    that of the whole route.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteStats] = {}

    def observe(self, route: str, prompt_tokens: int, work: float) -> RequestSize:
        """Update the statistics of a route with a request and return its size.

        :param route: name of the route
        :param prompt_tokens: length of the prompt
        :param work: work in tokens, with weighted output tokens
        """
        stats = self._routes.get(route)
        if stats is None:
            stats = self._routes[route] = _RouteStats(prompt_tokens, work)
        band = _band(stats, prompt_tokens)
        stats.requests += 1
        stats.mean_work += max(MEAN_WORK_WEIGHT, 1.0 / stats.requests) * (
            work - stats.mean_work
        )
        for index, share in enumerate(BAND_SHARES):
            longer = prompt_tokens > stats.length_quantiles[index]
            step = max(QUANTILE_STEP, 1.0 / stats.requests)
            stats.length_quantiles[index] *= 1.0 + step * (
                1.0 - share if longer else -share
            )
        if stats.requests < MIN_REQUESTS:
            return RequestSize(1.0, 0, len(BAND_SHARES))
        headroom = max(0, int(stats.length_quantiles[0]) - prompt_tokens)
        relative = work / stats.mean_work if stats.mean_work else 1.0
        return RequestSize(relative, headroom, band)

    def allowance(self, route: str, size: RequestSize) -> float:
        """Return the factor on a request's loss limit, 1 for an average request.

        :param route: name of the route
        :param size: size as returned by :meth:`observe`
        """
        if size.band == len(BAND_SHARES):
            return 1.0
        return self._routes[route].allowances[size.band]

    def record_outcome(self, route: str, size: RequestSize, *, placed: bool) -> None:
        """Record whether a request was placed or refused.

        :param route: name of the route
        :param size: size as returned by :meth:`observe`
        :param placed: whether the request was placed
        """
        stats = self._routes[route]
        stats.placed_share += PLACEMENT_WEIGHT * (placed - stats.placed_share)
        if size.band == len(BAND_SHARES):
            return
        share = stats.placed_share_by_band[size.band]
        share += PLACEMENT_WEIGHT * (placed - share)
        stats.placed_share_by_band[size.band] = share
        behind = share < stats.placed_share * MIN_RELATIVE_PLACEMENT
        factor = 1.0 + ALLOWANCE_STEP if behind else 1.0 / (1.0 + ALLOWANCE_STEP)
        allowance = stats.allowances[size.band] * factor
        stats.allowances[size.band] = min(MAX_ALLOWANCE, max(1.0, allowance))


def _band(stats: _RouteStats, prompt_tokens: int) -> int:
    for band, length in enumerate(stats.length_quantiles):
        if prompt_tokens > length:
            return band
    return len(BAND_SHARES)
