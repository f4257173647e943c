"""Messages between hosts; ``wire.capnp`` defines their encoding."""

from __future__ import annotations

from typing import NamedTuple


class MemberInfo(NamedTuple):
    """Describes a process of the fleet.

    ``state`` is one of the states defined in :mod:`.member`.
    """

    host: str
    incarnation: int
    zone: str
    address: str
    state: str


class UpstreamMark(NamedTuple):
    """Marks an upstream as leaving or not; the highest version wins."""

    upstream: str
    version: int
    leaving: bool


class Heartbeat(NamedTuple):
    """Reports the sender's state to each member at the heartbeat interval.

    ``echo`` is the highest sequence number received from the recipient.
    """

    sender: MemberInfo
    sequence: int
    echo: int
    revision: int
    members: tuple[MemberInfo, ...]
    marks: tuple[UpstreamMark, ...]


class CatalogueWant(NamedTuple):
    """Requests a catalogue newer than ``revision`` from a peer."""

    revision: int


class CatalogueOffer(NamedTuple):
    """Carries a catalogue revision in its stored encoding."""

    data: bytes


class GrantRequest(NamedTuple):
    """Requests a grant from the dispatcher of a partition; may be resent.

    ``age_ms`` is the time since the request's arrival and determines its place in the
    queue. ``waiting_ms`` is the time since this wait began, which is shorter for a
    request whose answer was interrupted.
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
    """Identifies a dispatcher's term for a partition; epochs are totally ordered."""

    number: int
    host: str


class Grant(NamedTuple):
    """Allows one call to an upstream if it arrives within the grant's time to live."""

    key: str
    partition: str
    epoch: Epoch
    sequence: int
    upstream: str


class Refusal(NamedTuple):
    """Refuses a request that waits for a grant."""

    key: str
    code: int
    message: str
    retry_after_ms: int


class NotOwner(NamedTuple):
    """Reports to a gateway that the sender does not dispatch the partition."""

    key: str
    partition: str


class Withdraw(NamedTuple):
    """Cancels a grant request that no longer waits."""

    key: str
    partition: str


class Release(NamedTuple):
    """Reports the end of the call that a grant allowed."""

    key: str
    partition: str
    upstream: str
    outcome: str
    first_token_ms: int
    events: int
    duration_ms: int


class Preempt(NamedTuple):
    """Orders a gateway to end a call, release its grant and requeue the request."""

    key: str
    partition: str


class Takeover(NamedTuple):
    """Announces that the sender takes over a partition."""

    partition: str
    epoch: Epoch


class Held(NamedTuple):
    """Describes a grant in use, with the number of events received of its answer."""

    key: str
    upstream: str
    request_class: str
    workspace: str
    events: int


class Ceiling(NamedTuple):
    """Limits the number of grants that a host may hold on an upstream at a time."""

    host: str
    upstream: str
    count: int


class Holdings(NamedTuple):
    """Reports all grants of a partition that a host holds.

    ``sequence`` is the highest grant number received in this epoch. ``ceilings`` are
    those of the last lease that the host accepted from any dispatcher of the partition;
    ``informed`` tells whether it has accepted one.
    """

    partition: str
    epoch: Epoch
    sequence: int
    held: tuple[Held, ...]
    ceilings: tuple[Ceiling, ...]
    informed: bool


class Superseded(NamedTuple):
    """Reports to a dispatcher that the sender has promised a newer epoch."""

    partition: str
    epoch: Epoch


class Lease(NamedTuple):
    """Renews a dispatcher's lease on a partition and announces ceilings."""

    partition: str
    epoch: Epoch
    version: int
    ceilings: tuple[Ceiling, ...]


class LeaseAck(NamedTuple):
    """Acknowledges a lease and its ceilings."""

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
    """Holds a message and the name of the host that sent it."""

    host: str
    message: Message
