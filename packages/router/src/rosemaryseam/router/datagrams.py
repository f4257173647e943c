"""Messages between hosts about the placement of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.router.crashreports import CrashReport, QuarantinedPart
    from rosemaryseam.router.origins import StreamOrigin
    from rosemaryseam.router.queries import (
        InFlightReport,
        PlacedPrompt,
        Placement,
        Query,
    )
    from rosemaryseam.router.requestlimits import LimitReport


class DispatchRequest(NamedTuple):
    """A request to place, addressed to the dispatcher of a slot."""

    slot: int
    query: Query


class Reply(NamedTuple):
    """The dispatcher's reply to a request: a placement or a refusal.

    ``pressure`` is the load of its engines between 0 and 1. ``no_upstream_known`` is
    set when the dispatcher knows no upstream of the service yet; the request then goes
    to another dispatcher.
    """

    number: int
    placement: Placement | None
    refusal: str
    retry_after_s: float
    pressure: float
    no_upstream_known: bool = False


class EndedRequest(NamedTuple):
    """The outcome and duration of a request that is no longer in flight."""

    number: int
    outcome: str
    duration_s: float


class Incarnation(NamedTuple):
    """The id and the start of an upstream."""

    id: str
    born: int


class PartMessage(NamedTuple):
    """A message of one part of the router to the same part of another host.

    ``kind`` names the part, ``body`` consists of JSON types.
    """

    kind: str
    body: Any


class Datagram(NamedTuple):
    """A batch of messages from one host to another.

    In a ``sync`` datagram ``active`` holds the numbers of all in-flight requests that
    the receiver placed or adopted for the sender. ``left`` holds upstreams that told
    the sender that they stop. ``crashes`` holds engines that crashed with requests that
    the sender forwarded, ``quarantined`` the prompt parts that get no engine.
    ``limits`` holds the request limits that upstreams stated to the sender. ``origins``
    holds what the sender knows of the beginning of streams, ``origin_lookups`` the ids
    of the requests that began the streams it asks about. The receiver writes
    ``origins_to_write`` to the store. ``messages`` are those of other parts.
    ``unreadable`` holds the reasons for which entries were left out.
    """

    host: str
    incarnation: int
    leaving: bool = False
    sync: bool = False
    dispatch_requests: tuple[DispatchRequest, ...] = ()
    replies: tuple[Reply, ...] = ()
    started: tuple[int, ...] = ()
    ended: tuple[EndedRequest, ...] = ()
    in_flight: tuple[InFlightReport, ...] = ()
    active: tuple[int, ...] = ()
    placed: tuple[PlacedPrompt, ...] = ()
    left: tuple[Incarnation, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    quarantined: tuple[QuarantinedPart, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    origins: tuple[StreamOrigin, ...] = ()
    origin_lookups: tuple[str, ...] = ()
    origins_to_write: tuple[StreamOrigin, ...] = ()
    messages: tuple[PartMessage, ...] = ()
    unreadable: tuple[str, ...] = ()
