"""The messages between hosts; ``wire.capnp`` gives their form on the wire."""

from __future__ import annotations

from typing import NamedTuple


class MemberInfo(NamedTuple):
    """One process of the fleet. ``state`` is one of :mod:`.member`'s states."""

    host: str
    incarnation: int
    zone: str
    address: str
    state: str


class UpstreamMark(NamedTuple):
    """Whether an upstream is leaving; the highest version counts."""

    upstream: str
    version: int
    leaving: bool


class Heartbeat(NamedTuple):
    """Sent to each member at the heartbeat interval.

    ``echo`` is the highest sequence number received from the addressee.
    """

    sender: MemberInfo
    sequence: int
    echo: int
    revision: int
    members: tuple[MemberInfo, ...]
    marks: tuple[UpstreamMark, ...]


class CatalogueWant(NamedTuple):
    """Asks a peer for a catalogue newer than ``revision``."""

    revision: int


class CatalogueOffer(NamedTuple):
    """A catalogue revision in its stored form."""

    data: bytes


class GrantRequest(NamedTuple):
    """Asks the dispatcher of a partition for an upstream; may be sent again.

    ``age_ms`` counts from the request's arrival and gives it its place;
    ``waiting_ms`` counts from the begin of this wait, which comes later for a request
    whose answer was interrupted.
    """

    key: str
    partition: str
    request_class: str
    workspace: str
    excluded: tuple[str, ...]
    prefix: str
    age_ms: int
    waiting_ms: int


class Epoch(NamedTuple):
    """Orders the dispatchers of a partition."""

    number: int
    host: str


class Grant(NamedTuple):
    """Allows one call to one upstream, within the grant's time to live."""

    key: str
    partition: str
    epoch: Epoch
    sequence: int
    upstream: str


class Refusal(NamedTuple):
    """Ends a wait without an upstream."""

    key: str
    code: int
    message: str
    retry_after_ms: int


class NotOwner(NamedTuple):
    """The addressee of a grant request does not dispatch its partition."""

    key: str
    partition: str


class Withdraw(NamedTuple):
    """The request no longer waits."""

    key: str
    partition: str


class Release(NamedTuple):
    """The call that a grant allowed has ended."""

    key: str
    partition: str
    upstream: str
    outcome: str
    first_token_ms: int
    events: int
    duration_ms: int


class Preempt(NamedTuple):
    """Asks a gateway to give a grant back and to wait again."""

    key: str
    partition: str


class Takeover(NamedTuple):
    """A host starts to dispatch a partition."""

    partition: str
    epoch: Epoch


class Held(NamedTuple):
    """A grant in use and how many events of its answer have come."""

    key: str
    upstream: str
    request_class: str
    workspace: str
    events: int


class Ceiling(NamedTuple):
    """The most grants on an upstream that a host may hold at a time."""

    host: str
    upstream: str
    count: int


class Holdings(NamedTuple):
    """All grants of a partition that a host holds.

    ``sequence`` is the highest grant number seen in this epoch; ``ceilings`` are
    the last that the host heard from any dispatcher of the partition, and
    ``informed`` tells whether it heard any.
    """

    partition: str
    epoch: Epoch
    sequence: int
    held: tuple[Held, ...]
    ceilings: tuple[Ceiling, ...]
    informed: bool


class Superseded(NamedTuple):
    """The addressee's epoch is older than one that the sender has promised."""

    partition: str
    epoch: Epoch


class Lease(NamedTuple):
    """A dispatcher renews its lease on a partition and announces ceilings."""

    partition: str
    epoch: Epoch
    version: int
    ceilings: tuple[Ceiling, ...]


class LeaseAck(NamedTuple):
    """A host accepts a lease and its ceilings."""

    partition: str
    epoch: Epoch
    version: int


Message = (
    Heartbeat
    | CatalogueWant
    | CatalogueOffer
    | GrantRequest
    | Grant
    | Refusal
    | NotOwner
    | Withdraw
    | Release
    | Preempt
    | Takeover
    | Holdings
    | Superseded
    | Lease
    | LeaseAck
)


class Received(NamedTuple):
    """A message with the host that sent it."""

    host: str
    message: Message
