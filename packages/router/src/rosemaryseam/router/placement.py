"""The choice of an upstream for a request, and what its outcome teaches."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.router.requests import AnswerHead, CallerRequest
    from rosemaryseam.router.routes import Route, Service
    from rosemaryseam.router.upstreams import Upstream


class UnplacedRequest(NamedTuple):
    """A request that needs an upstream.

    ``rank`` is the route's urgency, 0 first; a workspace's rank goes before it.
    ``excluded`` upstreams failed the request before. ``due`` and ``expires`` are times
    on the monotonic clock: the latency target and the end of the caller's patience.
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


class NoUpstreamError(Exception):
    """No upstream should get a request now.

    :param reason: one line
    :param retry_after_s: when another try makes sense
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class Ticket(abc.ABC):
    """A request that was placed; told what becomes of it.

    ``inputs`` is what decided the choice, for the log. ``fetch_from`` is an engine
    that holds more of the prompt. ``first_s`` is how long the first event took,
    ``pause_s`` the longest pause between events so far.
    """

    upstream: Upstream
    urgency: int | None
    fetch_from: Address | None
    first_event_s: float | None
    longest_pause_s: float
    inputs: dict[str, object]

    @abc.abstractmethod
    def on_answer_head(self, head: AnswerHead) -> None:
        """Note that the head of the answer arrived.

        :param head: the head
        """

    @abc.abstractmethod
    def on_event(self) -> None:
        """Note that an event of a stream arrived."""

    def is_overdue(self) -> bool:
        """Return whether waiting for the upstream any longer is in vain."""
        return False

    @abc.abstractmethod
    def end(self, outcome: str) -> None:
        """Note the end; the first call counts.

        :param outcome: ``done``, ``failed``, ``failed_again`` (after another
            upstream had failed the same request), ``declined``, ``unreachable``,
            ``silent`` or ``cancelled``
        """


class Placer(abc.ABC):
    """Decides where requests go and when they are refused."""

    @abc.abstractmethod
    def place(self, unplaced: UnplacedRequest, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket for an upstream.

        :param unplaced: the request
        :param upstreams: those that may get it
        :raises NoUpstreamError: none should get it now
        """


class _CountingTicket(Ticket):
    """Counts a request on its upstream until it ends."""

    def __init__(self, placer: LeastLoadedPlacer, upstream: Upstream) -> None:
        self._placer = placer
        self._ended = False
        self.upstream = upstream
        self.urgency = None
        self.fetch_from = None
        self.first_event_s = None
        self.longest_pause_s = 0.0
        self.inputs = {'in_flight': placer.in_flight(upstream)}
        placer.add(upstream, 1)

    def on_answer_head(self, head: AnswerHead) -> None:
        """Learn nothing."""

    def on_event(self) -> None:
        """Learn nothing."""

    def end(self, outcome: str) -> None:
        """Count the request as ended."""
        if not self._ended:
            self._ended = True
            self._placer.add(self.upstream, -1)


class LeastLoadedPlacer(Placer):
    """Sends each request where this host has the fewest; the measured baseline."""

    def __init__(self) -> None:
        self._in_flight: dict[tuple[str, int], int] = {}

    def place(self, unplaced: UnplacedRequest, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket for the upstream with the fewest requests."""
        open_ones = [entry for entry in upstreams if entry.id not in unplaced.excluded]
        if not open_ones:
            raise NoUpstreamError('no upstream is registered', 0.5)
        chosen = min(open_ones, key=self.in_flight)
        return _CountingTicket(self, chosen)

    def in_flight(self, upstream: Upstream) -> int:
        """Return how many requests of this host an upstream has.

        :param upstream: the upstream
        """
        return self._in_flight.get(upstream.incarnation, 0)

    def add(self, upstream: Upstream, count: int) -> None:
        """Change an upstream's count.

        :param upstream: the upstream
        :param count: what to add
        """
        key = upstream.incarnation
        self._in_flight[key] = self._in_flight.get(key, 0) + count
