"""Placement through dispatchers: each slot of upstreams is placed by one host."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import gevent
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
from rosemaryseam.router.queries import Query, hash_parts
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

ASK_AGAIN_S = 0.02  # a datagram was lost; a dispatcher answers in 1 to 5 ms
ASK_S = 0.05  # after which another host decides
ASKED_HOSTS = 2  # before this host decides by itself
SUSPECT_S = 0.5  # that a dispatcher is passed over at first
MOST_SUSPECT_S = 8.0
OFFERED_SLOTS = 2  # dispatchers that may refuse a request before it is refused
PRESSURE_S = 1.0  # how long a dispatcher's pressure is believed
PRESSURE_MARGIN = 0.2  # above another slot's, at which a session leaves its slot
WRONG_PLACEMENTS = 3  # of upstreams that this host knows to be gone


class DispatchPlacer(Placer):
    """Asks the dispatcher of a slot; decides by itself when none answers.

    :param host: this host's address
    :param zone: this host's availability zone
    :param clock: the process's clock
    :param metrics: the process's counters
    :param tracker: this host's own
    :param dispatcher: this host's own
    :param registry: the usable upstreams
    :param first_number: from which requests are numbered; differs between processes
    :param capacity: of this host, as other hosts know it
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
        self._numbers = first_number
        self._capacity = capacity
        self._waiting: dict[int, AsyncResult] = {}
        self._suspects: dict[str, tuple[float, float]] = {}  # until, and how long
        self._pressures: dict[tuple[str, int], tuple[float, float]] = {}

    def connect(self, link: HostLink) -> None:
        """Set how other hosts are reached.

        :param link: to the other hosts
        """
        self._link = link
        self.handover.connect(link)

    # Placement.

    def place(self, unplaced: UnplacedRequest, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket from the dispatcher of the request's slot."""
        if not any(entry.id not in unplaced.excluded for entry in upstreams):
            raise NoUpstreamError('no upstream is registered', NO_UPSTREAM_RETRY_S)
        query = self._query(unplaced)
        plan = self._dispatcher.plan(unplaced.service.name)
        refusal: NoUpstreamError | None = None
        for slot in self._slots(plan, query)[:OFFERED_SLOTS]:
            try:
                return self._place_in(plan, slot, query)
            except NoUpstreamError as exc:
                refusal = exc
        assert refusal is not None
        raise refusal

    def _slots(self, plan: SlotPlan, query: Query) -> list[int]:
        """Return the slots to offer a request to, the less pressed of two first."""
        key = str(query.parts[-2][0]) if len(query.parts) > 1 else str(query.number)
        slots = [
            slot
            for slot in plan.preferred_slots(key)
            if any(name not in query.excluded for name in plan.members(slot))
        ]
        if len(slots) > 1:
            first, second = (self._pressure(query.service, slot) for slot in slots[:2])
            if None not in (first, second) and first > second + PRESSURE_MARGIN:
                slots[0], slots[1] = slots[1], slots[0]
        return slots or [0]

    def _place_in(self, plan: SlotPlan, slot: int, query: Query) -> Ticket:
        for _ in range(WRONG_PLACEMENTS):
            keeper, placement = self._ask_any(plan, slot, query)
            upstream = self._usable(query.service, placement.upstream)
            if upstream is not None:
                return self._ticket(upstream, query, placement, keeper)
            self.handover.report_ended(
                keeper, EndedRequest(query.number, 'cancelled', 0.0)
            )
            excluded = (*query.excluded, placement.upstream)
            query = query._replace(excluded=excluded, number=self._next_number())
        raise NoUpstreamError('dispatchers name upstreams that left', 0.2)

    def _ask_any(
        self, plan: SlotPlan, slot: int, query: Query
    ) -> tuple[str, Placement]:
        """Return who decided, and what: a dispatcher, or this host by itself."""
        asked = 0
        for host in plan.rank_hosts(slot, self._hosts()):
            if host == self._host or asked >= ASKED_HOSTS:
                break
            asked += 1
            self.handover.assign(plan.members(slot), host)
            reply = self._ask(host, DispatchRequest(slot, query))
            if reply is None:
                continue
            self._suspects.pop(host, None)
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
        return self._host, self._tracker.place(self._host, query, names)

    def _ask(self, host: str, ask: DispatchRequest) -> Reply | None:
        """Return a dispatcher's answer, or ``None`` when it gives none in time."""
        if self._link is None:
            return None
        number = ask.query.number
        result = self._waiting[number] = AsyncResult()
        try:
            self._link.ask(host, ask)
            reply = _wait(result, ASK_AGAIN_S)
            if reply is None:
                self._link.ask(host, ask)
                reply = _wait(result, ASK_S - ASK_AGAIN_S)
        finally:
            del self._waiting[number]
        if reply is None or reply.no_upstream_known:
            self._suspect(host, ask, 'silent' if reply is None else reply.refusal)
            return None
        return reply

    def _suspect(self, host: str, ask: DispatchRequest, reason: str) -> None:
        """Pass a dispatcher over for a while, twice as long as the last time."""
        self._metrics.count('dispatchers_suspected')
        _, length = self._suspects.get(host, (0.0, SUSPECT_S / 2))
        length = min(MOST_SUSPECT_S, length * 2)
        self._suspects[host] = (self._clock.monotonic() + length, length)
        log_event(
            'dispatcher_suspected',
            dispatcher=host,
            service=ask.query.service,
            reason=reason,
            seconds=length,
        )
        self.handover.report_ended(
            host, EndedRequest(ask.query.number, 'cancelled', 0.0)
        )

    def _hosts(self) -> dict[str, float]:
        """Return the hosts that may dispatch now, this one included."""
        now = self._clock.monotonic()
        known = self._link.known_hosts() if self._link is not None else {}
        hosts = {
            host: capacity
            for host, capacity in known.items()
            if self._suspects.get(host, (0.0,))[0] <= now
        }
        hosts[self._host] = self._capacity
        return hosts

    def _query(self, unplaced: UnplacedRequest) -> Query:
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
            time_left_s=max(0.0, unplaced.due_at - now),
            patience_s=max(0.0, unplaced.expires_at - now),
            body_bytes=len(unplaced.request.body),
            zone=self._zone,
            excluded=tuple(sorted(unplaced.excluded)),
        )

    def _ticket(
        self, upstream: Upstream, query: Query, placement: Placement, keeper: str
    ) -> DispatchTicket:
        ticket = DispatchTicket(
            self.handover,
            self._clock,
            upstream,
            query,
            placement,
            self._address_of(placement.fetch_from),
            keeper,
        )
        self.handover.note_placed(ticket)
        return ticket

    def _usable(self, service: str, name: str) -> Upstream | None:
        for upstream in self._registry.usable(service):
            if upstream.id == name:
                return upstream
        return None

    def _address_of(self, name: str | None) -> Address | None:
        for upstream in self._registry.all() if name else ():
            if upstream.id == name:
                return upstream.address
        return None

    def _pressure(self, service: str, slot: int) -> float | None:
        """Return how pressed a slot is, or ``None`` when that is not known."""
        pressure, at = self._pressures.get((service, slot), (0.0, -math.inf))
        return pressure if self._clock.monotonic() - at < PRESSURE_S else None

    # News.

    def handle_reply(self, reply: Reply) -> None:
        """Give a dispatcher's answer to the request that waits for it.

        :param reply: the answer
        """
        result = self._waiting.get(reply.number)
        if result is not None and not result.ready():
            result.set(reply)

    def handle_peer_restart(self, host: str) -> None:
        """Tell a dispatcher that lost its state of this host's requests again.

        :param host: that restarted
        """
        self._suspects.pop(host, None)
        self.handover.clear_dispatcher(host)
        self.hosts_changed()

    def hosts_changed(self) -> None:
        """Hand upstreams over whose dispatcher is another one by now."""
        kept = set(self.handover.assigned_upstreams())
        for plan in self._dispatcher.plans():
            for slot in range(plan.count):
                names = plan.members(slot)
                if kept.intersection(names):
                    first = plan.rank_hosts(slot, self._hosts())[0]
                    self.handover.assign(names, first)

    def upstreams_changed(self) -> None:
        """Take over a changed registry: slots may have other members."""
        self.handover.retain(entry.id for entry in self._registry.all())
        self.hosts_changed()

    def _next_number(self) -> int:
        self._numbers = (self._numbers + 1) % 2**32
        return self._numbers


def _wait(result: AsyncResult, timeout_s: float) -> Reply | None:
    try:
        return result.get(timeout=timeout_s)
    except gevent.Timeout:
        return None
