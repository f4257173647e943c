"""Places requests with a prompt on the engines of a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.engineplacement import (
    PROBE_AFTER_REQUESTS,
    EngineCandidate,
    EngineChoice,
    PlacementRequest,
    choose_engine,
    may_probe,
    rank_by_affinity,
    should_admit,
)
from rosemaryseam.policy.prefixes import PartUses
from rosemaryseam.policy.returningrequests import ReturningRequests
from rosemaryseam.policy.sizes import RouteSizes
from rosemaryseam.router.placement import NoUpstreamError

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator, Sequence

    from rosemaryseam.router.queries import Query
    from rosemaryseam.router.upstreams import Upstream
    from rosemaryseam.router.upstreamstates import UpstreamStates

MIN_RETRY_DELAY_S = 0.4  # about as long as the backlog of an engine lasts
OUTPUT_TOKEN_WORK = 10  # work of a generated token, in prompt tokens
# Of the loss limit, that a refusal adds for a caller who returns as told. Requests of
# its route that are new are refused in its place.
RETURN_ALLOWANCE = 2.0
MIN_LOGGED_LOSS = 0.01  # smaller components of a loss are not logged


class PromptPlacer:
    """Selects engines for requests with a prompt.

    :param states: states of the upstreams
    :param rng: source of the jitter of retry delays
    """

    def __init__(self, states: UpstreamStates, rng: random.Random) -> None:
        self._states = states
        self._rng = rng
        self.part_uses = PartUses()
        self._route_sizes = RouteSizes()
        self._returning = ReturningRequests()
        self._placed_count = 0

    def place(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> tuple[EngineChoice, dict[str, object]]:
        """Return the engine for a request, and the inputs of the decision.

        :param host: address of the host that sent the query
        :param query: request to place
        :param upstreams: engines that may get it
        :raises NoUpstreamError: if no engine should get the request now
        """
        now = self._states.clock.monotonic()
        self._states.learned.update_priors(query.service)
        work = float(query.prompt_tokens + OUTPUT_TOKEN_WORK * query.max_output_tokens)
        size = self._route_sizes.observe(query.route, query.prompt_tokens, work)
        refusals = self._returning.refusals(query.fingerprint, now)
        allowance = self._route_sizes.allowance(query.route, size)
        request = PlacementRequest(
            rank=query.rank,
            relative_work=size.relative_work,
            headroom_tokens=size.headroom_tokens,
            allowance=allowance * (1.0 + RETURN_ALLOWANCE * refusals),
            parts=query.parts,
            prompt_tokens=query.prompt_tokens,
            output_tokens=query.output_tokens,
            pause_s=query.pause_s,
            due_in_s=query.due_in_s,
            expires_in_s=query.expires_in_s,
            body_bytes=query.body_bytes,
            is_begun=query.version is not None,
        )
        candidates = list(self._candidates(query, upstreams, now))
        choice = choose_engine(request, candidates, self.part_uses, now)
        assert choice is not None
        choice = self._find_probe(request, candidates, now) or choice
        placed = should_admit(request, choice)
        self._route_sizes.record_outcome(query.route, size, placed=placed)
        if not placed:
            raise self._refusal(host, query, request, choice, candidates, now)
        self._returning.forget(query.fingerprint)
        self._placed_count += 1
        self._states.known()[choice.name].used = (self._placed_count, now)
        return choice, self._inputs(choice, now)

    def _find_probe(
        self,
        request: PlacementRequest,
        candidates: Sequence[EngineCandidate],
        now: float,
    ) -> EngineChoice | None:
        """Return the placement on an engine that got nothing for some seconds.

        What was learned of it may be out of date.
        """
        for entry in candidates:
            if entry.view.requests or entry.penalty:
                continue
            count, at = self._states.known()[entry.name].used
            skipped = self._placed_count - count
            if skipped < PROBE_AFTER_REQUESTS:
                continue
            choice = choose_engine(request, [entry], self.part_uses, now)
            if may_probe(request, choice, now - at, skipped):
                return choice._replace(is_probe=True)
        return None

    def _inputs(self, choice: EngineChoice, now: float) -> dict[str, object]:
        view = self._states.known()[choice.name].view
        figures = view.speed.lasting
        return {
            'prefill_tokens': choice.prefill_tokens,
            'cached_tokens': choice.cached_tokens,
            'fetch_tokens': choice.fetch_tokens,
            'backlog_ms': int(view.backlog_s(now) * 1000),
            'news_age_ms': int(view.last_event_age_s(now) * 1000),
            'expected_first_ms': int(choice.first_event_s * 1000),
            'loss': round(choice.loss, 3),
            'losses': _loss_breakdown(choice),
            'engine_requests': view.requests,
            'engine_speed': round(view.slowdown, 2),
            'present_factor': round(view.speed.present_factor(now), 2),
            'step_us': round(figures.step_s * 1e6),
            'probe': choice.is_probe,
        }

    def _candidates(
        self, query: Query, upstreams: Sequence[Upstream], now: float
    ) -> Iterator[EngineCandidate]:
        states = self._states
        names = [upstream.id for upstream in upstreams]
        session = query.parts[-2] if len(query.parts) > 1 else query.parts[0]
        affinity = rank_by_affinity(str(session[0]), names)
        shares_cache = states.shares_cache(query.service)
        median_failure_rate = states.outliers.median_failure_rate(names, now)
        for upstream in upstreams:
            state = states.get(upstream)
            state.view.update_speed(now)
            ejected = states.outliers.is_ejected(upstream.id, now)
            yield EngineCandidate(
                upstream.id,
                state.view,
                state.cache,
                upstream.zone == query.zone,
                affinity[upstream.id],
                states.failure_loss(upstream.id, median_failure_rate, now),
                shares_cache and not ejected,
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
        self._returning.record_refusal(query.fingerprint, wait, now)
        return NoUpstreamError('all engines are busy', wait)


def _loss_breakdown(choice: EngineChoice) -> dict[str, float]:
    """Return the components of a loss that are large enough to be logged."""
    parts = choice.losses._asdict().items()
    return {name: round(part, 3) for name, part in parts if part >= MIN_LOGGED_LOSS}
