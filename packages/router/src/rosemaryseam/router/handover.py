"""Hands what this host knows of upstreams to the dispatchers that take them over."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.prefixes import PART_REUSE_WINDOW_S
from rosemaryseam.router.datagrams import EndedRequest
from rosemaryseam.router.queries import Placed

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.prefixes import Part
    from rosemaryseam.router.hostlink import HostLink
    from rosemaryseam.router.tickets import DispatchTicket
    from rosemaryseam.router.upstreamtracker import UpstreamTracker

KEPT_PROMPTS = 1000  # of this host, for dispatchers that take engines over


class _Prompt(NamedTuple):
    """A prompt that this host sent, and when."""

    at: float
    upstream: str
    parts: tuple[Part, ...]


class Handover:
    """Knows which host tracks each upstream, and what to tell a new one.

    :param host: this host's address
    :param clock: the process's clock
    :param tracker: this host's own
    """

    def __init__(self, host: str, clock: Clock, tracker: UpstreamTracker) -> None:
        self._host = host
        self._clock = clock
        self._tracker = tracker
        self._link: HostLink | None = None
        self._keepers: dict[str, str] = {}
        self._active: dict[int, DispatchTicket] = {}
        self._prompts: deque[_Prompt] = deque(maxlen=KEPT_PROMPTS)
        self._speeds: dict[str, float] = {}

    def connect(self, link: HostLink) -> None:
        """Set how other hosts are reached.

        :param link: to the other hosts
        """
        self._link = link

    # Queries.

    def dispatchers(self) -> set[str]:
        """Return the other hosts that track upstreams for this one."""
        return {host for host in self._keepers.values() if host != self._host}

    def assigned_upstreams(self) -> list[str]:
        """Return the upstreams whose keeper is known."""
        return list(self._keepers)

    def active_requests(self, keeper: str) -> list[int]:
        """Return the numbers of this host's requests that a dispatcher keeps.

        :param keeper: the dispatcher
        """
        return [
            number for number, ticket in self._active.items() if ticket.dispatcher == keeper
        ]

    # What becomes of requests.

    def note_placed(self, ticket: DispatchTicket) -> None:
        """Note a request that was placed.

        :param ticket: of the request
        """
        self._active[ticket.number] = ticket
        if ticket.parts:
            prompt = _Prompt(self._clock.monotonic(), ticket.upstream.id, ticket.parts)
            self._prompts.append(prompt)
            self._speeds[ticket.upstream.id] = ticket.engine_speed

    def note_ended(self, ticket: DispatchTicket) -> None:
        """Note that a request is no longer in flight.

        :param ticket: of the request
        """
        self._active.pop(ticket.number, None)

    def retain(self, upstreams: Iterable[str]) -> None:
        """Forget who keeps all other upstreams.

        :param upstreams: ids of those in use
        """
        names = set(upstreams)
        for known in (self._keepers, self._speeds):
            for name in [name for name in known if name not in names]:
                del known[name]

    def clear_dispatcher(self, host: str) -> None:
        """Note that a host lost its state.

        :param host: that restarted
        """
        for name in [name for name, kept in self._keepers.items() if kept == host]:
            self._keepers[name] = ''

    # Moving.

    def assign(self, upstreams: Sequence[str], keeper: str) -> None:
        """Tell a dispatcher of the upstreams that it did not keep before.

        :param upstreams: their ids
        :param keeper: the dispatcher
        """
        taken = {name for name in upstreams if self._keepers.get(name) != keeper}
        if not taken:
            return
        previous = {self._keepers.get(name) for name in taken} - {None}
        for name in taken:
            self._keepers[name] = keeper
        tickets = [
            entry for entry in self._active.values() if entry.upstream.id in taken
        ]
        prompts = self._recent(taken)
        if previous:
            log_event(
                'dispatcher_changed',
                dispatcher=keeper,
                previous=sorted(previous),
                upstreams=len(taken),
                requests=len(tickets),
                prompts=len(prompts),
            )
        for prompt in prompts:
            self._tell_placed(keeper, prompt)
        for ticket in tickets:
            self._move(ticket, keeper)

    def _recent(self, upstreams: set[str]) -> list[Placed]:
        """Return the prompts that engines may still hold, the oldest first."""
        now = self._clock.monotonic()
        return [
            Placed(
                prompt.upstream,
                prompt.parts,
                self._speeds.get(prompt.upstream, 1.0),
                now - prompt.at,
            )
            for prompt in self._prompts
            if prompt.upstream in upstreams and now - prompt.at < PART_REUSE_WINDOW_S
        ]

    def _move(self, ticket: DispatchTicket, keeper: str) -> None:
        before, ticket.dispatcher = ticket.dispatcher, keeper
        if before not in ('', keeper):
            self.report_ended(before, EndedRequest(ticket.number, 'cancelled', 0.0))
        if keeper == self._host or self._link is None:
            self._tracker.adopt(self._host, ticket.held())
        else:
            self._link.send_held(keeper, ticket.held())

    def _tell_placed(self, keeper: str, placed: Placed) -> None:
        if keeper == self._host or self._link is None:
            self._tracker.adopt_placed(placed)
        else:
            self._link.send_placed(keeper, placed)

    def report_ended(self, keeper: str, entry: EndedRequest) -> None:
        """Tell a keeper, this host or another, how a request ended.

        :param keeper: the host
        :param entry: the request's end
        """
        if keeper == self._host or self._link is None:
            self._tracker.ended(
                self._host, entry.number, entry.outcome, entry.duration_s
            )
        else:
            self._link.send_ended(keeper, entry)

    def report_started(self, ticket: DispatchTicket) -> None:
        """Tell the keeper of a request that its answer began.

        :param ticket: of the request
        """
        if ticket.dispatcher == self._host or self._link is None:
            self._tracker.started(self._host, ticket.number)
        else:
            self._link.send_started(ticket.dispatcher, ticket.number)
