"""The catalogue of request classes, workspaces, routes, pools and upstreams."""

from __future__ import annotations

from typing import Annotated, Any, Literal, NamedTuple

from pydantic import Field

from rosemaryseam.common.addresses import AddressText
from rosemaryseam.common.documents import (
    Document,
    DocumentFaultsError,
    Fault,
    parse_document,
    validate_document,
)
from rosemaryseam.common.errors import CatalogueError

Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')]
KeyHash = Annotated[str, Field(pattern=r'^[0-9a-f]{64}$')]
PositiveInt = Annotated[int, Field(gt=0)]
Milliseconds = Annotated[int, Field(gt=0, le=86_400_000)]
FloorShare = Annotated[float, Field(ge=0.0, le=0.5)]
Weight = Annotated[float, Field(gt=0.0, le=1000.0)]

MAX_FLOOR_TOTAL = 0.5


class Target(NamedTuple):
    """The latency target of a class, in milliseconds.

    Either ``first_token_ms`` bounds the time to the first token, or ``answer_ms`` the
    time to the end of the answer.
    """

    first_token_ms: Milliseconds | None = None
    answer_ms: Milliseconds | None = None

    @property
    def latency_s(self) -> float:
        """The latency target that applies, in seconds."""
        return (self.first_token_ms or self.answer_ms or 0) / 1000


class RequestClass(NamedTuple):
    """A class of requests with its priority, latency target and time limits.

    Tier 0 has the highest priority. ``floor`` is the share of the capacity that the
    class gets even while higher tiers wait. ``on_miss`` tells whether a request that
    cannot meet its target waits or is refused on arrival. ``max_wait_ms`` bounds the
    time in the queue, ``max_run_ms`` the time of execution. Running requests of a
    ``preemptible`` class may be cancelled in favour of higher tiers.
    """

    name: Name
    tier: Annotated[int, Field(ge=0, le=7)]
    target: Target
    idempotent: bool = True
    floor: FloorShare = 0.0
    on_miss: Literal['wait', 'shed'] = 'wait'
    max_wait_ms: Milliseconds = 30_000
    max_run_ms: Milliseconds = 600_000
    preemptible: bool = False


class Workspace(NamedTuple):
    """A workspace: the SHA-256 hashes of its keys, in hex, and its permissions.

    ``classes`` are the request classes that it may use. ``weight`` is its share of the
    capacity relative to other workspaces. With ``may_choose_class``, its callers may
    name the class of a request.
    """

    name: Name
    keys: tuple[KeyHash, ...]
    classes: tuple[Name, ...]
    weight: Weight = 1.0
    may_choose_class: bool = False


class Route(NamedTuple):
    """A rule that assigns a class to matching requests; the first match applies."""

    request_class: Name
    path: str | None = None
    model: str | None = None
    workspace: Name | None = None


class Pool(NamedTuple):
    """A set of upstreams that serve the same requests."""

    name: Name
    kind: Literal['engine', 'app']
    models: tuple[str, ...] = ()


class Limits(NamedTuple):
    """The capacity that an upstream's owner makes available.

    ``concurrent`` is a number of requests in flight.
    """

    concurrent: PositiveInt
    tokens_per_second: PositiveInt | None = None


class Upstream(NamedTuple):
    """An upstream, its owner and the capacity that the owner makes available.

    Without ``classes``, it serves all request classes. With ``drain``, it gets no new
    requests. ``checks_fencing`` is accepted but has no effect.
    """

    name: Name
    pool: Name
    owner: Name
    address: AddressText
    zone: Name
    limits: Limits
    classes: tuple[Name, ...] = ()
    checks_fencing: bool = False
    drain: bool = False


class Catalogue(NamedTuple):
    """The configuration that operators maintain."""

    classes: tuple[RequestClass, ...]
    workspaces: tuple[Workspace, ...]
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]
    upstreams: tuple[Upstream, ...]


