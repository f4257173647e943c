"""Routes, services and workspaces of a configuration, and lookups in them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


MAX_RANK = 255  # hosts exchange ranks as 8 bits
MAX_SLOTS = 1_000_000  # of an upstream


class Repeat(enum.Enum):
    """Specifies whether a request that may have run can be sent again."""

    NEVER = 'never'  # no; it runs at most once
    WHOLE = 'whole'  # any number of times, each time from the start
    RESUME = 'resume'  # can continue after the last event delivered to the caller


class ServiceShare(NamedTuple):
    """The share of a route's requests that a service receives.

    ``weight`` is relative to the weights of the route's other shares.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """The services and time limits for requests with a given host and path prefix.

    ``rank`` is the priority; 0 is the most urgent. ``max_runs`` bounds how often one
    request may run. ``timeout_s`` bounds the time until the end of the answer.
    ``first_byte_target_s`` is the latency target: the time to the first event for
    streams, else to the complete answer. ``pause_target_s`` is the target for the time
    between two events, or ``None``. Requests of ``public`` routes need no API key.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeat: Repeat
    streamed: bool
    public: bool
    rank: int
    max_runs: int
    timeout_s: float
    first_byte_target_s: float
    pause_target_s: float | None


class EngineProfile(NamedTuple):
    """Configured properties of a service's model engines, used before any measurement.

    ``batch_slots`` is the number of requests in one batch, ``cache_tokens`` the size
    of the prompt cache. ``tokens_per_event`` is the number of tokens in one event of a
    stream. ``shares_cache`` is true if engines copy cached prompt parts from one
    another.
    """

    batch_slots: int
    cache_tokens: int
    tokens_per_event: int
    shares_cache: bool


class ScalingLimits(NamedTuple):
    """How many upstreams of a service may be ordered, and what they cost.

    ``minimum`` and ``maximum`` hold for each zone, ordinary and spot upstreams
    together. A new upstream serves after ``boot_s``. ``zone_prices`` is the price of
    an upstream's second by zone; that of a spot upstream is ``spot_price`` times as
    high, ``None`` if there are no spot upstreams.
    """

    minimum: int
    maximum: int
    boot_s: float
    spot_price: float | None
    zone_prices: Mapping[str, float]


class Service(NamedTuple):
    """A group of upstreams that answer the same requests.

    Upstreams are ordered only if the service has ``scaling``.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None
    scaling: ScalingLimits | None = None


class CallerLimits(NamedTuple):
    """Size and time limits for callers.

    ``head_s`` bounds the time to receive a request's head, ``idle_s`` the time without
    a request or between two parts of a body.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_s: float = 3.0
    idle_s: float = 15.0


class Workspace(NamedTuple):
    """A workspace; ``rank`` overrides the rank of the route unless it is ``None``."""

    name: str
    rank: int | None


class RoutingTable:
    """One version of the configuration, indexed for lookups.

    :param version: version number, which increases with each accepted configuration
    :param routes: all routes
    :param services: all services
    :param workspaces: workspaces by API key, or ``None`` if API keys are not used
    :param limits: size and time limits for callers
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        workspaces: Mapping[str, Workspace] | None,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.needs_keys = workspaces is not None
        self._workspaces = dict(workspaces or {})
        self._by_host = _index_by_host(self.routes)
        resumable = [route for route in self.routes if route.repeat is Repeat.RESUME]
        # The services whose streams callers may take up again.
        self.resumable_services = frozenset(
            share.service for route in resumable for share in route.shares
        )
        self.longest_resumable_s = max(
            (route.timeout_s for route in resumable), default=0.0
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``.

        :param host: host name of the request, in lower case
        :param path: path of the request without the query
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, or ``None``.

        :param key: API key as the caller sent it
        """
        return self._workspaces.get(key)


def _index_by_host(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host, {})[route.prefix] = route
    return index


def pick_service(route: Route, fraction: float) -> str | None:
    """Return the name of the service for a request, chosen by weight.

    Returns ``None`` if the route has no services.

    :param route: route of the request
    :param fraction: number from 0 to 1 that selects among the weighted shares
    """
    total = sum(share.weight for share in route.shares)
    if total <= 0:
        return route.shares[0].service if route.shares else None
    remaining = fraction * total
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service
