"""Transfers in-flight requests and recent prompts to a new dispatcher."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.prefixes import PART_REUSE_WINDOW_S
from rosemaryseam.router.datagrams import EndedRequest, Incarnation
from rosemaryseam.router.queries import PlacedPrompt
from rosemaryseam.router.statedload import LoadExchange

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.prefixes import Part
    from rosemaryseam.router.hostlink import HostLink
    from rosemaryseam.router.tickets import DispatchTicket
    from rosemaryseam.router.upstreams import Upstream
    from rosemaryseam.router.upstreamtracker import UpstreamTracker

    OutcomeReport = Callable[[Upstream, str, Callable[[str], None]], None]

MAX_RECENT_PROMPTS = 1000  # sent by this host, kept for handover


class _SentPrompt(NamedTuple):
    """A prompt that this host sent; ``at`` is monotonic time in seconds."""

    at: float
    upstream: str
    parts: tuple[Part, ...]


class Handover:
    """Remembers the dispatcher of each upstream and hands state over when it changes.

    The new dispatcher gets this host's requests in flight, the prompts that its engines
    may still have in their caches, and the request limits that it knows.

    :param host: address of this host
    :param clock: clock of the process
    :param tracker: upstream tracker of this host
    """

    def __init__(self, host: str, clock: Clock, tracker: UpstreamTracker) -> None:
        self._host = host
        self._clock = clock
        self._tracker = tracker
        self._link: HostLink | None = None
        self._report_outcome: OutcomeReport = _report_at_once
        self._dispatchers: dict[str, str] = {}
        self._active: dict[int, DispatchTicket] = {}
        self._prompts: deque[_SentPrompt] = deque(maxlen=MAX_RECENT_PROMPTS)
        self._slowdowns: dict[str, float] = {}
        self.loads = LoadExchange(host, clock, tracker, self._dispatchers.get)

    def connect(self, link: HostLink) -> None:
        """Set the link over which other hosts are reached.

        :param link: link to the other hosts
        """
        self._link = link
        self.loads.connect(link)

    def filter_outcomes(self, report: OutcomeReport) -> None:
        """Set a function that decides which outcome is reported, and when.

        :param report: called with the upstream, the outcome and what reports it
        """
        self._report_outcome = report

    def dispatcher(self, upstream: str) -> str | None:
        """Return the address of an upstream's dispatcher, if it is known.

        :param upstream: id of the upstream
        """
        return self._dispatchers.get(upstream) or None

    def dispatchers(self) -> set[str]:
        """Return the other hosts that track upstreams for this one."""
        return {host for host in self._dispatchers.values() if host != self._host}

    def assigned_upstreams(self) -> list[str]:
        """Return the ids of the upstreams that were assigned to a dispatcher."""
        return list(self._dispatchers)

    def active_requests(self, dispatcher: str) -> list[int]:
        """Return the numbers of this host's in-flight requests at a dispatcher.

        :param dispatcher: address of the dispatcher
        """
        return [
            number
            for number, ticket in self._active.items()
            if ticket.dispatcher == dispatcher
        ]

    # Request lifecycle.

    def record_placement(self, ticket: DispatchTicket) -> None:
        """Record a request that was placed.

        :param ticket: ticket of the request
        """
        self._active[ticket.number] = ticket
        if ticket.parts:
            prompt = _SentPrompt(
                self._clock.monotonic(), ticket.upstream.id, ticket.parts
            )
            self._prompts.append(prompt)
            self._slowdowns[ticket.upstream.id] = ticket.engine_slowdown

    def record_end(self, ticket: DispatchTicket) -> None:
        """Record that a request is no longer in flight.

        :param ticket: ticket of the request
        """
        self._active.pop(ticket.number, None)

    def end(self, ticket: DispatchTicket, outcome: str, duration_s: float) -> None:
        """Record the end of a request and report it to the dispatcher.

        :param ticket: ticket of the request
        :param outcome: outcome, as passed to :meth:`Ticket.end`
        :param duration_s: time since the placement, in seconds
        """

        def report(reported: str) -> None:
            self.record_end(ticket)
            self._tracker.crashes.record_outcome(
                ticket.upstream, ticket.query, reported
            )
            entry = EndedRequest(ticket.number, reported, duration_s)
            self.report_ended(ticket.dispatcher, entry)

        self._report_outcome(ticket.upstream, outcome, report)

    def report_left(self, upstream: Upstream) -> None:
        """Tell the dispatcher of an upstream that it has left.

        :param upstream: incarnation that gets no new requests from this host
        """
        dispatcher = self._dispatchers.get(upstream.id)
        if self._is_remote(dispatcher):
            self._link.send_left(dispatcher, Incarnation(*upstream.incarnation))

    def report_limit(self, ticket: DispatchTicket, limit: float | None) -> None:
        """Record the request limit that an answer states.

        :param ticket: ticket of the request that was answered
        :param limit: requests per second, ``None`` if the answer states no limit
        """
        upstream = ticket.upstream
        report = self._tracker.limits.record_answer(
            upstream.incarnation, limit, ticket.placed_at
        )
        dispatcher = self._dispatchers.get(upstream.id)
        if report is not None and self._is_remote(dispatcher):
            self._link.send_limit(dispatcher, report)

    def report_brittle(self, ticket: DispatchTicket, limit: float | None) -> None:
        """Record the brittleness that an answer states.

        :param ticket: ticket of the request that was answered
        :param limit: rejections per second, ``None`` if the answer states none
        """
        upstream = ticket.upstream
        dispatcher = self._dispatchers.get(upstream.id, '')
        self._tracker.brittleness.record_answer(
            upstream, limit, ticket.placed_at, dispatcher
        )

    def retain(self, upstreams: Iterable[str]) -> None:
        """Drop the dispatchers and engine slowdowns of all other upstreams.

        :param upstreams: ids of the upstreams in use
        """
        names = set(upstreams)
        for known in (self._dispatchers, self._slowdowns):
            for name in [name for name in known if name not in names]:
                del known[name]

    def clear_dispatcher(self, host: str) -> None:
        """Clear the assignments to a dispatcher that lost its state in a restart.

        The next :meth:`assign` to any host hands the state over again.

        :param host: address of the restarted host
        """
        for name in [
            name for name, dispatcher in self._dispatchers.items() if dispatcher == host
        ]:
            self._dispatchers[name] = ''

    # Transfer to a new dispatcher.

    def assign(self, upstreams: Sequence[str], dispatcher: str) -> None:
        """Assign upstreams to a dispatcher and hand over those that are new to it.

        :param upstreams: ids of the upstreams
        :param dispatcher: address of the dispatcher
        """
        reassigned = {
            name for name in upstreams if self._dispatchers.get(name) != dispatcher
        }
        if not reassigned:
            return
        previous = {self._dispatchers.get(name) for name in reassigned} - {None}
        for name in reassigned:
            self._dispatchers[name] = dispatcher
        tickets = [
            entry for entry in self._active.values() if entry.upstream.id in reassigned
        ]
        prompts = self._recent_prompts(reassigned)
        if previous:
            log_event(
                'dispatcher_changed',
                dispatcher=dispatcher,
                previous=sorted(previous),
                upstreams=len(reassigned),
                requests=len(tickets),
                prompts=len(prompts),
            )
        for prompt in prompts:
            self._report_placed(dispatcher, prompt)
        for ticket in tickets:
            self._transfer(ticket, dispatcher)
        if self._is_remote(dispatcher):
            for report in self._tracker.limits.reports(reassigned):
                self._link.send_limit(dispatcher, report)
            self._tracker.brittleness.hand_over(reassigned, dispatcher)
            self.loads.tell(dispatcher, reassigned)

    def _is_remote(self, dispatcher: str | None) -> bool:
        # The name is empty for a dispatcher that lost its state in a restart.
        return bool(dispatcher) and dispatcher != self._host and self._link is not None

    def _recent_prompts(self, upstreams: set[str]) -> list[PlacedPrompt]:
        """Return the prompts that engines may still have cached, the oldest first."""
        now = self._clock.monotonic()
        return [
            PlacedPrompt(
                prompt.upstream,
                prompt.parts,
                self._slowdowns.get(prompt.upstream, 1.0),
                now - prompt.at,
            )
            for prompt in self._prompts
            if prompt.upstream in upstreams and now - prompt.at < PART_REUSE_WINDOW_S
        ]

    def _transfer(self, ticket: DispatchTicket, dispatcher: str) -> None:
        previous, ticket.dispatcher = ticket.dispatcher, dispatcher
        if previous not in ('', dispatcher):
            self.report_ended(previous, EndedRequest(ticket.number, 'cancelled', 0.0))
        if dispatcher == self._host or self._link is None:
            self._tracker.adopt_request(self._host, ticket.to_in_flight_report())
        else:
            self._link.send_in_flight(dispatcher, ticket.to_in_flight_report())

    def _report_placed(self, dispatcher: str, placed: PlacedPrompt) -> None:
        if dispatcher == self._host or self._link is None:
            self._tracker.adopt_prompt(placed)
        else:
            self._link.send_placed(dispatcher, placed)

    def report_ended(self, dispatcher: str, entry: EndedRequest) -> None:
        """Report to a dispatcher, local or remote, how a request ended.

        :param dispatcher: address of the dispatcher
        :param entry: number, outcome and duration of the request
        """
        if dispatcher == self._host or self._link is None:
            self._tracker.record_end(
                self._host, entry.number, entry.outcome, entry.duration_s
            )
        else:
            self._link.send_ended(dispatcher, entry)

    def report_started(self, ticket: DispatchTicket) -> None:
        """Report to the dispatcher of a request that its answer has started.

        :param ticket: ticket of the request
        """
        self._tracker.crashes.record_begin(ticket.query)
        if ticket.dispatcher == self._host or self._link is None:
            self._tracker.record_first_event(self._host, ticket.number)
        else:
            self._link.send_started(ticket.dispatcher, ticket.number)


def _report_at_once(_: Upstream, outcome: str, report: Callable[[str], None]) -> None:
    report(outcome)
