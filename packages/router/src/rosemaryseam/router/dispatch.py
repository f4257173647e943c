"""Placement through dispatchers: one host places all requests of a slot.

A slot is a group of upstreams of a service.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gevent.event import AsyncResult

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.router.datagrams import DispatchRequest, EndedRequest
from rosemaryseam.router.handover import Handover
from rosemaryseam.router.placement import (
    NoUpstreamError,
    Placer,
    Ticket,
    UnplacedRequest,
)
from rosemaryseam.router.queries import Query, fingerprint, hash_parts
from rosemaryseam.router.requestlimits import LimitReport
from rosemaryseam.router.tickets import DispatchTicket
from rosemaryseam.router.upstreamtracker import NO_UPSTREAM_RETRY_S

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.policy.slots import SlotPlan
    from rosemaryseam.router.datagrams import Reply
    from rosemaryseam.router.dispatcher import Dispatcher
    from rosemaryseam.router.hostlink import HostLink
    from rosemaryseam.router.queries import Placement
    from rosemaryseam.router.upstreams import Registry, Upstream
    from rosemaryseam.router.upstreamtracker import UpstreamTracker

RESEND_DELAY_S = 0.02  # a dispatcher answers in 1 to 5 ms unless a datagram is lost
REPLY_TIMEOUT_S = 0.05  # after which the next host in rank order is tried
MAX_DISPATCHERS_TRIED = 2  # then this host places the request itself
INITIAL_SUSPICION_S = 0.5  # doubles with each further failure
MAX_SUSPICION_S = 8.0
MAX_SLOTS_TRIED = 2  # refusals by dispatchers before the request is refused
PRESSURE_TTL_S = 1.0  # age up to which a reported pressure is used
PRESSURE_MARGIN = 0.2  # pressure difference at which a session changes its slot
SUBSTITUTES_SHARE = 0.5  # of a request limit, for all hosts but the dispatcher
MAX_STALE_PLACEMENTS = 3  # on upstreams that left, before the request is refused


class DispatchPlacer(Placer):
    """Requests placements from dispatchers; places locally if none answers.

    :param host: address of this host
    :param zone: availability zone of this host
    :param clock: clock of the process
    :param metrics: counters of the process
    :param tracker: upstream tracker of this host
    :param dispatcher: dispatcher of this host
    :param registry: registry of the usable upstreams
    :param first_number: start of the request numbers; differs between processes
    :param capacity: dispatch capacity of this host, as announced to other hosts
    """

    def __init__(
        self,
        host: str,
        zone: str,
        clock: Clock,
        metrics: Metrics,
        tracker: UpstreamTracker,
        dispatcher: Dispatcher,
        registry: Registry,
        first_number: int = 0,
        capacity: float = 1.0,
    ) -> None:
        self._host = host
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._tracker = tracker
        self._dispatcher = dispatcher
        self._registry = registry
        self._link: HostLink | None = None
        self.handover = Handover(host, clock, tracker)
        self.handover.loads.metrics = metrics
        self._last_number = first_number
        self._capacity = capacity
        self._pending_replies: dict[int, AsyncResult] = {}
        self._suspected: dict[str, tuple[float, float]] = {}  # end and duration
        self._pressures: dict[tuple[str, int], tuple[float, float]] = {}
        dispatcher.limit_share = self._limit_share

    def connect(self, link: HostLink) -> None:
        """Set the link to the other hosts.

        :param link: link that sends messages to them
        """
        self._link = link
        self.handover.connect(link)

    # Placement.

    def place(self, unplaced: UnplacedRequest, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket for a placement by the dispatcher of the request's slot."""
        if not any(entry.id not in unplaced.excluded for entry in upstreams):
            raise NoUpstreamError('no upstream is registered', NO_UPSTREAM_RETRY_S)
        query = self._build_query(unplaced)
        plan = self._dispatcher.plan(unplaced.service.name)
        refusals: list[NoUpstreamError] = []
        for slot in self._preferred_slots(plan, query)[:MAX_SLOTS_TRIED]:
            try:
                return self._place_in_slot(plan, slot, query)
            except NoUpstreamError as exc:
                refusals.append(exc)
        # A dispatcher gives precedence to requests that return after its own delay.
        raise max(refusals, key=lambda exc: exc.retry_after_s)

    def _preferred_slots(self, plan: SlotPlan, query: Query) -> list[int]:
        """Return the slots in order of preference.

        The first two are swapped if the second is known to be less loaded.
        """
        excluded = {*query.excluded, *self._other_versions(query)}
        key = str(query.parts[-2][0]) if len(query.parts) > 1 else str(query.number)
        slots = [
            slot
            for slot in plan.preferred_slots(key)
            if any(name not in excluded for name in plan.members(slot))
        ]
        if len(slots) > 1:
            first, second = (
                self._recent_pressure(query.service, slot) for slot in slots[:2]
            )
            if None not in (first, second) and first > second + PRESSURE_MARGIN:
                slots[0], slots[1] = slots[1], slots[0]
        return slots or [0]

    def _other_versions(self, query: Query) -> list[str]:
        """Return the ids of the upstreams whose version may not serve a request."""
        if query.version is None:
            return []
        usable = self._registry.usable(query.service)
        return [entry.id for entry in usable if entry.version != query.version]

    def _place_in_slot(self, plan: SlotPlan, slot: int, query: Query) -> Ticket:
        for _ in range(MAX_STALE_PLACEMENTS):
            dispatcher, placement = self._request_placement(plan, slot, query)
            upstream = self._find_usable(query.service, placement.upstream)
            if upstream is not None and query.version in (None, upstream.version):
                return self._build_ticket(upstream, query, placement, dispatcher)
            self.handover.report_ended(
                dispatcher, EndedRequest(query.number, 'cancelled', 0.0)
            )
            excluded = (*query.excluded, placement.upstream)
            query = query._replace(excluded=excluded, number=self._next_number())
        raise NoUpstreamError('dispatchers name upstreams that left', 0.2)

    def _request_placement(
        self, plan: SlotPlan, slot: int, query: Query
    ) -> tuple[str, Placement]:
        """Return the address of the host that placed the request and the placement.

        This host places the request itself when no dispatcher answers.
        """
        tried = 0
        for host in plan.rank_hosts(slot, self._candidate_hosts()):
            if host == self._host or tried >= MAX_DISPATCHERS_TRIED:
                break
            tried += 1
            self.handover.assign(plan.members(slot), host)
            reply = self._send_request(host, DispatchRequest(slot, query))
            if reply is None:
                continue
            self._suspected.pop(host, None)
            now = self._clock.monotonic()
            self._pressures[query.service, slot] = (reply.pressure, now)
            if reply.placement is None:
                raise NoUpstreamError(reply.refusal, reply.retry_after_s)
            return host, reply.placement
        names = plan.members(slot)
        self.handover.assign(names, self._host)
        self._pressures[query.service, slot] = (
            self._tracker.pressure(names),
            self._clock.monotonic(),
        )
        if tried:
            # The dispatchers that did not reply may still place requests of others.
            placement = self._tracker.place(
                self._host, query, names, self._substitute_share
            )
        else:
            placement = self._tracker.place(
                self._host, query, names, lambda: self._limit_share(plan, slot)
            )
        return self._host, placement

    def _limit_share(self, plan: SlotPlan, slot: int) -> float:
        """Return the share of request limits that this host may use in a slot."""
        first = plan.rank_hosts(slot, self._candidate_hosts())[0]
        return 1.0 if first == self._host else self._substitute_share()

    def _substitute_share(self) -> float:
        """Return the share of a host that dispatches in place of another one."""
        known = self._link.known_hosts() if self._link is not None else {}
        return SUBSTITUTES_SHARE / (len(known) + 1)

    def _send_request(self, host: str, request: DispatchRequest) -> Reply | None:
        """Return the reply of a dispatcher.

        Returns ``None`` on a timeout or if the dispatcher knows no upstream.
        """
        if self._link is None:
            return None
        number = request.query.number
        result = self._pending_replies[number] = AsyncResult()
        try:
            self._link.send_request(host, request)
            reply = _wait_for_reply(result, RESEND_DELAY_S)
            if reply is None:
                self._link.send_request(host, request)
                reply = _wait_for_reply(result, REPLY_TIMEOUT_S - RESEND_DELAY_S)
        finally:
            del self._pending_replies[number]
        if reply is None or reply.no_upstream_known:
            self._suspect(host, request, 'silent' if reply is None else reply.refusal)
            return None
        return reply

    def _suspect(self, host: str, request: DispatchRequest, reason: str) -> None:
        """Avoid a dispatcher for a while, twice as long as the last time."""
        self._metrics.count('dispatchers_suspected')
        _, duration_s = self._suspected.get(host, (0.0, INITIAL_SUSPICION_S / 2))
        duration_s = min(MAX_SUSPICION_S, duration_s * 2)
        self._suspected[host] = (self._clock.monotonic() + duration_s, duration_s)
        log_event(
            'dispatcher_suspected',
            dispatcher=host,
            service=request.query.service,
            reason=reason,
            seconds=duration_s,
        )
        self.handover.report_ended(
            host, EndedRequest(request.query.number, 'cancelled', 0.0)
        )

    def _candidate_hosts(self) -> dict[str, float]:
        """Return the capacities of hosts that may dispatch, including this host."""
        now = self._clock.monotonic()
        known = self._link.known_hosts() if self._link is not None else {}
        hosts = {
            host: capacity
            for host, capacity in known.items()
            if self._suspected.get(host, (0.0,))[0] <= now
        }
        hosts[self._host] = self._capacity
        return hosts

    def _build_query(self, unplaced: UnplacedRequest) -> Query:
        now = self._clock.monotonic()
        prompt = (
            unplaced.request.prompt if unplaced.service.engine is not None else None
        )
        return Query(
            number=self._next_number(),
            request_id=unplaced.request.id,
            service=unplaced.service.name,
            route=unplaced.route.name,
            rank=unplaced.rank,
            workspace_rank=unplaced.workspace_rank,
            parts=hash_parts(prompt) if prompt else (),
            prompt_tokens=prompt.prompt_tokens if prompt else 0,
            output_tokens=prompt.expected_output_tokens if prompt else 0,
            max_output_tokens=prompt.max_output_tokens if prompt else 0,
            pause_s=unplaced.route.pause_target_s,
            due_in_s=max(0.0, unplaced.due_at - now),
            expires_in_s=max(0.0, unplaced.expires_at - now),
            body_bytes=len(unplaced.request.body),
            zone=self._zone,
            excluded=tuple(sorted(unplaced.excluded)),
            fingerprint=fingerprint(unplaced.request),
            version=unplaced.version,
        )

    def _build_ticket(
        self, upstream: Upstream, query: Query, placement: Placement, dispatcher: str
    ) -> DispatchTicket:
        # Before the ticket, whose answer tells whether the statements still hold.
        if placement.request_limit is not None and dispatcher != self._host:
            report = LimitReport(*upstream.incarnation, placement.request_limit, 0.0)
            self._tracker.adopt_limit(report, dispatcher)
        self._tracker.brittleness.adopt_placement(upstream, placement, dispatcher)
        ticket = DispatchTicket(
            self.handover,
            self._clock,
            upstream,
            query,
            placement,
            self._find_address(placement.fetch_from),
            dispatcher,
        )
        self.handover.record_placement(ticket)
        return ticket

    def _find_usable(self, service: str, name: str) -> Upstream | None:
        for upstream in self._registry.usable(service):
            if upstream.id == name:
                return upstream
        return None

    def _find_address(self, name: str | None) -> Address | None:
        for upstream in self._registry.all() if name else ():
            if upstream.id == name:
                return upstream.address
        return None

    def _recent_pressure(self, service: str, slot: int) -> float | None:
        """Return the pressure of a slot, or ``None`` if no recent value is known."""
        pressure, at = self._pressures.get((service, slot), (0.0, -math.inf))
        return pressure if self._clock.monotonic() - at < PRESSURE_TTL_S else None

    def report_left(self, upstream: Upstream) -> None:
        """Tell the dispatcher of an upstream that it has left."""
        self.handover.report_left(upstream)

    # Messages and membership changes.

    def handle_reply(self, reply: Reply) -> None:
        """Pass a reply of a dispatcher to the request that waits for it.

        :param reply: reply of the dispatcher
        """
        result = self._pending_replies.get(reply.number)
        if result is not None and not result.ready():
            result.set(reply)

    def handle_peer_restart(self, host: str) -> None:
        """Report this host's requests again to a dispatcher that lost its state.

        :param host: address of the host that restarted
        """
        self._suspected.pop(host, None)
        self.handover.clear_dispatcher(host)
        self.hosts_changed()

    def hosts_changed(self) -> None:
        """Hand over the upstreams whose dispatcher has changed."""
        kept = set(self.handover.assigned_upstreams())
        for plan in self._dispatcher.plans():
            for slot in range(plan.count):
                names = plan.members(slot)
                if kept.intersection(names):
                    first = plan.rank_hosts(slot, self._candidate_hosts())[0]
                    self.handover.assign(names, first)

    def upstreams_changed(self) -> None:
        """Apply a change of the registry, which may change the members of slots."""
        self.handover.retain(entry.id for entry in self._registry.all())
        self.hosts_changed()

    def _next_number(self) -> int:
        self._last_number = (self._last_number + 1) % 2**32
        return self._last_number


def _wait_for_reply(result: AsyncResult, timeout_s: float) -> Reply | None:
    # Unlike get(), this raises only foreign timeouts, such as the request's own.
    return result.wait(timeout_s)
