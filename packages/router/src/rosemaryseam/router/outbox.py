"""Messages that wait to be sent to another host, and their datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from rosemaryseam.router.crashreports import CrashReport
    from rosemaryseam.router.datagrams import (
        Datagram,
        DispatchRequest,
        EndedRequest,
        Incarnation,
        PartMessage,
        Reply,
    )
    from rosemaryseam.router.origins import StreamOrigin
    from rosemaryseam.router.queries import InFlightReport, PlacedPrompt
    from rosemaryseam.router.requestlimits import LimitReport

T = TypeVar('T')

MAX_ENTRIES = 100  # per datagram, of what there may be much


class Outbox:
    """Messages queued for one host in the current turn of the event loop."""

    def __init__(self) -> None:
        self.dispatch_requests: list[DispatchRequest] = []
        self.replies: list[Reply] = []
        self.started: list[int] = []
        self.ended: list[EndedRequest] = []
        self.in_flight: list[InFlightReport] = []
        self.placed: list[PlacedPrompt] = []
        self.left: list[Incarnation] = []
        self.limits: list[LimitReport] = []
        self.crashes: list[CrashReport] = []
        self.origins: list[StreamOrigin] = []
        self.origins_to_write: list[StreamOrigin] = []
        self.origin_lookups: list[str] = []
        self.messages: list[PartMessage] = []

    def datagrams(self, empty: Datagram) -> Iterator[Datagram]:
        """Yield the datagrams that hold all messages.

        State that a dispatcher takes over goes ahead of any requests to it.

        :param empty: datagram of this host without any messages
        """
        chunks: list[tuple[str, Sequence[Any]]] = [
            ('placed', self.placed),
            ('in_flight', self.in_flight),
            ('origins', self.origins),
            ('origins_to_write', self.origins_to_write),
            ('messages', self.messages),
        ]
        for field, entries in chunks:
            for chunk in _split(entries):
                yield empty._replace(**{field: chunk})
        for report in self.crashes:  # many engines may crash at once, and one fits
            yield empty._replace(crashes=(report,))
        rest = empty._replace(
            dispatch_requests=tuple(self.dispatch_requests),
            replies=tuple(self.replies),
            started=tuple(self.started),
            ended=tuple(self.ended),
            left=tuple(self.left),
            limits=tuple(self.limits),
            origin_lookups=tuple(self.origin_lookups),
        )
        if rest != empty:
            yield rest


def _split(entries: Sequence[T]) -> Iterator[tuple[T, ...]]:
    for start in range(0, len(entries), MAX_ENTRIES):
        yield tuple(entries[start : start + MAX_ENTRIES])
