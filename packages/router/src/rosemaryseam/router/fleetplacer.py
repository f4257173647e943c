"""Places requests by what the whole fleet has in flight."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

import xxhash

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.durations import Durations
from rosemaryseam.policy.engineplacement import (
    Candidate,
    Choice,
    PlacementRequest,
    choose_engine,
    is_worth_it,
    rank_by_affinity,
)
from rosemaryseam.policy.engines import (
    EngineSize,
    EngineTerms,
    EngineView,
    Flight,
    FlightKey,
)
from rosemaryseam.policy.outliers import Outliers
from rosemaryseam.policy.prefixes import EngineCache, PartUses
from rosemaryseam.router.ledger import Placed
from rosemaryseam.router.placement import NoUpstreamError, Order, Placer, Ticket

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.prefixes import Part
    from rosemaryseam.router.ledger import Update
    from rosemaryseam.router.requests import AnswerHead, Prompt
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.upstreams import Upstream

OWN = ''  # the host of this host's own requests
NO_UPSTREAM_RETRY_S = 0.5
LEAST_RETRY_S = 0.4  # engines' backlogs last for about that long
OUTPUT_WORK = 10  # a generated token counts like so many prompt tokens
SIZE_WEIGHT = 0.02  # of one request in the mean size of its route
PAUSED_LOSS = 50.0  # an upstream that does not answer, while others do
FAILURE_LOSS = 4.0  # for an upstream that always fails
OTHER_ZONE_LOSS = 0.3  # of a request's slot, for app runners
SILENT_S = 1.0  # streams of a sound engine never pause for so long
SILENT_PREFILL_S = 2.0  # an engine may read prompts for so long without an event
GHOST_S = 20.0  # a peer's request that never ended counts no longer
FIRST_EVENT_APP_S = 0.05
LOGGED_LOSS = 0.01
ROUTE_RANKS = 3  # route ranks that are told apart below a workspace's rank
MAX_URGENCY = 9


class EngineRecord:
    """All that is believed of one incarnation of an upstream."""

    def __init__(self, upstream: Upstream, size: EngineSize) -> None:
        self.upstream = upstream
        self.view = EngineView(size, EngineTerms())
        self.cache = EngineCache(size.cache_tokens)
        self.heard_at = -math.inf  # when anything arrived from it
        self.busy_at = -math.inf  # when it last got work while it had none


class RouteSizes:
    """The mean work of each route's requests, in tokens."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def relative(self, route: str, prompt: Prompt) -> float:
        """Return a request's work relative to its route's mean, and learn from it.

        :param route: its route
        :param prompt: the request's prompt
        """
        work = prompt.prompt_tokens + OUTPUT_WORK * prompt.max_output_tokens
        mean = self._means.get(route, float(work))
        self._means[route] = mean + SIZE_WEIGHT * (work - mean)
        return work / mean if mean else 1.0


class FleetTicket(Ticket):
    """A request of this host at an upstream."""

    def __init__(
        self,
        placer: FleetPlacer,
        clock: Clock,
        upstream: Upstream,
        number: int,
        urgency: int | None,
        inputs: dict[str, object],
    ) -> None:
        self._placer = placer
        self._clock = clock
        self._placed_at = clock.monotonic()
        self._last_event_at = self._placed_at
        self._number = number
        self._started = False
        self._ended = False
        self.upstream = upstream
        self.urgency = urgency
        self.fetch_from = None
        self.first_s = None
        self.pause_s = 0.0
        self.inputs = inputs

    def answered(self, head: AnswerHead) -> None:
        """Note that the upstream is there."""
        self._last_event_at = self._clock.monotonic()
        self._placer.note_heard(self.upstream)

    def is_hopeless(self) -> bool:
        """Return whether the upstream has fallen silent."""
        waited = self._clock.monotonic() - self._last_event_at
        return self._placer.is_silent(self.upstream, waited)

    def event(self) -> None:
        """Note an event and the pause before it."""
        now = self._clock.monotonic()
        if self._started:
            self.pause_s = max(self.pause_s, now - self._last_event_at)
        else:
            self._started = True
            self.first_s = now - self._placed_at
            self._placer.note_started(self.upstream, self._number)
        self._last_event_at = now
        self._placer.note_heard(self.upstream)

    def end(self, outcome: str) -> None:
        """Note the end."""
        if not self._ended:
            self._ended = True
            took_s = self._clock.monotonic() - self._placed_at
            self._placer.note_ended(self.upstream, self._number, outcome, took_s)


