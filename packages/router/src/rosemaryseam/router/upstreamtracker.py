"""What a dispatcher knows of its upstreams, and the placements it makes from that."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.durations import AnswerDurations
from rosemaryseam.policy.engineplacement import (
    EngineCandidate,
    EngineChoice,
    PlacementRequest,
    choose_engine,
    rank_by_affinity,
    should_admit,
)
from rosemaryseam.policy.engines import (
    EngineCapacity,
    EnginePerformance,
    EngineView,
    InFlightRequest,
    RequestKey,
)
from rosemaryseam.policy.outliers import OutlierDetector
from rosemaryseam.policy.prefixes import EngineCache, PartUses
from rosemaryseam.policy.sizes import RouteSizes
from rosemaryseam.router.placement import NoUpstreamError
from rosemaryseam.router.queries import InFlightReport, Placement

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.prefixes import Part
    from rosemaryseam.router.queries import PlacedPrompt, Query
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.upstreams import Upstream

NO_UPSTREAM_RETRY_S = 0.5
LEAST_RETRY_S = 0.4  # engines' backlogs last for about that long
OUTPUT_WORK = 10  # a generated token counts like so many prompt tokens
PAUSED_LOSS = 50.0  # an upstream that does not answer, while others do
FAILURE_LOSS = 4.0  # for an upstream that always fails
OTHER_ZONE_LOSS = 0.3  # of a request's slot, for app runners
FIRST_EVENT_APP_S = 0.05
LOGGED_LOSS = 0.01
TELLS_NOTHING = ('cancelled', 'failed_again')  # outcomes due to caller or request
ROUTE_RANKS = 3  # route ranks that are told apart below a workspace's rank
MAX_URGENCY = 9


class _Record:
    """All that is believed of one incarnation of an upstream."""

    def __init__(self, upstream: Upstream, size: EngineCapacity) -> None:
        self.upstream = upstream
        self.view = EngineView(size, EnginePerformance())
        self.cache = EngineCache(size.cache_tokens)


class UpstreamTracker:
    """Requests in flight by upstream, and what their outcomes taught.

    :param clock: the process's clock
    :param find_service: returns a service by name, ``None`` when it is unknown
    :param rng: spreads the return of refused callers
    """

    def __init__(
        self,
        clock: Clock,
        find_service: Callable[[str], Service | None],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._find_service = find_service
        self._upstreams: dict[str, Upstream] = {}
        self._records: dict[str, _Record] = {}
        self._flights: dict[str, dict[int, str]] = {}
        self._uses = PartUses()
        self._outliers = OutlierDetector()
        self._sizes = RouteSizes()
        self._durations = AnswerDurations()

    # Placement.

    def place(self, host: str, query: Query, names: Sequence[str]) -> Placement:
        """Choose an upstream and note the request there.

        :param host: that asks
        :param query: the request
        :param names: ids of the upstreams that may get it
        :raises NoUpstreamError: none should get it now
        """
        upstreams = [
            self._upstreams[name]
            for name in names
            if name in self._upstreams and name not in query.excluded
        ]
        if not upstreams:
            raise NoUpstreamError('no upstream is registered', NO_UPSTREAM_RETRY_S)
        if query.parts:
            return self._place_prompt(host, query, upstreams)
        return self._place_plain(host, query, upstreams)

    def pressure(self, names: Iterable[str]) -> float:
        """Return the mean share of time that engines spend on prefill.

        :param names: ids of the engines
        """
        now = self._clock.monotonic()
        shares = [
            self._records[name].view.prefill_share(now)
            for name in names
            if name in self._records
        ]
        return sum(shares) / len(shares) if shares else 0.0

    def _place_prompt(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> Placement:
        now = self._clock.monotonic()
        work = float(query.prompt_tokens + OUTPUT_WORK * query.max_output_tokens)
        size = self._sizes.observe(query.route, query.prompt_tokens, work)
        request = PlacementRequest(
            rank=query.rank,
            relative_work=size.relative_work,
            headroom_tokens=size.headroom_tokens,
            allowance=self._sizes.allowance(query.route, size),
            parts=query.parts,
            prompt_tokens=query.prompt_tokens,
            output_tokens=query.output_tokens,
            pause_s=query.pause_s,
            time_left_s=query.time_left_s,
            patience_s=query.patience_s,
            body_bytes=query.body_bytes,
        )
        candidates = list(self._candidates(query, upstreams, now))
        choice = choose_engine(request, candidates, self._uses, now)
        assert choice is not None
        placed = should_admit(request, choice)
        self._sizes.record_outcome(query.route, size, placed=placed)
        if not placed:
            raise self._refusal(host, query, request, choice, candidates, now)
        view = self._records[choice.name].view
        backlog_ms = int(view.backlog_s(now) * 1000)
        news_age_ms = int(view.last_event_age_s(now) * 1000)
        self._note(host, query, choice.name, choice, now)
        inputs = {
            'prefill_tokens': choice.prefill_tokens,
            'cached_tokens': choice.cached_tokens,
            'fetch_tokens': choice.fetch_tokens,
            'backlog_ms': backlog_ms,
            'news_age_ms': news_age_ms,
            'expected_first_ms': int(choice.first_event_s * 1000),
            'loss': round(choice.loss, 3),
            'losses': _rounded(choice),
            'engine_requests': view.requests,
            'engine_speed': round(view.slowdown, 2),
        }
        return Placement(
            query.number,
            choice.name,
            _urgency(query),
            choice.fetch_from,
            choice.first_event_s,
            None,
            view.slowdown,
            inputs,
        )

    def _refusal(
        self,
        host: str,
        query: Query,
        request: PlacementRequest,
        choice: EngineChoice,
        candidates: Iterable[EngineCandidate],
        now: float,
    ) -> NoUpstreamError:
        """Return the refusal of a request that would do more harm than good."""
        backlogs = sorted(entry.view.backlog_s(now) for entry in candidates)
        median = backlogs[len(backlogs) // 2]
        log_event(
            'request_not_worth_it',
            id=query.request_id,
            asked_by=host,
            route=query.route,
            upstream=choice.name,
            size=round(request.relative_work, 2),
            allowance=round(request.allowance, 2),
            loss=round(choice.loss, 2),
            room_loss=round(choice.headroom_loss, 2),
            losses=_rounded(choice),
            expected_first_ms=int(choice.first_event_s * 1000),
            least_backlog_ms=int(backlogs[0] * 1000),
            median_backlog_ms=int(median * 1000),
        )
        wait = max(LEAST_RETRY_S, median) * self._rng.uniform(0.75, 1.5)
        return NoUpstreamError('all engines are busy', wait)

    def _candidates(
        self, query: Query, upstreams: Sequence[Upstream], now: float
    ) -> Iterator[EngineCandidate]:
        names = [upstream.id for upstream in upstreams]
        session = query.parts[-2] if len(query.parts) > 1 else query.parts[0]
        affinity = rank_by_affinity(str(session[0]), names)
        service = self._find_service(query.service)
        engine = service.engine if service is not None else None
        lends = engine is not None and engine.shares_cache
        usual = self._outliers.median_failure_rate(names, now)
        for upstream in upstreams:
            record = self._record(upstream)
            paused = self._outliers.is_ejected(upstream.id, now)
            yield EngineCandidate(
                upstream.id,
                record.view,
                record.cache,
                upstream.zone == query.zone,
                affinity[upstream.id],
                self._penalty(upstream.id, usual, now),
                lends and not paused,
            )

    def _place_plain(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> Placement:
        now = self._clock.monotonic()
        usual = self._outliers.median_failure_rate(
            [upstream.id for upstream in upstreams], now
        )

        def loss(upstream: Upstream) -> float:
            view = self._record(upstream).view
            far = 0.0 if upstream.zone == query.zone else OTHER_ZONE_LOSS
            slots = max(1, upstream.slots)
            load = (view.requests + far) / slots + view.overdue_s(now)
            return load + self._penalty(upstream.id, usual, now)

        chosen = min(upstreams, key=loss)
        view = self._records[chosen.id].view
        inputs: dict[str, object] = {
            'upstream_requests': view.requests,
            'news_age_ms': int(view.last_event_age_s(now) * 1000),
        }
        self._note(host, query, chosen.id, None, now)
        limit = self._durations.time_limit_s(query.service, query.time_left_s)
        return Placement(
            query.number, chosen.id, None, None, FIRST_EVENT_APP_S, limit, 1.0, inputs
        )

    def _penalty(self, name: str, usual: float, now: float) -> float:
        loss = FAILURE_LOSS * self._outliers.excess_failure_rate(name, usual, now)
        if self._outliers.is_ejected(name, now):
            loss += PAUSED_LOSS
        return loss

    def _note(
        self,
        host: str,
        query: Query,
        name: str,
        choice: EngineChoice | None,
        now: float,
    ) -> None:
        own_tokens = query.parts[-1][1] if query.parts else 0
        held = InFlightReport(
            number=query.number,
            upstream=name,
            rank=query.rank,
            prefill_tokens=choice.prefill_tokens if choice else 0,
            memory_tokens=own_tokens + query.output_tokens,
            output_tokens=query.output_tokens,
            pause_s=query.pause_s if choice else None,
            expected_first_s=choice.first_event_s if choice else FIRST_EVENT_APP_S,
            age_s=0.0,
            patience_s=query.patience_s,
            started=False,
        )
        record = self._records[name]
        record.view.add(self._flight(host, held, now), now)
        if query.parts:
            ready_at = now + held.expected_first_s
            record.cache.touch(query.parts, record.view.output_tokens, ready_at)
            self._uses.touch(query.parts[:-1], now)

    # What becomes of requests.

    def adopt_request(self, host: str, held: InFlightReport) -> None:
        """Note a request that was placed by somebody else.

        :param host: that has it
        :param held: the request
        """
        upstream = self._upstreams.get(held.upstream)
        if upstream is None or held.number in self._flights.get(host, {}):
            return
        now = self._clock.monotonic()
        flight = self._flight(host, held, now)
        self._record(upstream).view.adopt(flight, now, started=held.started)

    def adopt_prompt(self, placed: PlacedPrompt) -> None:
        """Note a prompt that an engine read before this dispatcher knew of it.

        :param placed: the prompt
        """
        upstream = self._upstreams.get(placed.upstream)
        if upstream is None:
            return
        now = self._clock.monotonic()
        record = self._record(upstream)
        record.view.adopt_slowdown(placed.engine_speed)
        record.cache.touch(placed.parts, record.view.output_tokens, now)
        self._uses.touch(placed.parts[:-1], now - placed.age_s)

    def record_first_event(self, host: str, number: int) -> None:
        """Note that a request got its first event.

        :param host: that has it
        :param number: of the request
        """
        record = self._record_of(host, number)
        if record is not None:
            record.view.record_first_event(
                RequestKey(host, number), self._clock.monotonic()
            )

    def record_end(self, host: str, number: int, outcome: str, took_s: float) -> None:
        """Note that a request is no longer in flight.

        :param host: that had it
        :param number: of the request
        :param outcome: as :meth:`Ticket.end` gets it
        :param took_s: from its placement on
        """
        record = self._record_of(host, number)
        self._flights.get(host, {}).pop(number, None)
        if record is None:
            return
        now = self._clock.monotonic()
        upstream = record.upstream
        record.view.record_end(RequestKey(host, number), now)
        if outcome in ('done', 'silent'):
            self._durations.record(upstream.service, took_s)
        is_engine = record.view.capacity.cache_tokens > 0
        if outcome == 'unreachable' or (outcome == 'silent' and is_engine):
            self._close(upstream.id, now)
        elif outcome not in TELLS_NOTHING:
            self._outliers.record(upstream.id, now, failed=outcome != 'done')

    def retain_requests(self, host: str, numbers: set[int]) -> None:
        """Drop a host's requests whose end was lost on the way.

        :param host: that has them
        :param numbers: those that it still has
        """
        now = self._clock.monotonic()
        flights = self._flights.get(host, {})
        for number in [one for one in flights if one not in numbers]:
            record = self._record_of(host, number)
            del flights[number]
            if record is not None:
                record.view.record_end(RequestKey(host, number), now)

    def forget_host(self, host: str) -> None:
        """Drop the requests of a host that is gone.

        :param host: the host
        """
        self.retain_requests(host, set())
        self._flights.pop(host, None)

    def retain_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Drop what is known of all other incarnations.

        :param upstreams: those in use
        """
        kept = {upstream.id: upstream for upstream in upstreams}
        self._upstreams = kept
        for name, record in list(self._records.items()):
            if name not in kept or kept[name] != record.upstream:
                del self._records[name]
        self._outliers.retain(kept)

    def cached_tokens(self, name: str, parts: Sequence[Part]) -> int:
        """Return how many leading tokens of a prompt an engine is believed to hold.

        :param name: id of the engine
        :param parts: the prompt's parts in order
        """
        record = self._records.get(name)
        return record.cache.cached_tokens(parts) if record is not None else 0

    def dump(self) -> dict[str, object]:
        """Return what is believed of each upstream, in JSON's types."""
        now = self._clock.monotonic()
        return {
            name: {
                'requests': record.view.requests,
                'streams': record.view.streams,
                'backlog_s': round(record.view.backlog_s(now), 3),
                'memory_tokens': record.view.memory_tokens,
                'speed': round(record.view.slowdown, 2),
                'paused': self._outliers.is_ejected(name, now),
            }
            for name, record in self._records.items()
        }

    def _flight(self, host: str, held: InFlightReport, now: float) -> InFlightRequest:
        """Return a request in flight and note who has it."""
        self._flights.setdefault(host, {})[held.number] = held.upstream
        return InFlightRequest(
            RequestKey(host, held.number),
            held.rank,
            held.prefill_tokens,
            held.memory_tokens,
            held.output_tokens,
            held.pause_s,
            now - held.age_s,
            held.expected_first_s,
            now + held.patience_s,
        )

    def _close(self, name: str, now: float) -> None:
        """Send nothing to an upstream for a while, and forget what it held."""
        if not self._outliers.is_ejected(name, now):
            self._outliers.record_unreachable(name, now)
        self._records.pop(name, None)

    def _record_of(self, host: str, number: int) -> _Record | None:
        name = self._flights.get(host, {}).get(number)
        return None if name is None else self._records.get(name)

    def _record(self, upstream: Upstream) -> _Record:
        record = self._records.get(upstream.id)
        if record is None or record.upstream != upstream:
            service = self._find_service(upstream.service)
            record = _Record(upstream, _size(upstream, service))
            self._records[upstream.id] = record
        return record


def _size(upstream: Upstream, service: Service | None) -> EngineCapacity:
    engine = None if service is None else service.engine
    if engine is None:
        return EngineCapacity(max(1, upstream.slots), 0, 1)
    return EngineCapacity(
        engine.batch_slots, engine.cache_tokens, engine.tokens_per_event
    )


def _rounded(choice: EngineChoice) -> dict[str, float]:
    """Return the parts of a choice's loss that count, for the log."""
    parts = choice.losses._asdict().items()
    return {name: round(part, 3) for name, part in parts if part >= LOGGED_LOSS}


def _urgency(query: Query) -> int:
    """Return the engine's order of admission: workspace first, then route."""
    route = min(query.rank, ROUTE_RANKS - 1)
    return min(MAX_URGENCY, (query.workspace_rank or 0) * ROUTE_RANKS + route)
