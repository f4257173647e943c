"""The project's YAML format for the router's configuration and registrations."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple, TypeVar

from pydantic import AfterValidator, Field

from rosemaryseam.common.addresses import AddressText, parse_address
from rosemaryseam.common.decoding import (
    MAX_COUNT,
    MAX_NUMBER,
    decoding,
    require_optional_text,
    require_text,
)
from rosemaryseam.common.documents import parse_document, validate_document
from rosemaryseam.router.codec import StateCodec
from rosemaryseam.router.routes import (
    MAX_RANK,
    MAX_SLOTS,
    CallerLimits,
    EngineProfile,
    Repeat,
    Route,
    RoutingTable,
    ScalingLimits,
    Service,
    ServiceShare,
    Workspace,
)
from rosemaryseam.router.upstreams import Registration, Upstream

ROOT = 'rosemaryseam/'
CONFIGURATION_KEY = 'rosemaryseam/configuration'
UPSTREAM_PREFIX = 'rosemaryseam/upstreams/'

Name = Annotated[str, Field(min_length=1, max_length=200), AfterValidator(require_text)]
OptionalName = Annotated[str, AfterValidator(require_optional_text)]
Prefix = Annotated[str, Field(pattern=r'^/(.*/)?$')]
Seconds = Annotated[float, Field(gt=0.0, le=86_400.0)]
Count = Annotated[int, Field(ge=0, le=MAX_COUNT)]
Rank = Annotated[int, Field(ge=0, le=MAX_RANK)]
Price = Annotated[float, Field(ge=0, le=MAX_NUMBER)]
T = TypeVar('T')


class ShareEntry(NamedTuple):
    """A service of a route and its relative share of the requests."""

    service: Name
    weight: Annotated[float, Field(gt=0.0, le=MAX_NUMBER)] = 1.0


class RouteEntry(NamedTuple):
    """A route; times are in seconds."""

    name: Name
    host: Name
    prefix: Prefix
    services: tuple[ShareEntry, ...]
    repeat: Literal['never', 'whole', 'resume'] = 'never'
    streamed: bool = False
    public: bool = False
    rank: Rank = 0
    max_runs: Annotated[int, Field(ge=1, le=MAX_COUNT)] = 1
    timeout_s: Seconds = 30.0
    target_s: Seconds = 1.0
    pause_target_s: Seconds | None = None


class EngineEntry(NamedTuple):
    """Capacities of the engines of a service."""

    batch_slots: Annotated[int, Field(ge=1, le=MAX_SLOTS)]
    cache_tokens: Count
    tokens_per_event: Annotated[int, Field(ge=1, le=MAX_SLOTS)] = 1
    shares_cache: bool = False


class ScalingEntry(NamedTuple):
    """Limits of the upstreams ordered in each zone, and their prices."""

    minimum: Count
    maximum: Count
    boot_s: Seconds
    spot_price: Price | None
    zone_prices: dict[Name, Price]


class ServiceEntry(NamedTuple):
    """A service with its health check, connection limit, engines and scaling."""

    name: Name
    health_path: str = '/health'
    max_connections: Count = 0
    engine: EngineEntry | None = None
    scaling: ScalingEntry | None = None


class WorkspaceEntry(NamedTuple):
    """A workspace and its API keys."""

    name: Name
    keys: tuple[str, ...]
    rank: Rank | None = None


class LimitEntry(NamedTuple):
    """Limits on callers."""

    head_bytes: Annotated[int, Field(ge=256)] = 16_384
    body_bytes: Count = 4_194_304
    head_s: Seconds = 3.0
    idle_s: Seconds = 15.0


class ConfigurationEntry(NamedTuple):
    """A complete configuration."""

    version: Annotated[int, Field(ge=1, le=MAX_COUNT)]
    routes: tuple[RouteEntry, ...]
    services: tuple[ServiceEntry, ...]
    workspaces: tuple[WorkspaceEntry, ...] | None = None
    limits: LimitEntry = LimitEntry()


class UpstreamEntry(NamedTuple):
    """The entry by which an upstream registers itself."""

    service: Name
    address: AddressText
    zone: Name
    slots: Annotated[int, Field(ge=0, le=MAX_SLOTS)]
    born: Count = 0
    leaving: bool = False
    version: OptionalName = ''
    spot: bool = False
    leaves_in_s: Price | None = None


class DocumentStateCodec(StateCodec):
    """Decodes YAML documents of the formats above."""

    root = ROOT

    def is_configuration(self, key: str) -> bool:
        """Return whether a key holds the configuration."""
        return key == CONFIGURATION_KEY

    def upstream_id(self, key: str) -> str | None:
        """Return the id of the upstream that a key registers, or ``None``."""
        if not key.startswith(UPSTREAM_PREFIX):
            return None
        return key.removeprefix(UPSTREAM_PREFIX)

    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Decode a configuration."""
        entry = _parse_entry(value, ConfigurationEntry)
        return RoutingTable(
            entry.version,
            [_build_route(route) for route in entry.routes],
            [_build_service(service) for service in entry.services],
            _index_workspaces(entry.workspaces),
            CallerLimits(*entry.limits),
        )

    def decode_registration(self, upstream_id: str, value: bytes) -> Registration:
        """Decode the entry of an upstream."""
        entry = _parse_entry(value, UpstreamEntry)
        upstream = Upstream(
            upstream_id,
            entry.born,
            entry.service,
            parse_address(entry.address),
            entry.zone,
            entry.slots,
            entry.version,
            entry.spot,
        )
        return Registration(upstream, entry.leaving, entry.leaves_in_s)


def _parse_entry(value: bytes, entry_type: type[T]) -> T:
    with decoding('document'):
        return validate_document(parse_document(value.decode()), entry_type)


def _build_route(entry: RouteEntry) -> Route:
    return Route(
        entry.name,
        entry.host.lower(),
        entry.prefix,
        tuple(ServiceShare(*share) for share in entry.services),
        Repeat(entry.repeat),
        entry.streamed,
        entry.public,
        entry.rank,
        entry.max_runs,
        entry.timeout_s,
        entry.target_s,
        entry.pause_target_s,
    )


def _build_service(entry: ServiceEntry) -> Service:
    engine = None if entry.engine is None else EngineProfile(*entry.engine)
    scaling = None if entry.scaling is None else ScalingLimits(*entry.scaling)
    return Service(
        entry.name, entry.health_path, entry.max_connections, engine, scaling
    )


def _index_workspaces(
    entries: tuple[WorkspaceEntry, ...] | None,
) -> dict[str, Workspace] | None:
    if entries is None:
        return None
    return {
        key: Workspace(entry.name, entry.rank)
        for entry in entries
        for key in entry.keys
    }