class FleetPlacer(Placer):
    """Keeps a view of each upstream from this host's and its peers' requests.

    :param clock: the process's clock
    :param zone: this host's availability zone
    :param find_service: returns a service by name, ``None`` when it is unknown
    :param rng: spreads the return of refused callers
    """

    def __init__(
        self,
        clock: Clock,
        zone: str,
        find_service: Callable[[str], Service | None],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._find_service = find_service
        self._upstreams: dict[str, Upstream] = {}
        self._records: dict[str, EngineRecord] = {}
        self._uses = PartUses()
        self._outliers = Outliers()
        self._sizes = RouteSizes()
        self._durations = Durations()
        self._numbers = 0
        self._own: dict[int, str] = {}
        self._remote: dict[str, dict[int, tuple[str, float]]] = {}
        self.tell_placed: Callable[[Placed], None] = _ignore
        self.tell_started: Callable[[int], None] = _ignore
        self.tell_ended: Callable[[int], None] = _ignore
        self.tell_closed: Callable[[str], None] = _ignore

    # Placement.

    def place(self, order: Order, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket for the upstream where the request does the least harm."""
        open_ones = [entry for entry in upstreams if entry.id not in order.excluded]
        if not open_ones:
            raise NoUpstreamError('no upstream is registered', NO_UPSTREAM_RETRY_S)
        if order.service.engine is not None and order.request.prompt is not None:
            return self._place_prompt(order, open_ones, order.request.prompt)
        return self._place_plain(order, open_ones)

    def _place_prompt(
        self, order: Order, upstreams: Sequence[Upstream], prompt: Prompt
    ) -> Ticket:
        now = self._clock.monotonic()
        parts = hashed_parts(prompt)
        request = PlacementRequest(
            rank=order.rank,
            size=self._sizes.relative(order.route.name, prompt),
            parts=parts,
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=prompt.expected_output_tokens,
            pause_s=order.route.pause_target_s,
            time_left_s=max(0.0, order.due - now),
            patience_s=max(0.0, order.expires - now),
            body_bytes=len(order.request.body),
        )
        choice = choose_engine(
            request, self._candidates(order, upstreams, prompt, now), self._uses, now
        )
        assert choice is not None
        if not is_worth_it(request, choice):
            raise self._refusal(order, choice, upstreams, now)
        record = self._records[choice.name]
        backlog = record.view.backlog_s(now)
        number = self._next_number()
        entry = Placed(
            number,
            choice.name,
            order.rank,
            choice.prefill_tokens,
            prompt.own_tokens + prompt.expected_output_tokens,
            prompt.expected_output_tokens,
            order.route.pause_target_s or 0.0,
            0.0,
            choice.first_event_s,
            request.patience_s,
            parts,
        )
        self._apply_placed(OWN, entry, now)
        self.tell_placed(entry)
        inputs = {
            'prefill_tokens': choice.prefill_tokens,
            'cached_tokens': choice.cached_tokens,
            'fetch_tokens': choice.fetch_tokens,
            'backlog_ms': int(backlog * 1000),
            'expected_first_ms': int(choice.first_event_s * 1000),
            'loss': round(choice.loss, 3),
            'losses': _rounded(choice),
            'engine_requests': record.view.requests,
            'engine_speed': round(record.view.speed, 2),
        }
        ticket = FleetTicket(
            self, self._clock, record.upstream, number, _urgency(order), inputs
        )
        if choice.fetch_from is not None:
            ticket.fetch_from = self._records[choice.fetch_from].upstream.address
        return ticket

    def _refusal(
        self, order: Order, choice: Choice, upstreams: Sequence[Upstream], now: float
    ) -> NoUpstreamError:
        """Return the refusal of a request that would do more harm than good."""
        backlogs = sorted(
            self._records[upstream.id].view.backlog_s(now) for upstream in upstreams
        )
        median = backlogs[len(backlogs) // 2]
        log_event(
            'request_not_worth_it',
            id=order.request.id,
            upstream=choice.name,
            loss=round(choice.loss, 2),
            losses=_rounded(choice),
            expected_first_ms=int(choice.first_event_s * 1000),
            least_backlog_ms=int(backlogs[0] * 1000),
            median_backlog_ms=int(median * 1000),
        )
        wait = max(LEAST_RETRY_S, median) * self._rng.uniform(0.75, 1.5)
        return NoUpstreamError('all engines are busy', wait)

    def _candidates(
        self, order: Order, upstreams: Sequence[Upstream], prompt: Prompt, now: float
    ) -> Iterable[Candidate]:
        names = [upstream.id for upstream in upstreams]
        affinity = rank_by_affinity(prompt.key, names)
        engine = order.service.engine
        lends = engine is not None and engine.shares_cache
        for upstream in upstreams:
            record = self._record(upstream)
            paused = self._outliers.is_paused(upstream.id, now)
            yield Candidate(
                upstream.id,
                record.view,
                record.cache,
                upstream.zone == self._zone,
                affinity[upstream.id],
                self._penalty(upstream.id, names, now),
                lends and not paused,
            )

    def _place_plain(self, order: Order, upstreams: Sequence[Upstream]) -> Ticket:
        now = self._clock.monotonic()
        names = [upstream.id for upstream in upstreams]

        def loss(upstream: Upstream) -> float:
            view = self._record(upstream).view
            far = 0.0 if upstream.zone == self._zone else OTHER_ZONE_LOSS
            slots = max(1, upstream.slots)
            load = (view.requests + far) / slots + view.overdue_s(now)
            return load + self._penalty(upstream.id, names, now)

        chosen = min(upstreams, key=loss)
        number = self._next_number()
        entry = Placed(
            number=number,
            upstream=chosen.id,
            rank=order.rank,
            prefill_tokens=0,
            memory_tokens=0,
            output_tokens=0,
            pause_s=0.0,
            age_s=0.0,
            expected_first_s=FIRST_EVENT_APP_S,
            patience_s=max(0.0, order.expires - now),
            parts=(),
        )
        inputs = {'upstream_requests': self._records[chosen.id].view.requests}
        self._apply_placed(OWN, entry, now)
        self.tell_placed(entry)
        return FleetTicket(self, self._clock, chosen, number, None, inputs)

    def _penalty(self, name: str, names: Sequence[str], now: float) -> float:
        loss = FAILURE_LOSS * self._outliers.excess(name, names)
        if self._outliers.is_paused(name, now):
            loss += PAUSED_LOSS
        return loss

    # Learning.

    def note_started(self, upstream: Upstream, number: int) -> None:
        """Note that one of this host's requests got its first event.

        :param upstream: that sent it
        :param number: of the request
        """
        self._start(OWN, upstream.id, number)
        self.tell_started(number)

    def note_ended(
        self, upstream: Upstream, number: int, outcome: str, took_s: float
    ) -> None:
        """Note that one of this host's requests ended.

        :param upstream: that had it
        :param number: of the request
        :param outcome: as :meth:`Ticket.end` gets it
        :param took_s: from its placement on
        """
        if outcome == 'done':
            self._durations.record(upstream.service, took_s)
        self._own.pop(number, None)
        self._end(OWN, upstream.id, number)
        self.tell_ended(number)
        closes = outcome == 'unreachable' or (
            outcome == 'silent' and self._is_engine(upstream)
        )
        if closes:
            self._close(upstream.id)
            self.tell_closed(upstream.id)
        elif outcome != 'cancelled':
            self._outliers.record(upstream.id, failed=outcome != 'done')

    def is_silent(self, upstream: Upstream, waited_s: float) -> bool:
        """Return whether an upstream owes answers and sent nothing for too long.

        :param upstream: the upstream
        :param waited_s: how long the asking request has waited
        """
        record = self._records.get(upstream.id)
        if record is None:
            return False
        if not record.view.size.cache_tokens:
            return waited_s > self._durations.limit_s(upstream.service)
        if waited_s < SILENT_S:
            return False
        quiet = self._clock.monotonic() - max(record.heard_at, record.busy_at)
        return quiet >= (SILENT_S if record.view.streams else SILENT_PREFILL_S)

    def note_heard(self, upstream: Upstream) -> None:
        """Note that something arrived from an upstream.

        :param upstream: the upstream
        """
        record = self._records.get(upstream.id)
        if record is not None:
            record.heard_at = self._clock.monotonic()

    def own_numbers(self) -> list[int]:
        """Return the numbers of this host's requests in flight."""
        return list(self._own)

    def apply_update(self, update: Update) -> None:
        """Take over a peer's news.

        :param update: the news
        """
        now = self._clock.monotonic()
        for entry in update.placed:
            upstream = self._upstreams.get(entry.upstream)
            if upstream is not None:
                self._record(upstream)
                self._apply_placed(update.host, entry, now)
        flights = self._remote.get(update.host, {})
        for number in update.started:
            if number in flights:
                self._start(update.host, flights[number][0], number)
        for number in update.ended:
            self._end_remote(update.host, number)
        for name in update.closed:
            self._close(name)
        if update.sync:
            self._drop_missing(update.host, set(update.active), now)

    def forget_host(self, host: str) -> None:
        """Drop the requests of a peer that is gone.

        :param host: its address
        """
        for number in list(self._remote.get(host, {})):
            self._end_remote(host, number)
        self._remote.pop(host, None)

    def retain(self, upstreams: Iterable[Upstream]) -> None:
        """Drop what is known of all other incarnations.

        :param upstreams: those in use
        """
        kept = {upstream.id: upstream for upstream in upstreams}
        self._upstreams = kept
        for name, record in list(self._records.items()):
            if name not in kept or kept[name] != record.upstream:
                del self._records[name]
        self._outliers.forget(kept)

    def dump(self) -> dict[str, object]:
        """Return what is believed of each upstream, in JSON's types."""
        now = self._clock.monotonic()
        return {
            name: {
                'requests': record.view.requests,
                'streams': record.view.streams,
                'backlog_s': round(record.view.backlog_s(now), 3),
                'memory_tokens': record.view.memory_tokens,
                'speed': round(record.view.speed, 2),
                'paused': self._outliers.is_paused(name, now),
            }
            for name, record in self._records.items()
        }

    def _record(self, upstream: Upstream) -> EngineRecord:
        record = self._records.get(upstream.id)
        if record is None or record.upstream != upstream:
            service = self._find_service(upstream.service)
            record = EngineRecord(upstream, _size(upstream, service))
            self._records[upstream.id] = record
        return record

    def _is_engine(self, upstream: Upstream) -> bool:
        record = self._records.get(upstream.id)
        return record is not None and record.view.size.cache_tokens > 0

    def _close(self, name: str) -> None:
        """Send nothing to an upstream for a while, and forget what it held."""
        now = self._clock.monotonic()
        if not self._outliers.is_paused(name, now):
            self._outliers.record_silence(name, now)
        self._records.pop(name, None)

    def _apply_placed(self, host: str, entry: Placed, now: float) -> None:
        record = self._records[entry.upstream]
        flight = Flight(
            FlightKey(host, entry.number),
            entry.rank,
            entry.prefill_tokens,
            entry.memory_tokens,
            entry.output_tokens,
            entry.pause_s or None,
            now - entry.age_s,
            entry.expected_first_s,
            now - entry.age_s + entry.patience_s,
        )
        if not record.view.requests:
            record.busy_at = now
        record.view.add(flight, now)
        if entry.parts:
            record.cache.touch(
                entry.parts, record.view.output_tokens, now + entry.expected_first_s
            )
            self._uses.touch(entry.parts[:-1], now)
        if host == OWN:
            self._own[entry.number] = entry.upstream
        else:
            flights = self._remote.setdefault(host, {})
            flights[entry.number] = (entry.upstream, now)

    def _start(self, host: str, name: str, number: int) -> None:
        record = self._records.get(name)
        if record is not None:
            record.heard_at = self._clock.monotonic()
            record.view.first_event(FlightKey(host, number), self._clock.monotonic())

    def _end(self, host: str, name: str, number: int) -> None:
        record = self._records.get(name)
        if record is not None:
            record.view.end(FlightKey(host, number), self._clock.monotonic())

    def _end_remote(self, host: str, number: int) -> None:
        known = self._remote.get(host, {}).pop(number, None)
        if known is not None:
            self._end(host, known[0], number)

    def _drop_missing(self, host: str, active: set[int], now: float) -> None:
        """Drop a peer's requests whose end was lost on the way."""
        for number, (_, placed_at) in list(self._remote.get(host, {}).items()):
            if number not in active or now - placed_at > GHOST_S:
                self._end_remote(host, number)

    def _next_number(self) -> int:
        self._numbers = (self._numbers + 1) % 2**32
        return self._numbers


def hashed_parts(prompt: Prompt) -> tuple[Part, ...]:
    """Return a prompt's parts with digests that tell models apart.

    :param prompt: the prompt
    """
    return tuple(
        (_digest(prompt.model, part.digest), part.tokens) for part in prompt.parts
    )


@functools.lru_cache(maxsize=4096)
def _digest(model: str, digest: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{model}\x00{digest}'.encode())


def _size(upstream: Upstream, service: Service | None) -> EngineSize:
    engine = None if service is None else service.engine
    if engine is None:
        return EngineSize(max(1, upstream.slots), 0, 1)
    return EngineSize(engine.batch_slots, engine.cache_tokens, engine.tokens_per_event)


def _rounded(choice: Choice) -> dict[str, float]:
    """Return the parts of a choice's loss that count, for the log."""
    parts = choice.losses._asdict().items()
    return {name: round(part, 3) for name, part in parts if part >= LOGGED_LOSS}


def _urgency(order: Order) -> int:
    """Return the engine's order of admission: workspace first, then route."""
    route = min(order.rank, ROUTE_RANKS - 1)
    return min(MAX_URGENCY, (order.workspace_rank or 0) * ROUTE_RANKS + route)


def _ignore(_: object) -> None:
    """Tell nobody."""
