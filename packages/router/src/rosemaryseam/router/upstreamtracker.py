"""Tracks the state of upstreams and selects an upstream for each request."""

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
from rosemaryseam.policy.queueroom import UNUSED_S
from rosemaryseam.policy.sizes import RouteSizes
from rosemaryseam.router.brittleness import Brittleness
from rosemaryseam.router.crashes import CrashLedger
from rosemaryseam.router.placement import NoUpstreamError
from rosemaryseam.router.queries import InFlightReport, Placement
from rosemaryseam.router.requestlimits import RequestLimits

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.prefixes import Part
    from rosemaryseam.router.queries import PlacedPrompt, Query
    from rosemaryseam.router.requestlimits import LimitReport
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.upstreams import Upstream

NO_UPSTREAM_RETRY_S = 0.5  # retry delay when no upstream is registered
MIN_RETRY_DELAY_S = 0.4  # about as long as the backlog of an engine lasts
OUTPUT_TOKEN_WORK = 10  # work of a generated token, in prompt tokens
EJECTED_LOSS = 50.0  # for an ejected upstream, which fails to answer while others do
FAILURE_LOSS = 4.0  # for an upstream that always fails while others never do
OTHER_ZONE_LOSS = 0.3  # in request slots, for app runners
APP_FIRST_EVENT_S = 0.05  # expected delay of an answer from an app runner
MIN_LOGGED_LOSS = 0.01  # smaller components of a loss are not logged
# Outcomes caused by the caller or the request, not by the upstream.
NEUTRAL_OUTCOMES = ('cancelled', 'failed_again')
UNREACHABLE_OUTCOMES = ('unreachable', 'crashed')
ROUTE_RANKS = 3  # urgency levels per workspace rank
MAX_URGENCY = 9  # least urgent value that is sent to engines


class _UpstreamState:
    """Holds the tracked state of one incarnation of an upstream."""

    def __init__(self, upstream: Upstream, capacity: EngineCapacity) -> None:
        self.upstream = upstream
        self.view = EngineView(capacity, EnginePerformance())
        self.cache = EngineCache(capacity.cache_tokens)


