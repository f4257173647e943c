"""Places requests without a prompt by the learned work time of upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.workplacement import (
    WorkCandidate,
    WorkRequest,
    choose_upstream,
)
from rosemaryseam.router.placement import NoUpstreamError

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from rosemaryseam.policy.workplacement import WorkChoice
    from rosemaryseam.router.queries import Query
    from rosemaryseam.router.upstreams import Upstream
    from rosemaryseam.router.upstreamstates import UpstreamState, UpstreamStates

# Requests that an upstream which states its load queues, for each of its slots, until
# it declines some.
QUEUED_PER_SLOT = 4
MIN_RETRY_S = 0.1  # callers that come back sooner find the same queue
MAX_RETRY_S = 2.0
TARGET_SHARE = 0.5  # of the target that the queue may take when callers come back


class WorkPlacement(NamedTuple):
    """An upstream for a request without a prompt, and the inputs of the decision."""

    name: str
    expected_s: float
    inputs: dict[str, object]


class WorkPlacer:
    """Selects upstreams for requests without a prompt.

    :param states: states of the upstreams
    :param rng: source of the jitter of retry delays
    """

    def __init__(self, states: UpstreamStates, rng: random.Random) -> None:
        self._states = states
        self._rng = rng

    def place(
        self, host: str, query: Query, upstreams: Sequence[Upstream]
    ) -> WorkPlacement:
        """Return the upstream for a request.

        :param host: address of the host that sent the query
        :param query: request to place
        :param upstreams: upstreams that may get it
        :raises NoUpstreamError: if no answer is expected in time
        """
        now = self._states.clock.monotonic()
        self._states.learned.update_priors(query.service)
        outliers = self._states.outliers
        median = outliers.median_failure_rate([one.id for one in upstreams], now)
        states = [self._states.get(upstream) for upstream in upstreams]
        candidates = [
            self._candidate(
                query, state, self._states.failure_loss(state.upstream.id, median, now)
            )
            for state in states
        ]
        request = WorkRequest(query.due_in_s, query.expires_in_s)
        choice = choose_upstream(request, candidates)
        if choice.refusal is not None:
            raise self._refusal(host, query, choice, candidates, states)
        for state in states:
            state.learned.work.skipped += 1
        index = next(
            i for i, entry in enumerate(candidates) if entry.name == choice.name
        )
        return WorkPlacement(
            choice.name,
            choice.expected_s,
            self._inputs(choice, candidates[index], states[index], now),
        )

    def _candidate(
        self, query: Query, state: UpstreamState, penalty: float
    ) -> WorkCandidate:
        now = self._states.clock.monotonic()
        learned = state.learned
        slots = learned.slots(state.upstream.slots)
        limit = learned.work.queue_limit(now)
        if learned.load is not None:
            limit = min(limit, slots * (1 + QUEUED_PER_SLOT))
        return WorkCandidate(
            name=state.upstream.id,
            in_flight=state.view.requests + learned.excess(now),
            slots=slots,
            work_s=learned.work.work_s(now),
            is_known=learned.work.is_known(now),
            overdue_s=state.view.overdue_s(now),
            queue_limit=limit,
            idle_s=now - learned.work.last_placed_at,
            skipped=learned.work.skipped,
            same_zone=state.upstream.zone == query.zone,
            penalty=penalty,
        )

    def _inputs(
        self,
        choice: WorkChoice,
        candidate: WorkCandidate,
        state: UpstreamState,
        now: float,
    ) -> dict[str, object]:
        age_s = state.learned.load_age_s(now)
        return {
            'upstream_requests': state.view.requests,
            'news_age_ms': int(state.view.last_event_age_s(now) * 1000),
            'work_ms': round(candidate.work_s * 1000, 1),
            'wait_ms': round(choice.wait_s * 1000, 1),
            'slots': candidate.slots,
            'others_requests': round(candidate.in_flight - state.view.requests, 1),
            'stated_age_ms': -1 if math.isinf(age_s) else int(age_s * 1000),
            'probe': choice.is_probe,
        }

    def _refusal(
        self,
        host: str,
        query: Query,
        choice: WorkChoice,
        candidates: Sequence[WorkCandidate],
        states: Sequence[UpstreamState],
    ) -> NoUpstreamError:
        """Log and return a refusal, with the time that the queues take to drain."""
        now = self._states.clock.monotonic()
        measured = sum(state.learned.work.completion_rate(now) for state in states)
        possible = sum(entry.slots / entry.work_s for entry in candidates)
        drain_rate = max(measured, 0.1 * possible)
        wanted = sum(
            entry.slots * query.due_in_s * TARGET_SHARE / entry.work_s
            for entry in candidates
        )
        excess = max(1.0, sum(entry.in_flight for entry in candidates) - wanted)
        wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, excess / drain_rate))
        log_event(
            'request_beyond_queues',
            id=query.request_id,
            asked_by=host,
            route=query.route,
            reason=choice.refusal,
            expected_ms=int(choice.expected_s * 1000),
            left_ms=int(query.expires_in_s * 1000),
            in_flight={entry.name: round(entry.in_flight) for entry in candidates},
            drain_per_s=round(drain_rate, 1),
            retry_ms=int(wait_s * 1000),
        )
        return NoUpstreamError(choice.refusal, wait_s * self._rng.uniform(1.0, 1.5))
