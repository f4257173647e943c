"""Estimated state of one engine: its prefill backlog, streams and memory."""

from __future__ import annotations

import math
from collections import Counter

from rosemaryseam.policy.enginerequests import (
    CompletionAtRisk,
    EngineCapacity,
    InFlightRequest,
    RequestKey,
)
from rosemaryseam.policy.enginespeed import EnginePerformance, EngineSpeed
from rosemaryseam.policy.prefillchunks import PrefillChunks

INITIAL_SLOT_HOLD_S = 1.0  # estimate before any stream has ended
SLOT_HOLD_WEIGHT = 0.05  # of one request in the mean time that a slot is held
MIN_REMAINING_SHARE = 0.2  # of the expected length, which is often too short
PREFILL_END_MARGIN_S = 0.02  # uncertainty of the time at which prefill ends
LOAD_AVERAGING_S = 1.0  # time constant of the share of time spent on prefill


class EngineView:
    """Tracks the requests in flight on one engine and estimates its delays.

    The estimates rest on the requests that this host sent and on reports of its peers.

    :param capacity: capacity of the engine
    :param performance: nominal performance of the engine
    :param speed: learned performance, which outlives this view
    :param chunks: learned size of the prefill chunks of the service's engines
    """

    def __init__(
        self,
        capacity: EngineCapacity,
        performance: EnginePerformance,
        speed: EngineSpeed | None = None,
        chunks: PrefillChunks | None = None,
    ) -> None:
        self.capacity = capacity
        self.speed = speed or EngineSpeed(performance, capacity.batch_slots)
        self._chunks = chunks or PrefillChunks(performance.chunk_tokens)
        self._performance = self.speed.lasting
        self._factor = 1.0  # by which all times are longer than usual at present
        self._pending: dict[RequestKey, InFlightRequest] = {}
        self._pause_limits: Counter[tuple[float, int]] = Counter()
        self._decoding: dict[RequestKey, InFlightRequest] = {}
        self._first_at: dict[RequestKey, float] = {}
        self._busy_since = 0.0  # start of the current prefill busy period
        self._prefilled_at = 0.0  # expected end of the known prefill work
        self._full_chunk_s = 0.0
        self._change_count = 0
        # Change count and step_s; change count, time and token_s.
        self._step_cache: tuple[int, float] = (-1, 0.0)
        self._token_cache: tuple[int, float, float] = (-1, 0.0, 0.0)
        self._last_first_at = 0.0
        self._last_sign_at = -math.inf  # time of the last sign of life of the engine
        self._sent_alone: set[RequestKey] = set()  # sent while no prefill was pending
        self._adopted: set[RequestKey] = set()  # excluded from the slowdown
        self.memory_tokens = 0  # of requests in flight, without shared parts
        self.output_tokens = 0  # expected of requests in flight
        self._slot_hold_s = INITIAL_SLOT_HOLD_S  # mean time that a stream holds a slot
        self._recent_prefill_s = 0.0  # decays with LOAD_AVERAGING_S
        self._recent_at = 0.0
        self._apply_speed(1.0)

    @property
    def slowdown(self) -> float:
        """Ratio of measured to nominal prefill time over some seconds."""
        return self.speed.slowdown

    def update_speed(self, now: float) -> None:
        """Apply what was learned of the engine's speed to the estimates.

        :param now: seconds on the monotonic clock
        """
        factor = self.speed.present_factor(now)
        if factor != self._factor or self.speed.lasting is not self._performance:
            self._apply_speed(factor)

    def record_pace(self, event_gap_s: float, events: int, now: float) -> None:
        """Record the pace of streams.

        :param event_gap_s: mean time between two events of a stream
        :param events: number of events in the mean
        :param now: seconds on the monotonic clock
        """
        step_s = event_gap_s / self.capacity.tokens_per_event
        share = self.prefill_share(now)
        self.speed.record_pace(step_s, self.requests, share, events, now)
        self.update_speed(now)

    def record_pause(self, longest_gap_s: float, now: float) -> None:
        """Record the longest pause between events of streams in a short time.

        :param longest_gap_s: the pause
        :param now: seconds on the monotonic clock
        """
        if not self.speed.learns:
            return
        tokens = self._chunks.tokens
        self._chunks.record_pause(
            longest_gap_s / self._factor,
            self.capacity.tokens_per_event,
            self.speed.step_s(self.requests),
            self._performance.prefill_tokens_per_s,
            self.prefill_share(now),
        )
        if self._chunks.tokens != tokens:
            self._apply_speed(self._factor)

    @property
    def requests(self) -> int:
        """Number of requests in flight."""
        return len(self._pending) + len(self._decoding)

    @property
    def streams(self) -> int:
        """Number of requests that have had their first event."""
        return len(self._decoding)

    def add(self, request: InFlightRequest, now: float) -> None:
        """Record a request that was sent to the engine.

        :param request: request that was sent
        :param now: seconds on the monotonic clock
        """
        if request.key in self._pending or request.key in self._decoding:
            return
        if not self._pending:
            self._sent_alone.add(request.key)
        self._insert(request, now)

    def adopt(self, request: InFlightRequest, now: float, *, started: bool) -> None:
        """Record a request of another dispatcher, excluded from the slowdown estimate.

        :param request: request in flight
        :param now: seconds on the monotonic clock
        :param started: whether its first event has arrived
        """
        if request.key in self._pending or request.key in self._decoding:
            return
        self._adopted.add(request.key)
        self._insert(request, now)
        if started:
            self._decoding[request.key] = self._pending.pop(request.key)
            self._first_at[request.key] = request.placed_at + request.expected_first_s
            self._bound_backlog(now)

    def _insert(self, request: InFlightRequest, now: float) -> None:
        self._change_count += 1
        self._pending[request.key] = request
        if request.pause_s is not None:
            self._pause_limits[request.pause_s, request.rank] += 1
        self.memory_tokens += request.memory_tokens
        self.output_tokens += request.output_tokens
        if now >= self._prefilled_at + self._gap_s():
            self._busy_since = now
        start = max(now, self._prefilled_at)
        work = self.prefill_s(request.prefill_tokens)
        self._prefilled_at = start + work
        self._recent_prefill_s = self._recent_work(now) + work
        self._recent_at = now

    def adopt_slowdown(self, slowdown: float) -> None:
        """Use another host's slowdown estimate if there is none here.

        :param slowdown: value of :attr:`slowdown` at the other host
        """
        self.speed.adopt_slowdown(slowdown)
        self._apply_speed(self._factor)

    def record_first_event(self, key: RequestKey, now: float) -> None:
        """Record the first event of a request, which ends its prefill.

        :param key: key of the request
        :param now: seconds on the monotonic clock
        """
        request = self._pending.pop(key, None)
        if request is None:
            return
        self._change_count += 1
        self._decoding[key] = request
        self._first_at[key] = now
        self._last_sign_at = now
        self._update_slowdown(request, now)
        self.update_speed(now)
        self._bound_backlog(now)

    def record_end(self, key: RequestKey, now: float) -> None:
        """Record that a request is no longer in flight.

        :param key: key of the request
        :param now: seconds on the monotonic clock
        """
        self._change_count += 1
        self._sent_alone.discard(key)
        self._adopted.discard(key)
        self._last_sign_at = now
        request = self._pending.pop(key, None)
        if request is not None:
            self._bound_backlog(now)
        else:
            request = self._decoding.pop(key, None)
            first_at = self._first_at.pop(key, now)
            self._slot_hold_s += SLOT_HOLD_WEIGHT * (now - first_at - self._slot_hold_s)
        if request is not None:
            self.memory_tokens -= request.memory_tokens
            self.output_tokens -= request.output_tokens
            self._drop_pause_limit(request)

    def keys(self) -> list[RequestKey]:
        """Return the keys of the requests in flight."""
        return [*self._pending, *self._decoding]

    def prefill_s(self, tokens: int) -> float:
        """Return the time in seconds to prefill a prompt, its last batch step included.

        :param tokens: number of prompt tokens that are not cached
        """
        prefill_s = tokens / self._performance.prefill_tokens_per_s
        return (prefill_s + self._performance.step_s) * self._factor

    def step_s(self) -> float:
        """Return the duration of a batch step without prefill."""
        changes, step_s = self._step_cache
        if changes != self._change_count:
            step_s = self.speed.step_s(self.requests) * self._factor
            self._step_cache = (self._change_count, step_s)
        return step_s

    def backlog_s(self, now: float) -> float:
        """Return the time in seconds until the known prefill work is done.

        :param now: seconds on the monotonic clock
        """
        return max(0.0, self._prefilled_at - now)

    def overdue_s(self, now: float) -> float:
        """Return how long the oldest pending first event is overdue.

        It is due after twice its expected delay.

        :param now: seconds on the monotonic clock
        """
        for request in self._pending.values():
            due = request.placed_at + 2 * request.expected_first_s
            return max(0.0, now - due)
        return 0.0

    def last_event_age_s(self, now: float) -> float:
        """Return the age of the last sign of life of the engine, -1 without any.

        :param now: seconds on the monotonic clock
        """
        return -1.0 if math.isinf(self._last_sign_at) else now - self._last_sign_at

    def slot_wait_s(self, rank: int) -> float:
        """Return the expected wait of a new request for a batch slot.

        :param rank: priority rank; requests of more urgent ranks go first
        """
        excess = self.requests + 1 - self.capacity.batch_slots
        if excess <= 0:
            return 0.0
        ahead = sum(1 for request in self._pending.values() if request.rank <= rank)
        release_s = self._slot_hold_s / self.capacity.batch_slots
        return min(excess, ahead + 1) * release_s

    def prefill_share(self, now: float) -> float:
        """Return the share of recent time that the engine spent on prefill.

        :param now: seconds on the monotonic clock
        """
        return min(1.0, self._recent_work(now) / LOAD_AVERAGING_S)

    def first_event_s(self, prefill_tokens: int, rank: int, now: float) -> float:
        """Return the expected delay of a new request's first event.

        :param prefill_tokens: prompt tokens that are not cached
        :param rank: priority rank of the request
        :param now: seconds on the monotonic clock
        """
        return (
            max(self.backlog_s(now), self.slot_wait_s(rank))
            + self.overdue_s(now)
            + self.prefill_s(prefill_tokens)
            + self._performance.network_s
            + self.capacity.tokens_per_event * self.token_s(now)
        )

    def token_s(self, now: float) -> float:
        """Return the time in seconds per token of a stream under the recent load.

        :param now: seconds on the monotonic clock
        """
        changes, at, token_s = self._token_cache
        if changes != self._change_count or at != now:
            share = self.prefill_share(now)
            step = self.step_s()
            # Steps with prefill are longer, so fewer of them fill the same time.
            token_s = 1.0 / (share / (step + self._chunk_s()) + (1.0 - share) / step)
            self._token_cache = (self._change_count, now, token_s)
        return token_s

    def completions_at_risk(
        self, added_s: float, safe_share: float, now: float
    ) -> list[CompletionAtRisk]:
        """Return the requests that may not complete before they expire.

        :param added_s: delay in seconds that is added to each of them
        :param safe_share: share of the time left within which completion is safe
        :param now: seconds on the monotonic clock
        """
        token_s = self.token_s(now)
        found = []
        for request in self._pending.values():
            expires_in_s = request.expires_at - now
            if request.output_tokens * token_s + added_s >= expires_in_s * safe_share:
                found.append(
                    CompletionAtRisk(request.rank, request.output_tokens, expires_in_s)
                )
        for key, request in self._decoding.items():
            expires_in_s = request.expires_at - now
            safe_s = expires_in_s * safe_share - added_s
            if request.output_tokens * token_s < safe_s:
                continue
            tokens = self._tokens_left(key, request, token_s, now)
            if tokens * token_s >= safe_s:
                found.append(CompletionAtRisk(request.rank, tokens, expires_in_s))
        return found

    def _tokens_left(
        self, key: RequestKey, request: InFlightRequest, token_s: float, now: float
    ) -> float:
        """Return the expected number of tokens that a stream still generates."""
        generated = (now - self._first_at[key]) / token_s
        return max(
            request.output_tokens * MIN_REMAINING_SHARE,
            request.output_tokens - generated,
        )

    def pause_s(self, added_tokens: int, margin: float, now: float) -> float:
        """Return the longest pause between events that streams will see soon.

        Batch steps without prefill are short, so streams are delayed only during a
        prefill busy period. The whole period counts, including its past.

        :param added_tokens: prefill tokens that a new request adds
        :param margin: factor on the length of the busy period
        :param now: seconds on the monotonic clock
        """
        busy = self._added_s(added_tokens)
        if now < self._prefilled_at + self._gap_s():
            busy += max(now, self._prefilled_at) - self._busy_since
        event = self.capacity.tokens_per_event * self.step_s()
        return min(busy * margin + event, self.longest_pause_s())

    def longest_pause_s(self) -> float:
        """Return the pause between events during a prefill busy period."""
        return self.capacity.tokens_per_event * (self.step_s() + self._chunk_s())

    def pause_limits(self) -> Counter[tuple[float, int]]:
        """Return the number of requests of each pause limit and rank."""
        return self._pause_limits

    def _drop_pause_limit(self, request: InFlightRequest) -> None:
        if request.pause_s is None:
            return
        limit = (request.pause_s, request.rank)
        self._pause_limits[limit] -= 1
        if not self._pause_limits[limit]:
            del self._pause_limits[limit]

    def _recent_work(self, now: float) -> float:
        decay = math.exp(-max(0.0, now - self._recent_at) / LOAD_AVERAGING_S)
        return self._recent_prefill_s * decay

    def _gap_s(self) -> float:
        """Return the length of a prefill gap in which streams advance by one event."""
        return self.capacity.tokens_per_event * self.step_s() + PREFILL_END_MARGIN_S

    def _chunk_s(self) -> float:
        """Return the duration of a full chunk of prefill."""
        return self._full_chunk_s * self._factor

    def _added_s(self, tokens: int) -> float:
        return self.prefill_s(tokens) if tokens else 0.0

    def _bound_backlog(self, now: float) -> None:
        """Lower the backlog to the prefill work of the pending requests."""
        left = sum(
            self.prefill_s(request.prefill_tokens) for request in self._pending.values()
        )
        self._prefilled_at = min(self._prefilled_at, now + left)

    def _apply_speed(self, factor: float) -> None:
        self._change_count += 1
        self._factor = factor
        self._performance = performance = self.speed.lasting
        self._full_chunk_s = self._chunks.tokens / performance.prefill_tokens_per_s

    def _update_slowdown(self, request: InFlightRequest, now: float) -> None:
        """Update the speed from prompts prefilled one after another, or alone."""
        tokens = request.prefill_tokens
        chunks = tokens / self._performance.chunk_tokens
        step_s = self.speed.step_s(min(self.streams, self.capacity.batch_slots))
        if request.key in self._sent_alone:
            self._sent_alone.discard(request.key)
            # Its first event has further tokens, each of one step.
            steps = math.ceil(chunks) + self.capacity.tokens_per_event - 1
            measured_s = now - request.placed_at - steps * step_s
            self.speed.record_prefill(max(0.0, measured_s), tokens, now)
        elif (
            request.key not in self._adopted
            and request.placed_at <= self._last_first_at
        ):
            measured_s = now - self._last_first_at - chunks * step_s
            self.speed.record_prefill(max(0.0, measured_s), tokens, now)
        self._last_first_at = now
