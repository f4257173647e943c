"""Routes, services and workspaces: what a configuration allows."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


class Repeat(enum.Enum):
    """What may be done again with a request that may have run."""

    NEVER = 'never'  # it runs once at most
    WHOLE = 'whole'  # it may run any number of times
    RESUME = 'resume'  # it may go on from the last event that was delivered


class ServiceShare(NamedTuple):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host and path prefix go, and how long they may take.

    ``rank`` orders kinds of requests; 0 is the most urgent. ``first_byte_target_s``
    is the latency target: up to the first event for streams, else the whole answer.
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
    """What is known of a service's model engines before any answer.

    ``shares_cache`` tells that engines copy cached prompt parts from each other.
    """

    batch_slots: int
    cache_tokens: int
    tokens_per_event: int
    shares_cache: bool


class Service(NamedTuple):
    """Upstreams that answer the same requests."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None


class CallerLimits(NamedTuple):
    """What callers may send and how long they may take."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_s: float = 3.0
    idle_s: float = 15.0


class Workspace(NamedTuple):
    """A workspace; ``rank`` replaces the route's when it is set."""

    name: str
    rank: int | None


class RoutingTable:
    """One version of the configuration, indexed for lookups.

    :param version: increases with each accepted configuration
    :param routes: all routes
    :param services: all services
    :param workspaces: by API key; ``None`` when no keys are in use
    :param limits: bounds on callers
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

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or ``None``.

        :param host: the host that the caller named, in lower case
        :param path: the path without query
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
        """Return the workspace that holds an API key, or ``None``.

        :param key: as the caller sent it
        """
        return self._workspaces.get(key)


def _index_by_host(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host, {})[route.prefix] = route
    return index


def pick_service(route: Route, point: float) -> str | None:
    """Return the service that a request of a route goes to.

    :param route: the route
    :param point: a number from 0 to 1 that decides between weighted shares
    """
    total = sum(share.weight for share in route.shares)
    if total <= 0:
        return route.shares[0].service if route.shares else None
    left = point * total
    for share in route.shares:
        left -= share.weight
        if left < 0:
            return share.service
    return route.shares[-1].service
