"""Interfaces for placing requests on upstreams, and a least-loaded placer."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.router.requests import AnswerHead, CallerRequest
    from rosemaryseam.router.routes import Route, Service
    from rosemaryseam.router.upstreamconnection import ConnectionPath
    from rosemaryseam.router.upstreams import Upstream


class UnplacedRequest(NamedTuple):
    """A request that needs an upstream.

    ``rank`` is the urgency rank of the route, 0 first; a workspace's rank takes
    precedence over it. ``excluded`` holds the ids of upstreams that already failed the
    request. ``due_at`` (the latency target) and ``expires_at`` (the end of the caller's
    timeout) are times on the monotonic clock. ``version`` is the only version of
    upstreams' software that may serve it, ``None`` if any may.
    """

    request: CallerRequest
    route: Route
    service: Service
    rank: int
    workspace_rank: int | None
    excluded: frozenset[str]
    due_at: float
    expires_at: float
    is_retry: bool
    version: str | None = None


class NoUpstreamError(Exception):
    """No upstream should get a request now.

    :param reason: reason in one line
    :param retry_after_s: seconds until a retry may succeed
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class Ticket(abc.ABC):
    """Tracks a placed request and is notified of its progress.

    ``inputs`` holds the values behind the placement decision, for the log.
    ``fetch_from`` is the address of an engine that has cached more of the prompt.
    ``first_event_s`` is the time to the first event, ``longest_pause_s`` the longest
    pause between events so far.
    """

    upstream: Upstream
    urgency: int | None
    fetch_from: Address | None
    first_event_s: float | None
    longest_pause_s: float
    inputs: dict[str, object]
    expected_first_s = 0.0  # from the placement to the first event
    path: ConnectionPath | None = None  # of the connection that carries the request

    @abc.abstractmethod
    def on_answer_head(self, head: AnswerHead) -> None:
        """Handle the arrival of the answer's head.

        :param head: head of the answer
        """

    @abc.abstractmethod
    def on_event(self) -> None:
        """Handle the arrival of an event of the stream."""

    def is_overdue(self) -> bool:
        """Return whether the upstream has exceeded its time limit for the next data."""
        return False

    @abc.abstractmethod
    def end(self, outcome: str) -> None:
        """Record the end of the request; only the first call has an effect.

        :param outcome: ``done``, ``failed``, ``failed_again`` (after another
            upstream had failed the same request), ``crashed`` (broken off, and the
            upstream refuses connections now), ``declined``, ``rejected`` (declined
            for lack of capacity), ``unreachable``, ``silent`` or ``cancelled``
        """


class Placer(abc.ABC):
    """Selects upstreams for requests and refuses requests under overload."""

    @abc.abstractmethod
    def place(self, unplaced: UnplacedRequest, upstreams: Sequence[Upstream]) -> Ticket:
        """Place a request and return its ticket.

        :param unplaced: request to place
        :param upstreams: eligible upstreams
        :raises NoUpstreamError: if no upstream should get the request now
        """

    def report_left(self, upstream: Upstream) -> None:  # noqa: B027
        """Tell other hosts that place requests on an upstream that it has left.

        :param upstream: incarnation that gets no new requests from this host
        """


class _CountingTicket(Ticket):
    """Counts a request as in flight on its upstream until it ends."""

    def __init__(self, placer: LeastLoadedPlacer, upstream: Upstream) -> None:
        self._placer = placer
        self._ended = False
        self.upstream = upstream
        self.urgency = None
        self.fetch_from = None
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self.inputs = {'in_flight': placer.in_flight(upstream)}
        placer.adjust(upstream, 1)

    def on_answer_head(self, head: AnswerHead) -> None:
        """Do nothing."""

    def on_event(self) -> None:
        """Do nothing."""

    def end(self, outcome: str) -> None:
        """Decrement the in-flight count of the upstream once."""
        if not self._ended:
            self._ended = True
            self._placer.adjust(self.upstream, -1)


class LeastLoadedPlacer(Placer):
    """Selects the upstream with the fewest requests of this host.

    Serves as the baseline in experiments.
    """

    def __init__(self) -> None:
        self._in_flight: dict[tuple[str, int], int] = {}

    def place(self, unplaced: UnplacedRequest, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket for the upstream with the fewest requests."""
        eligible = [entry for entry in upstreams if entry.id not in unplaced.excluded]
        if not eligible:
            raise NoUpstreamError('no upstream is registered', 0.5)
        chosen = min(eligible, key=self.in_flight)
        return _CountingTicket(self, chosen)

    def in_flight(self, upstream: Upstream) -> int:
        """Return the number of this host's requests in flight on an upstream.

        :param upstream: upstream to look up
        """
        return self._in_flight.get(upstream.incarnation, 0)

    def adjust(self, upstream: Upstream, count: int) -> None:
        """Change the in-flight count of an upstream.

        :param upstream: upstream to update
        :param count: number to add, may be negative
        """
        key = upstream.incarnation
        self._in_flight[key] = self._in_flight.get(key, 0) + count
