"""Placement through dispatchers: each slot of upstreams is placed by one host."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.slots import SlotPlan
from rosemaryseam.router.books import NO_UPSTREAM_RETRY_S, Held, Query, hashed_parts
from rosemaryseam.router.datagrams import Ask, Ended, Reply
from rosemaryseam.router.placement import NoUpstreamError, Order, Placer, Ticket

if TYPE_CHECKING:
    from collections.abc import Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.node.metrics import Metrics
    from rosemaryseam.router.books import Placement, PlacementBooks
    from rosemaryseam.router.datagrams import Datagram
    from rosemaryseam.router.peers import PeerLink
    from rosemaryseam.router.requests import AnswerHead
    from rosemaryseam.router.upstreams import Registry, Upstream

ASK_AGAIN_S = 0.012  # a datagram was lost; a dispatcher answers in 1 to 3 ms
ASK_S = 0.03  # after which another host decides
ASKED_HOSTS = 2  # before this host decides by itself
SUSPECT_S = 0.5  # that a dispatcher is passed over at first
MOST_SUSPECT_S = 8.0
OFFERED_SLOTS = 2  # dispatchers that may refuse a request before it is refused
PRESSURE_S = 1.0  # how long a dispatcher's pressure is believed
PRESSURE_MARGIN = 0.2  # above another slot's, at which a session leaves its slot
KEPT_REPLIES = 2000  # for asks that come again
SILENT_S = 1.0  # streams of a sound engine never pause for so long
SILENT_PREFILL_S = 2.0  # beyond three times the expected wait for a first event
WRONG_PLACEMENTS = 3  # of upstreams that this host knows to be gone


class Dispatcher:
    """Answers other hosts' asks from this host's books.

    :param books: what is known of the upstreams
    :param registry: the usable upstreams
    :param metrics: the process's counters
    """

    def __init__(
        self, books: PlacementBooks, registry: Registry, metrics: Metrics
    ) -> None:
        self._books = books
        self._registry = registry
        self._metrics = metrics
        self._plans: dict[str, tuple[tuple[str, ...], SlotPlan]] = {}
        self._replies: OrderedDict[tuple[str, int], Reply] = OrderedDict()

    def plan(self, service: str) -> SlotPlan:
        """Return the division of a service's upstreams that is in force.

        :param service: its name
        """
        names = tuple(upstream.id for upstream in self._registry.usable(service))
        known = self._plans.get(service)
        if known is None or known[0] != names:
            known = (names, SlotPlan(service, names))
            self._plans[service] = known
        return known[1]

    def answer(self, host: str, ask: Ask) -> Reply:
        """Place a request, or repeat the answer to an ask that came again.

        :param host: that asks
        :param ask: the request
        """
        key = (host, ask.query.number)
        reply = self._replies.get(key)
        if reply is None:
            reply = self._decide(host, ask)
            self._replies[key] = reply
            if len(self._replies) > KEPT_REPLIES:
                self._replies.popitem(last=False)
        return reply

    def _decide(self, host: str, ask: Ask) -> Reply:
        query = ask.query
        names = self.plan(query.service).members(ask.slot)
        pressure = self._books.pressure(names)
        self._metrics.count('dispatched', service=query.service)
        try:
            placement = self._books.place(host, query, names)
        except NoUpstreamError as exc:
            return Reply(query.number, None, str(exc), exc.retry_after_s, pressure)
        return Reply(query.number, placement, '', 0.0, pressure)

    def take(self, datagram: Datagram) -> list[Reply]:
        """Take over a host's news and return the answers to its asks.

        :param datagram: the news
        """
        host = datagram.host
        for held in datagram.held:
            self._books.adopt(host, held)
        replies = [self.answer(host, ask) for ask in datagram.asks]
        for number in datagram.started:
            self._books.started(host, number)
        for entry in datagram.ended:
            self._books.ended(host, entry.number, entry.outcome, entry.took_s)
        if datagram.sync:
            self._books.keep_only(host, set(datagram.active))
        return replies


class DispatchTicket(Ticket):
    """A request of this host; tells its dispatcher what becomes of it.

    :param placer: of this host
    :param clock: the process's clock
    :param upstream: that gets the request
    :param query: as it was asked
    :param placement: as it was answered
    :param slot: service and slot
    :param keeper: the host that placed it
    """

    def __init__(
        self,
        placer: DispatchPlacer,
        clock: Clock,
        upstream: Upstream,
        query: Query,
        placement: Placement,
        slot: tuple[str, int],
        keeper: str,
    ) -> None:
        self._placer = placer
        self._clock = clock
        self._query = query
        self._placement = placement
        self._placed_at = clock.monotonic()
        self._last_event_at = self._placed_at
        self._started = False
        self._ended = False
        self.number = query.number
        self.slot = slot
        self.keeper = keeper
        self.upstream = upstream
        self.urgency = placement.urgency
        self.fetch_from = placer.address_of(placement.fetch_from)
        self.first_s = None
        self.pause_s = 0.0
        self.inputs = {**placement.inputs, 'dispatcher': keeper}

    def answered(self, head: AnswerHead) -> None:
        """Learn nothing; engines answer with their first event."""

    def event(self) -> None:
        """Note an event and the pause before it."""
        now = self._clock.monotonic()
        if self._started:
            self.pause_s = max(self.pause_s, now - self._last_event_at)
        else:
            self._started = True
            self.first_s = now - self._placed_at
            self._placer.note_started(self)
        self._last_event_at = now

    def is_hopeless(self) -> bool:
        """Return whether the upstream has fallen silent."""
        waited = self._clock.monotonic() - self._last_event_at
        if not self._query.parts:
            limit = self._placement.answer_limit_s
            return limit is not None and waited > limit
        if self._started:
            return waited > SILENT_S
        return waited > SILENT_PREFILL_S + 3 * self._placement.expected_first_s

    def end(self, outcome: str) -> None:
        """Note the end."""
        if not self._ended:
            self._ended = True
            took_s = self._clock.monotonic() - self._placed_at
            self._placer.note_ended(self, outcome, took_s)

    def held(self) -> Held:
        """Return what another dispatcher needs to know of the request."""
        query = self._query
        age = self._clock.monotonic() - self._placed_at
        prefill = self._placement.inputs.get('prefill_tokens', 0)
        own_tokens = query.parts[-1][1] if query.parts else 0
        return Held(
            number=self.number,
            upstream=self.upstream.id,
            rank=query.rank,
            prefill_tokens=0 if self._started else int(prefill),
            memory_tokens=own_tokens + query.output_tokens,
            output_tokens=query.output_tokens,
            pause_s=query.pause_s if query.parts else None,
            age_s=age,
            patience_s=max(0.0, query.patience_s - age),
            started=self._started,
        )


class DispatchPlacer(Placer):
    """Asks the dispatcher of a slot; decides by itself when none answers.

    :param host: this host's address
    :param zone: this host's availability zone
    :param clock: the process's clock
    :param metrics: the process's counters
    :param books: this host's own
    :param dispatcher: this host's own
    :param registry: the usable upstreams
    """

    def __init__(
        self,
        host: str,
        zone: str,
        clock: Clock,
        metrics: Metrics,
        books: PlacementBooks,
        dispatcher: Dispatcher,
        registry: Registry,
    ) -> None:
        self._host = host
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._books = books
        self._dispatcher = dispatcher
        self._registry = registry
        self._link: PeerLink | None = None
        self._numbers = 0
        self._waiting: dict[int, AsyncResult] = {}
        self._active: dict[int, DispatchTicket] = {}
        self._keepers: dict[tuple[str, int], str] = {}
        self._suspects: dict[str, tuple[float, float]] = {}  # until, and how long
        self._pressures: dict[tuple[str, int], tuple[float, float]] = {}

    def connect(self, link: PeerLink) -> None:
        """Set how other hosts are reached.

        :param link: to the other hosts
        """
        self._link = link

    # Placement.

    def place(self, order: Order, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket from the dispatcher of the request's slot."""
        if not any(entry.id not in order.excluded for entry in upstreams):
            raise NoUpstreamError('no upstream is registered', NO_UPSTREAM_RETRY_S)
        query = self._query(order)
        plan = self._dispatcher.plan(order.service.name)
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
            for slot in plan.order(key)
            if any(name not in query.excluded for name in plan.members(slot))
        ]
        if len(slots) > 1:
            first, second = (self._pressure(query.service, slot) for slot in slots[:2])
            if first > second + PRESSURE_MARGIN:
                slots[0], slots[1] = slots[1], slots[0]
        return slots or [0]

    def _place_in(self, plan: SlotPlan, slot: int, query: Query) -> Ticket:
        for _ in range(WRONG_PLACEMENTS):
            keeper, placement = self._ask_any(plan, slot, query)
            upstream = self._usable(query.service, placement.upstream)
            if upstream is not None:
                return self._ticket(upstream, query, placement, slot, keeper)
            self._tell_ended(keeper, Ended(query.number, 'cancelled', 0.0))
            excluded = (*query.excluded, placement.upstream)
            query = query._replace(excluded=excluded, number=self._next_number())
        raise NoUpstreamError('dispatchers name upstreams that left', 0.2)

    def _ask_any(
        self, plan: SlotPlan, slot: int, query: Query
    ) -> tuple[str, Placement]:
        """Return who decided, and what: a dispatcher, or this host by itself."""
        asked = 0
        for host in plan.hosts(slot, self._hosts()):
            if host == self._host or asked >= ASKED_HOSTS:
                break
            asked += 1
            self._move_to(host, query.service, slot)
            reply = self._ask(host, Ask(slot, query))
            if reply is None:
                continue
            self._suspects.pop(host, None)
            now = self._clock.monotonic()
            self._pressures[query.service, slot] = (reply.pressure, now)
            if reply.placement is None:
                raise NoUpstreamError(reply.refusal, reply.retry_after_s)
            return host, reply.placement
        self._move_to(self._host, query.service, slot)
        names = plan.members(slot)
        self._pressures[query.service, slot] = (
            self._books.pressure(names),
            self._clock.monotonic(),
        )
        return self._host, self._books.place(self._host, query, names)

    def _ask(self, host: str, ask: Ask) -> Reply | None:
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
        if reply is None:
            self._suspect(host, ask)
        return reply

    def _suspect(self, host: str, ask: Ask) -> None:
        """Pass a dispatcher over for a while, twice as long as the last time."""
        self._metrics.count('dispatchers_silent')
        _, length = self._suspects.get(host, (0.0, SUSPECT_S / 2))
        length = min(MOST_SUSPECT_S, length * 2)
        self._suspects[host] = (self._clock.monotonic() + length, length)
        log_event(
            'dispatcher_suspected',
            dispatcher=host,
            service=ask.query.service,
            seconds=length,
        )
        self._tell_ended(host, Ended(ask.query.number, 'cancelled', 0.0))

    def _hosts(self) -> list[str]:
        """Return the hosts that may dispatch now, this one included."""
        now = self._clock.monotonic()
        known = self._link.known_hosts() if self._link is not None else ()
        return [
            self._host,
            *(host for host in known if self._suspects.get(host, (0.0,))[0] <= now),
        ]

    def _query(self, order: Order) -> Query:
        now = self._clock.monotonic()
        prompt = order.request.prompt if order.service.engine is not None else None
        return Query(
            number=self._next_number(),
            service=order.service.name,
            route=order.route.name,
            rank=order.rank,
            workspace_rank=order.workspace_rank,
            parts=hashed_parts(prompt) if prompt else (),
            prompt_tokens=prompt.prompt_tokens if prompt else 0,
            output_tokens=prompt.expected_output_tokens if prompt else 0,
            most_output_tokens=prompt.max_output_tokens if prompt else 0,
            pause_s=order.route.pause_target_s,
            time_left_s=max(0.0, order.due - now),
            patience_s=max(0.0, order.expires - now),
            body_bytes=len(order.request.body),
            zone=self._zone,
            excluded=tuple(sorted(order.excluded)),
        )

    def _ticket(
        self,
        upstream: Upstream,
        query: Query,
        placement: Placement,
        slot: int,
        keeper: str,
    ) -> DispatchTicket:
        ticket = DispatchTicket(
            self,
            self._clock,
            upstream,
            query,
            placement,
            (query.service, slot),
            keeper,
        )
        self._active[ticket.number] = ticket
        return ticket

    def _usable(self, service: str, name: str) -> Upstream | None:
        for upstream in self._registry.usable(service):
            if upstream.id == name:
                return upstream
        return None

    def address_of(self, name: str | None) -> object:
        """Return the address of an upstream, or ``None``.

        :param name: its id
        """
        for upstream in self._registry.all() if name else ():
            if upstream.id == name:
                return upstream.address
        return None

    def _pressure(self, service: str, slot: int) -> float:
        pressure, at = self._pressures.get((service, slot), (0.0, -math.inf))
        return pressure if self._clock.monotonic() - at < PRESSURE_S else 0.0

    # News.

    def note_started(self, ticket: DispatchTicket) -> None:
        """Tell the keeper of a request that its first event came.

        :param ticket: of the request
        """
        if ticket.keeper == self._host or self._link is None:
            self._books.started(self._host, ticket.number)
        else:
            self._link.tell_started(ticket.keeper, ticket.number)

    def note_ended(self, ticket: DispatchTicket, outcome: str, took_s: float) -> None:
        """Tell the keeper of a request how it ended.

        :param ticket: of the request
        :param outcome: as :meth:`Ticket.end` gets it
        :param took_s: from its placement on
        """
        self._active.pop(ticket.number, None)
        self._tell_ended(ticket.keeper, Ended(ticket.number, outcome, took_s))

    def take_reply(self, reply: Reply) -> None:
        """Give a dispatcher's answer to the request that waits for it.

        :param reply: the answer
        """
        result = self._waiting.get(reply.number)
        if result is not None and not result.ready():
            result.set(reply)

    def take_restart(self, host: str) -> None:
        """Tell a dispatcher that lost its books of this host's requests again.

        :param host: that restarted
        """
        for slot, keeper in list(self._keepers.items()):
            if keeper == host:
                del self._keepers[slot]

    def active_at(self, keeper: str) -> list[int]:
        """Return the numbers of this host's requests that a dispatcher keeps.

        :param keeper: the dispatcher
        """
        return [
            number for number, ticket in self._active.items() if ticket.keeper == keeper
        ]

    def keepers(self) -> set[str]:
        """Return the dispatchers that keep requests of this host, or lately did."""
        return {host for host in self._keepers.values() if host != self._host}

    def _tell_ended(self, keeper: str, entry: Ended) -> None:
        if keeper == self._host or self._link is None:
            self._books.ended(self._host, entry.number, entry.outcome, entry.took_s)
        else:
            self._link.tell_ended(keeper, entry)

    def _move_to(self, host: str, service: str, slot: int) -> None:
        """Hand this host's requests of a slot over when its dispatcher changes."""
        key = (service, slot)
        before = self._keepers.get(key)
        if before == host:
            return
        self._keepers[key] = host
        moved = [ticket for ticket in self._active.values() if ticket.slot == key]
        log_event(
            'dispatcher_changed',
            service=service,
            slot=slot,
            dispatcher=host,
            previous=before,
            requests=len(moved),
        )
        for ticket in moved:
            ticket.keeper = host
            if host == self._host or self._link is None:
                self._books.adopt(self._host, ticket.held())
            else:
                self._link.tell_held(host, ticket.held())

    def _next_number(self) -> int:
        self._numbers = (self._numbers + 1) % 2**32
        return self._numbers


def _wait(result: AsyncResult, timeout_s: float) -> Reply | None:
    try:
        return result.get(timeout=timeout_s)
    except gevent.Timeout:
        return None