class UpstreamTracker:
    """Tracks requests in flight, caches and failures of upstreams to place requests.

    :param clock: clock of the process
    :param find_service: returns a service by name, or ``None`` if it is unknown
    :param rng: source of the jitter of retry delays
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
        self._states: dict[str, _UpstreamState] = {}
        self._request_upstreams: dict[str, dict[int, str]] = {}
        self._part_uses = PartUses()
        self._outliers = OutlierDetector()
        self._route_sizes = RouteSizes()
        self._durations = AnswerDurations()
        self.crashes = CrashLedger(clock)
        self.limits = RequestLimits(clock)
        self.brittleness = Brittleness(
            clock,
            rng,
            lambda name: self._upstreams.get(name),
            self._in_flight,
            self._is_used,
        )

    # Placement.

    def place(
        self,
        host: str,
        query: Query,
        names: Sequence[str],
        limit_share: Callable[[], float] = lambda: 1.0,
    ) -> Placement:
        """Select an upstream and record the request as in flight there.

        :param host: address of the host that sent the query
        :param query: request to place
        :param names: ids of the eligible upstreams
        :param limit_share: returns the share of the upstreams' request limits that this
            host may use
        :raises NoUpstreamError: if no upstream should get the request now
        """
        upstreams = [
            self._upstreams[name]
            for name in names
            if name in self._upstreams and name not in query.excluded
        ]
        if query.version is not None:
            upstreams = [one for one in upstreams if one.version == query.version]
        if not upstreams:
            raise NoUpstreamError('no upstream is registered', NO_UPSTREAM_RETRY_S)
        self.crashes.check(query)
        opened = self.limits.open_upstreams(upstreams, limit_share)
        if not opened:
            raise self._limits_refusal(host, query, upstreams)
        roomy = self.brittleness.open_upstreams(opened, limit_share)
        if not roomy:
            raise self.brittleness.refusal(host, query, opened)
        place = self._place_prompt if query.parts else self._place_without_prompt
        placement = place(host, query, roomy)
        return self.brittleness.describe_placement(
            self._upstreams[placement.upstream], placement
        )

    def pressure(self, names: Iterable[str]) -> float:
        """Return the mean share of time that engines spend on prefill.

        :param names: ids of the engines
        """
        now = self._clock.monotonic()
        shares = [
            self._states[name].view.prefill_share(now)
            for name in names
            if name in self._states
        ]
        return sum(shares) / len(shares) if shares else 0.0

    def _place_prompt(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> Placement:
        now = self._clock.monotonic()
        work = float(query.prompt_tokens + OUTPUT_TOKEN_WORK * query.max_output_tokens)
        size = self._route_sizes.observe(query.route, query.prompt_tokens, work)
        request = PlacementRequest(
            rank=query.rank,
            relative_work=size.relative_work,
            headroom_tokens=size.headroom_tokens,
            allowance=self._route_sizes.allowance(query.route, size),
            parts=query.parts,
            prompt_tokens=query.prompt_tokens,
            output_tokens=query.output_tokens,
            pause_s=query.pause_s,
            due_in_s=query.due_in_s,
            expires_in_s=query.expires_in_s,
            body_bytes=query.body_bytes,
        )
        candidates = list(self._candidates(query, upstreams, now))
        choice = choose_engine(request, candidates, self._part_uses, now)
        assert choice is not None
        placed = should_admit(request, choice)
        self._route_sizes.record_outcome(query.route, size, placed=placed)
        if not placed:
            raise self._refusal(host, query, request, choice, candidates, now)
        view = self._states[choice.name].view
        backlog_ms = int(view.backlog_s(now) * 1000)
        news_age_ms = int(view.last_event_age_s(now) * 1000)
        self._record_placement(host, query, choice.name, choice, now)
        inputs = {
            'prefill_tokens': choice.prefill_tokens,
            'cached_tokens': choice.cached_tokens,
            'fetch_tokens': choice.fetch_tokens,
            'backlog_ms': backlog_ms,
            'news_age_ms': news_age_ms,
            'expected_first_ms': int(choice.first_event_s * 1000),
            'loss': round(choice.loss, 3),
            'losses': _loss_breakdown(choice),
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
            self.limits.get(self._upstreams[choice.name].incarnation),
        )

    def _limits_refusal(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> NoUpstreamError:
        """Log and return the refusal of a request that no limit allows now."""
        opens_in_s = self.limits.opens_in_s(upstreams)
        log_event(
            'request_over_limits',
            id=query.request_id,
            asked_by=host,
            route=query.route,
            limits={
                upstream.id: self.limits.get(upstream.incarnation)
                for upstream in upstreams
            },
            opens_in_ms=int(opens_in_s * 1000),
        )
        wait = max(MIN_RETRY_DELAY_S, opens_in_s) * self._rng.uniform(1.0, 1.5)
        return NoUpstreamError('all upstreams are at their request limits', wait)

    def _refusal(
        self,
        host: str,
        query: Query,
        request: PlacementRequest,
        choice: EngineChoice,
        candidates: Iterable[EngineCandidate],
        now: float,
    ) -> NoUpstreamError:
        """Log and return the refusal of a request whose expected loss is too high."""
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
            losses=_loss_breakdown(choice),
            expected_first_ms=int(choice.first_event_s * 1000),
            least_backlog_ms=int(backlogs[0] * 1000),
            median_backlog_ms=int(median * 1000),
        )
        wait = max(MIN_RETRY_DELAY_S, median) * self._rng.uniform(0.75, 1.5)
        return NoUpstreamError('all engines are busy', wait)

    def _candidates(
        self, query: Query, upstreams: Sequence[Upstream], now: float
    ) -> Iterator[EngineCandidate]:
        names = [upstream.id for upstream in upstreams]
        session = query.parts[-2] if len(query.parts) > 1 else query.parts[0]
        affinity = rank_by_affinity(str(session[0]), names)
        service = self._find_service(query.service)
        engine = service.engine if service is not None else None
        shares_cache = engine is not None and engine.shares_cache
        median_failure_rate = self._outliers.median_failure_rate(names, now)
        for upstream in upstreams:
            state = self._get_state(upstream)
            ejected = self._outliers.is_ejected(upstream.id, now)
            yield EngineCandidate(
                upstream.id,
                state.view,
                state.cache,
                upstream.zone == query.zone,
                affinity[upstream.id],
                self._failure_loss(upstream.id, median_failure_rate, now),
                shares_cache and not ejected,
            )

    def _place_without_prompt(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> Placement:
        now = self._clock.monotonic()
        median_failure_rate = self._outliers.median_failure_rate(
            [upstream.id for upstream in upstreams], now
        )

        def loss(upstream: Upstream) -> float:
            view = self._get_state(upstream).view
            zone_loss = 0.0 if upstream.zone == query.zone else OTHER_ZONE_LOSS
            slots = max(1, upstream.slots)
            load = (view.requests + zone_loss) / slots + view.overdue_s(now)
            return load + self._failure_loss(upstream.id, median_failure_rate, now)

        chosen = min(upstreams, key=loss)
        view = self._states[chosen.id].view
        inputs: dict[str, object] = {
            'upstream_requests': view.requests,
            'news_age_ms': int(view.last_event_age_s(now) * 1000),
        }
        self._record_placement(host, query, chosen.id, None, now)
        limit = self._durations.answer_timeout_s(query.service, query.due_in_s)
        return Placement(
            query.number,
            chosen.id,
            None,
            None,
            APP_FIRST_EVENT_S,
            limit,
            1.0,
            inputs,
            self.limits.get(chosen.incarnation),
        )

    def _failure_loss(self, name: str, median_failure_rate: float, now: float) -> float:
        loss = FAILURE_LOSS * self._outliers.excess_failure_rate(
            name, median_failure_rate, now
        )
        if self._outliers.is_ejected(name, now):
            loss += EJECTED_LOSS
        return loss

    def _record_placement(
        self,
        host: str,
        query: Query,
        name: str,
        choice: EngineChoice | None,
        now: float,
    ) -> None:
        own_tokens = query.parts[-1][1] if query.parts else 0
        report = InFlightReport(
            number=query.number,
            upstream=name,
            rank=query.rank,
            prefill_tokens=choice.prefill_tokens if choice else 0,
            memory_tokens=own_tokens + query.output_tokens,
            output_tokens=query.output_tokens,
            pause_s=query.pause_s if choice else None,
            expected_first_s=choice.first_event_s if choice else APP_FIRST_EVENT_S,
            age_s=0.0,
            expires_in_s=query.expires_in_s,
            started=False,
        )
        state = self._states[name]
        state.view.add(self._register_request(host, report, now), now)
        if query.parts:
            ready_at = now + report.expected_first_s
            state.cache.touch(query.parts, state.view.output_tokens, ready_at)
            self._part_uses.touch(query.parts[:-1], now)
        self.crashes.record_placement(host, query, state.upstream)
        self.limits.charge(state.upstream)
        self.brittleness.record_placement(
            state.upstream, RequestKey(host, query.number)
        )

    # Request lifecycle.

    def adopt_request(self, host: str, report: InFlightReport) -> None:
        """Record a request in flight that another dispatcher placed.

        :param host: address of the host that forwards the request
        :param report: report of the request
        """
        upstream = self._upstreams.get(report.upstream)
        if upstream is None or report.number in self._request_upstreams.get(host, {}):
            return
        now = self._clock.monotonic()
        in_flight = self._register_request(host, report, now)
        self._get_state(upstream).view.adopt(in_flight, now, started=report.started)

    def adopt_prompt(self, placed: PlacedPrompt) -> None:
        """Record a prompt that an engine prefilled for another dispatcher.

        :param placed: recently placed prompt
        """
        upstream = self._upstreams.get(placed.upstream)
        if upstream is None:
            return
        now = self._clock.monotonic()
        state = self._get_state(upstream)
        state.view.adopt_slowdown(placed.engine_slowdown)
        state.cache.touch(placed.parts, state.view.output_tokens, now)
        self._part_uses.touch(placed.parts[:-1], now - placed.age_s)

    def adopt_limit(self, report: LimitReport, source: str) -> None:
        """Record the request limit of an upstream that another host was told of.

        :param report: report of the limit
        :param source: address of that host
        """
        upstream = self._upstreams.get(report.upstream)
        if upstream is not None and upstream.born == report.born:
            self.limits.adopt(report, source)

    def record_first_event(self, host: str, number: int) -> None:
        """Record that the first event of a request has arrived.

        :param host: address of the host that forwards the request
        :param number: number of the request on that host
        """
        self.crashes.record_first_event(host, number)
        state = self._find_state(host, number)
        if state is not None:
            key = RequestKey(host, number)
            state.view.record_first_event(key, self._clock.monotonic())
            self.brittleness.record_first_event(state.upstream, key)

    def record_end(
        self, host: str, number: int, outcome: str, duration_s: float
    ) -> None:
        """Record the end and the outcome of a request.

        :param host: address of the host that forwarded the request
        :param number: number of the request on that host
        :param outcome: outcome, as passed to :meth:`Ticket.end`
        :param duration_s: time from the placement to the end, in seconds
        """
        self.crashes.record_end(host, number, outcome)
        state = self._find_state(host, number)
        name = self._request_upstreams.get(host, {}).pop(number, None)
        if name in self._upstreams:
            self.brittleness.record_end(
                self._upstreams[name], RequestKey(host, number), outcome
            )
        if state is None:
            return
        now = self._clock.monotonic()
        upstream = state.upstream
        state.view.record_end(RequestKey(host, number), now)
        if outcome in ('done', 'silent'):
            self._durations.record(upstream.service, duration_s)
        is_engine = state.view.capacity.cache_tokens > 0
        if outcome in UNREACHABLE_OUTCOMES or (outcome == 'silent' and is_engine):
            self._eject(upstream.id, now)
        elif outcome not in NEUTRAL_OUTCOMES:
            self._outliers.record(upstream.id, now, failed=outcome != 'done')

    def retain_requests(self, host: str, numbers: set[int]) -> None:
        """Drop the requests of a host whose end reports were lost.

        :param host: address of the host
        :param numbers: numbers of the requests that the host still forwards
        """
        now = self._clock.monotonic()
        requests = self._request_upstreams.get(host, {})
        for number in [one for one in requests if one not in numbers]:
            state = self._find_state(host, number)
            del requests[number]
            self.crashes.drop_request(host, number)
            if state is not None:
                state.view.record_end(RequestKey(host, number), now)

    def forget_host(self, host: str) -> None:
        """Drop all requests of a host that fell silent or restarted.

        :param host: address of the host
        """
        self.retain_requests(host, set())
        self._request_upstreams.pop(host, None)

    def retain_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Drop the state of all upstreams and incarnations except the given ones.

        :param upstreams: upstreams in use
        """
        kept = {upstream.id: upstream for upstream in upstreams}
        self._upstreams = kept
        self.brittleness.retain(kept.values())
        for name, state in list(self._states.items()):
            if name not in kept or kept[name] != state.upstream:
                del self._states[name]
        self._outliers.retain(kept)
        self.limits.retain(upstream.incarnation for upstream in kept.values())

    def cached_tokens(self, name: str, parts: Sequence[Part]) -> int:
        """Return the estimated number of leading prompt tokens cached by an engine.

        :param name: id of the engine
        :param parts: parts of the prompt in order
        """
        state = self._states.get(name)
        return state.cache.cached_tokens(parts) if state is not None else 0

    def dump(self) -> dict[str, object]:
        """Return the tracked state of each upstream as JSON types."""
        now = self._clock.monotonic()
        return {
            name: {
                'requests': state.view.requests,
                'streams': state.view.streams,
                'backlog_s': round(state.view.backlog_s(now), 3),
                'memory_tokens': state.view.memory_tokens,
                'speed': round(state.view.slowdown, 2),
                'paused': self._outliers.is_ejected(name, now),
                'request_limit': self.limits.get(state.upstream.incarnation),
                'brittle': self.brittleness.dump(state.upstream),
            }
            for name, state in self._states.items()
        }

    def _register_request(
        self, host: str, report: InFlightReport, now: float
    ) -> InFlightRequest:
        """Register the upstream of a request and return the request for its view."""
        self._request_upstreams.setdefault(host, {})[report.number] = report.upstream
        return InFlightRequest(
            RequestKey(host, report.number),
            report.rank,
            report.prefill_tokens,
            report.memory_tokens,
            report.output_tokens,
            report.pause_s,
            now - report.age_s,
            report.expected_first_s,
            now + report.expires_in_s,
        )

    def _eject(self, name: str, now: float) -> None:
        """Eject an upstream for a while and drop its state."""
        if not self._outliers.is_ejected(name, now):
            self._outliers.record_unreachable(name, now)
        self._states.pop(name, None)

    def _in_flight(self, upstream: Upstream) -> int:
        state = self._states.get(upstream.id)
        known = state is not None and state.upstream == upstream
        return state.view.requests if known else 0

    def _is_used(self, upstream: Upstream) -> bool:
        """Return whether requests that this host placed on an upstream ended lately."""
        state = self._states.get(upstream.id)
        if state is None or state.upstream != upstream:
            return False
        return 0 <= state.view.last_event_age_s(self._clock.monotonic()) < UNUSED_S

    def _find_state(self, host: str, number: int) -> _UpstreamState | None:
        name = self._request_upstreams.get(host, {}).get(number)
        return None if name is None else self._states.get(name)

    def _get_state(self, upstream: Upstream) -> _UpstreamState:
        state = self._states.get(upstream.id)
        if state is None or state.upstream != upstream:
            service = self._find_service(upstream.service)
            state = _UpstreamState(upstream, _engine_capacity(upstream, service))
            self._states[upstream.id] = state
        return state


def _engine_capacity(upstream: Upstream, service: Service | None) -> EngineCapacity:
    engine = None if service is None else service.engine
    if engine is None:
        return EngineCapacity(max(1, upstream.slots), 0, 1)
    return EngineCapacity(
        engine.batch_slots, engine.cache_tokens, engine.tokens_per_event
    )


def _loss_breakdown(choice: EngineChoice) -> dict[str, float]:
    """Return the components of a loss that are large enough to be logged."""
    parts = choice.losses._asdict().items()
    return {name: round(part, 3) for name, part in parts if part >= MIN_LOGGED_LOSS}


def _urgency(query: Query) -> int:
    """Return the admission priority: by workspace rank, then by route rank."""
    route = min(query.rank, ROUTE_RANKS - 1)
    return min(MAX_URGENCY, (query.workspace_rank or 0) * ROUTE_RANKS + route)