def load_catalogue(text: str) -> Catalogue:
    """Parse and check a catalogue as a whole.

    :param text: the YAML document
    :raises CatalogueError: it is invalid; the message names line, key and fault
    """
    try:
        document = parse_document(text)
        catalogue = validate_document(document, Catalogue)
        faults = _find_faults(catalogue, document)
        if faults:
            raise DocumentFaultsError(faults)
    except DocumentFaultsError as exc:
        raise CatalogueError(f'catalogue: {exc}') from exc
    return catalogue


def _find_faults(catalogue: Catalogue, document: Document) -> list[Fault]:
    return [
        *_find_repeated_names(catalogue, document),
        *_find_unknown_names(catalogue, document),
        *_find_repeated_values(catalogue, document),
        *_find_class_faults(catalogue, document),
    ]


def _find_repeated_names(catalogue: Catalogue, document: Document) -> list[Fault]:
    faults = []
    for section in ('classes', 'workspaces', 'pools', 'upstreams'):
        seen: set[str] = set()
        for index, entry in enumerate(getattr(catalogue, section)):
            if entry.name in seen:
                path = (section, index, 'name')
                faults.append(document.fault(path, f'repeated name {entry.name!r}'))
            seen.add(entry.name)
    return faults


def _find_unknown_names(catalogue: Catalogue, document: Document) -> list[Fault]:
    classes = {entry.name for entry in catalogue.classes}
    pools = {entry.name for entry in catalogue.pools}
    workspaces = {entry.name for entry in catalogue.workspaces}
    references: list[tuple[tuple[str | int, ...], str, set[str]]] = []
    for index, workspace in enumerate(catalogue.workspaces):
        for at, name in enumerate(workspace.classes):
            path = ('workspaces', index, 'classes', at)
            references.append((path, name, classes))
    for index, route in enumerate(catalogue.routes):
        path = ('routes', index, 'request_class')
        references.append((path, route.request_class, classes))
        if route.workspace is not None:
            path = ('routes', index, 'workspace')
            references.append((path, route.workspace, workspaces))
    for index, upstream in enumerate(catalogue.upstreams):
        references.append((('upstreams', index, 'pool'), upstream.pool, pools))
        for at, name in enumerate(upstream.classes):
            references.append((('upstreams', index, 'classes', at), name, classes))
    return [
        document.fault(path, f'unknown name {name!r}')
        for path, name, known in references
        if name not in known
    ]


def _find_repeated_values(catalogue: Catalogue, document: Document) -> list[Fault]:
    values: list[tuple[tuple[str | int, ...], Any]] = []
    for index, workspace in enumerate(catalogue.workspaces):
        for at, key in enumerate(workspace.keys):
            values.append((('workspaces', index, 'keys', at), key))
    for index, upstream in enumerate(catalogue.upstreams):
        values.append((('upstreams', index, 'address'), upstream.address))
    for index, pool in enumerate(catalogue.pools):
        for at, model in enumerate(pool.models):
            values.append((('pools', index, 'models', at), ('model', model)))
    seen: set[Any] = set()
    faults = []
    for path, value in values:
        if value in seen:
            faults.append(document.fault(path, 'appears elsewhere too'))
        seen.add(value)
    return faults


def _find_class_faults(catalogue: Catalogue, document: Document) -> list[Fault]:
    faults = []
    for index, entry in enumerate(catalogue.classes):
        given = [value for value in entry.target if value is not None]
        if len(given) != 1:
            path = ('classes', index, 'target')
            message = 'give either first_token_ms or answer_ms'
            faults.append(document.fault(path, message))
        if entry.preemptible and not entry.idempotent:
            path = ('classes', index, 'preemptible')
            message = 'a class that is not idempotent cannot be preempted'
            faults.append(document.fault(path, message))
    total = sum(entry.floor for entry in catalogue.classes)
    if total > MAX_FLOOR_TOTAL:
        message = f'floors add up to {total:.2f}, more than {MAX_FLOOR_TOTAL}'
        faults.append(document.fault(('classes',), message))
    return faults
