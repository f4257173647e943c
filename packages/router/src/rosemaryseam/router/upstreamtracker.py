"""Tracks the state of upstreams and selects an upstream for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.durations import AnswerDurations
from rosemaryseam.policy.engines import RequestKey
from rosemaryseam.policy.queueroom import UNUSED_S
from rosemaryseam.router.brittleness import Brittleness
from rosemaryseam.router.crashes import CrashLedger
from rosemaryseam.router.placement import NoUpstreamError
from rosemaryseam.router.promptplacer import MIN_RETRY_DELAY_S, PromptPlacer
from rosemaryseam.router.queries import InFlightReport, Placement
from rosemaryseam.router.requestlimits import RequestLimits
from rosemaryseam.router.upstreamstates import UpstreamStates
from rosemaryseam.router.workplacer import WorkPlacer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.engineplacement import EngineChoice
    from rosemaryseam.policy.prefixes import Part
    from rosemaryseam.router.learnedcapacity import LearnedReport
    from rosemaryseam.router.queries import PlacedPrompt, Query
    from rosemaryseam.router.requestlimits import LimitReport
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.statedload import LoadReport
    from rosemaryseam.router.upstreams import Upstream
    from rosemaryseam.router.upstreamstates import UpstreamState

NO_UPSTREAM_RETRY_S = 0.5  # retry delay when no upstream is registered
# Outcomes caused by the caller or the request, not by the upstream.
NEUTRAL_OUTCOMES = ('cancelled', 'failed_again')
UNREACHABLE_OUTCOMES = ('unreachable', 'crashed')
ROUTE_RANKS = 3  # urgency levels per workspace rank
MAX_URGENCY = 9  # least urgent value that is sent to engines


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
        self._states = UpstreamStates(clock, find_service)
        self._prompts = PromptPlacer(self._states, rng)
        self._works = WorkPlacer(self._states, rng)
        self._durations = AnswerDurations()
        self.learned = self._states.learned
        self.crashes = CrashLedger(clock)
        self.limits = RequestLimits(clock)
        self.brittleness = Brittleness(
            clock,
            rng,
            lambda name: self._states.upstreams.get(name),
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
            self._states.upstreams[name]
            for name in names
            if name in self._states.upstreams and name not in query.excluded
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
            self._states.upstreams[placement.upstream], placement
        )

    def pressure(self, names: Iterable[str]) -> float:
        """Return the mean share of time that engines spend on prefill.

        :param names: ids of the engines
        """
        now = self._clock.monotonic()
        shares = [
            self._states.known()[name].view.prefill_share(now)
            for name in names
            if name in self._states.known()
        ]
        return sum(shares) / len(shares) if shares else 0.0

    def _place_prompt(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> Placement:
        now = self._clock.monotonic()
        choice, inputs = self._prompts.place(host, query, upstreams)
        self._record_placement(host, query, choice.name, choice.first_event_s, choice)
        state = self._states.known()[choice.name]
        ready_at = now + choice.first_event_s
        state.cache.touch(query.parts, state.view.output_tokens, ready_at)
        self._prompts.part_uses.touch(query.parts[:-1], now)
        return Placement(
            query.number,
            choice.name,
            _urgency(query),
            choice.fetch_from,
            choice.first_event_s,
            None,
            state.view.slowdown,
            inputs,
            self.limits.get(state.upstream.incarnation),
        )

    def _place_without_prompt(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> Placement:
        chosen = self._works.place(host, query, upstreams)
        state = self._states.known()[chosen.name]
        ahead = state.view.requests
        self._record_placement(host, query, chosen.name, chosen.expected_s, None)
        state.learned.work.record_placement(
            RequestKey(host, query.number),
            ahead,
            state.learned.slots(state.upstream.slots),
            self._clock.monotonic(),
        )
        return Placement(
            query.number,
            chosen.name,
            None,
            None,
            chosen.expected_s,
            self._durations.answer_timeout_s(query.service, query.due_in_s),
            1.0,
            chosen.inputs,
            self.limits.get(state.upstream.incarnation),
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

    def _record_placement(
        self,
        host: str,
        query: Query,
        name: str,
        expected_s: float,
        choice: EngineChoice | None,
    ) -> None:
        now = self._clock.monotonic()
        own_tokens = query.parts[-1][1] if query.parts else 0
        report = InFlightReport(
            number=query.number,
            upstream=name,
            rank=query.rank,
            prefill_tokens=choice.prefill_tokens if choice else 0,
            memory_tokens=own_tokens + query.output_tokens,
            output_tokens=query.output_tokens,
            pause_s=query.pause_s if choice else None,
            expected_first_s=expected_s,
            age_s=0.0,
            expires_in_s=query.expires_in_s,
            started=False,
        )
        state = self._states.known()[name]
        state.view.add(self._states.register(host, report, now), now)
        self.crashes.record_placement(host, query)
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
        upstream = self._states.upstreams.get(report.upstream)
        if upstream is None or self._states.is_registered(host, report.number):
            return
        now = self._clock.monotonic()
        in_flight = self._states.register(host, report, now)
        self._states.get(upstream).view.adopt(in_flight, now, started=report.started)
        self.crashes.adopt_placement(host, report)

    def adopt_prompt(self, placed: PlacedPrompt) -> None:
        """Record a prompt that an engine prefilled for another dispatcher.

        :param placed: recently placed prompt
        """
        upstream = self._states.upstreams.get(placed.upstream)
        if upstream is None:
            return
        now = self._clock.monotonic()
        state = self._states.get(upstream)
        state.view.adopt_slowdown(placed.engine_slowdown)
        state.cache.touch(placed.parts, state.view.output_tokens, now)
        self._prompts.part_uses.touch(placed.parts[:-1], now - placed.age_s)

    def adopt_limit(self, report: LimitReport, source: str) -> None:
        """Record the request limit of an upstream that another host was told of.

        :param report: report of the limit
        :param source: address of that host
        """
        upstream = self._states.upstreams.get(report.upstream)
        if upstream is not None and upstream.born == report.born:
            self.limits.adopt(report, source)

    def apply_load(self, report: LoadReport) -> None:
        """Apply what a host saw of the load and the pace of an upstream.

        :param report: evidence of the host
        """
        upstream = self._states.upstreams.get(report.upstream)
        if upstream is None or upstream.born != report.born:
            return
        now = self._clock.monotonic()
        state = self._states.get(upstream)
        if report.load is not None:
            stated_at = now - report.age_s
            state.learned.record_load(report.load, state.view.requests, stated_at)
        if report.events and state.view.capacity.cache_tokens > 0:
            state.view.record_pace(report.event_gap_s, report.events, now)
            state.view.record_pause(report.longest_gap_s, now)

    def adopt_learned(self, report: LearnedReport) -> None:
        """Use what another host knows of an upstream, where nothing is known here.

        :param report: figures of the upstream
        """
        upstream = self._states.upstreams.get(report.upstream)
        if upstream is not None and upstream.born == report.born:
            slots = self._states.capacity(upstream).batch_slots
            self.learned.adopt(report, upstream, slots)

    def record_first_event(self, host: str, number: int) -> None:
        """Record that the first event of a request has arrived.

        :param host: address of the host that forwards the request
        :param number: number of the request on that host
        """
        self.crashes.record_first_event(host, number)
        state = self._states.find(host, number)
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
        state = self._states.find(host, number)
        name = self._states.unregister(host, number)
        if name in self._states.upstreams:
            self.brittleness.record_end(
                self._states.upstreams[name], RequestKey(host, number), outcome
            )
        if state is None:
            return
        now = self._clock.monotonic()
        upstream = state.upstream
        key = RequestKey(host, number)
        state.view.record_end(key, now)
        self._record_work(state, key, outcome, duration_s)
        if outcome in ('done', 'silent'):
            self._durations.record(upstream.service, duration_s)
        is_engine = state.view.capacity.cache_tokens > 0
        if outcome in UNREACHABLE_OUTCOMES or (outcome == 'silent' and is_engine):
            self._states.eject(upstream.id, now)
        elif outcome not in NEUTRAL_OUTCOMES:
            self._states.outliers.record(upstream.id, now, failed=outcome != 'done')

    def retain_requests(self, host: str, numbers: set[int]) -> None:
        """Drop the requests of a host whose end reports were lost.

        :param host: address of the host
        :param numbers: numbers of the requests that the host still forwards
        """
        now = self._clock.monotonic()
        for number in self._states.request_numbers(host):
            if number in numbers:
                continue
            state = self._states.find(host, number)
            self._states.unregister(host, number)
            self.crashes.drop_request(host, number)
            if state is not None:
                state.view.record_end(RequestKey(host, number), now)
                state.learned.work.drop(RequestKey(host, number))

    def forget_host(self, host: str) -> None:
        """Drop all requests of a host that fell silent or restarted.

        :param host: address of the host
        """
        self.retain_requests(host, set())
        self._states.forget_host(host)

    def retain_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Drop the state of all upstreams and incarnations except the given ones.

        :param upstreams: upstreams in use
        """
        kept = list(upstreams)
        self._states.retain(kept)
        self.brittleness.retain(kept)
        self.limits.retain(upstream.incarnation for upstream in kept)

    def cached_tokens(self, name: str, parts: Sequence[Part]) -> int:
        """Return the estimated number of leading prompt tokens cached by an engine.

        :param name: id of the engine
        :param parts: parts of the prompt in order
        """
        state = self._states.known().get(name)
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
                'paused': self._states.outliers.is_ejected(name, now),
                'request_limit': self.limits.get(state.upstream.incarnation),
                'brittle': self.brittleness.dump(state.upstream),
                'learned': self.learned.dump(
                    state.upstream, state.view.capacity.batch_slots
                ),
            }
            for name, state in self._states.known().items()
        }

    def _in_flight(self, upstream: Upstream) -> int:
        state = self._states.known().get(upstream.id)
        known = state is not None and state.upstream == upstream
        return state.view.requests if known else 0

    def _is_used(self, upstream: Upstream) -> bool:
        """Return whether requests that this host placed on an upstream ended lately."""
        state = self._states.known().get(upstream.id)
        if state is None or state.upstream != upstream:
            return False
        return 0 <= state.view.last_event_age_s(self._clock.monotonic()) < UNUSED_S

    def _record_work(
        self, state: UpstreamState, key: RequestKey, outcome: str, duration_s: float
    ) -> None:
        """Learn from the end of a request without a prompt."""
        work, now = state.learned.work, self._clock.monotonic()
        if state.view.capacity.cache_tokens > 0:
            return
        if outcome == 'done':
            work.record_answer(key, duration_s, now)
        elif outcome == 'declined':
            work.record_declined(key, now)
        else:
            work.drop(key)


def _urgency(query: Query) -> int:
    """Return the admission priority: by workspace rank, then by route rank."""
    route = min(query.rank, ROUTE_RANKS - 1)
    return min(MAX_URGENCY, (query.workspace_rank or 0) * ROUTE_RANKS + route)
