"""What a host believes of one engine: its prefill backlog, streams and memory."""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

SPEED_MEMORY = 0.98  # of what is known, kept at each observation
SPEED_PRIOR_S = 0.5  # of work at the sheet's speed that is assumed to begin with
SPEED_MAX = 8.0
FIRST_OCCUPIED_S = 1.0
OCCUPIED_WEIGHT = 0.05  # of one request in the mean time that a slot is taken
LEAST_LEFT = 0.2  # of an expected length; lengths are often underestimated
GAP_MARGIN_S = 0.02  # the end of prefill is known no better
LOAD_MEMORY_S = 1.0  # over which the share of time spent on prefill is averaged


class EnginePerformance(NamedTuple):
    """How engines of a kind work, from their sheets.

    ``prefill_tokens_per_s`` is the rate at which prompts are read; a step of the batch
    takes ``step_s`` and ``step_per_slot_s`` for each stream in it, besides at most
    ``chunk_tokens`` of prefill. ``network_s`` is the way to an engine and back.
    """

    prefill_tokens_per_s: float = 54_000.0
    step_s: float = 0.0038
    step_per_slot_s: float = 0.00009
    chunk_tokens: int = 4096
    network_s: float = 0.003


class EngineCapacity(NamedTuple):
    """What an engine can hold."""

    batch_slots: int
    cache_tokens: int
    tokens_per_event: int


class RequestKey(NamedTuple):
    """Names a request in flight in the whole fleet."""

    host: str
    number: int


class InFlightRequest(NamedTuple):
    """A request that a host has sent to an engine.

    ``prefill_tokens`` are those not expected in the engine's cache, ``memory_tokens``
    what it will occupy beside the parts that it shares. ``pause_s`` is the longest
    pause between events that keeps its target, ``expires_at`` the end of the caller's
    patience. Times are in seconds on the monotonic clock.
    """

    key: RequestKey
    rank: int
    prefill_tokens: int
    memory_tokens: int
    output_tokens: int
    pause_s: float | None
    placed_at: float
    expected_first_s: float
    expires_at: float


class Ending(NamedTuple):
    """A request in flight: what it still has to generate, and how long it may take."""

    rank: int
    tokens: float
    left_s: float


class EngineView:
    """One engine as a host sees it, from its own sends and what peers tell.

    :param capacity: what the engine can hold
    :param terms: how fast it works
    """

    def __init__(self, capacity: EngineCapacity, terms: EnginePerformance) -> None:
        self.capacity = capacity
        self._terms = terms
        self._pending: dict[RequestKey, InFlightRequest] = {}
        self._limits: Counter[tuple[float, int]] = Counter()
        self._decoding: dict[RequestKey, InFlightRequest] = {}
        self._first_at: dict[RequestKey, float] = {}
        self._busy_since = 0.0  # when the engine last began to prefill without a gap
        self._prefilled_at = 0.0  # when the known prefill work is done
        self._took_s = SPEED_PRIOR_S
        self._nominal_s = SPEED_PRIOR_S
        self._slowdown = 1.0
        self._full_chunk_s = terms.chunk_tokens / terms.prefill_tokens_per_s
        self._changes = 0
        self._step: tuple[int, float] = (-1, 0.0)  # changes, time
        self._token: tuple[int, float, float] = (-1, 0.0, 0.0)  # changes, now, time
        self._last_first_at = 0.0
        self._news_at = -math.inf  # of the last event that told of the engine
        self._alone: set[RequestKey] = (
            set()
        )  # that found an engine without prefill work
        self._adopted: set[RequestKey] = set()  # whose times teach nothing
        self.memory_tokens = 0  # of requests in flight, without shared parts
        self.output_tokens = 0  # expected of requests in flight
        self._occupied_s = FIRST_OCCUPIED_S  # mean time that a request has a slot
        self._recent_prefill_s = 0.0  # decays with LOAD_MEMORY_S
        self._recent_at = 0.0

    @property
    def slowdown(self) -> float:
        """How many times slower the engine is than its sheet says, 1 at least."""
        return self._slowdown

    @property
    def requests(self) -> int:
        """How many requests are in flight."""
        return len(self._pending) + len(self._decoding)

    @property
    def streams(self) -> int:
        """How many requests are past their first event."""
        return len(self._decoding)

    def add(self, flight: InFlightRequest, now: float) -> None:
        """Note a request that was sent to the engine.

        :param flight: the request
        :param now: seconds on the monotonic clock
        """
        if flight.key in self._pending or flight.key in self._decoding:
            return
        if not self._pending:
            self._alone.add(flight.key)
        self._put(flight, now)

    def adopt(self, flight: InFlightRequest, now: float, *, started: bool) -> None:
        """Note a request that another host knew of; its times teach nothing.

        :param flight: the request
        :param now: seconds on the monotonic clock
        :param started: whether its first event arrived
        """
        if flight.key in self._pending or flight.key in self._decoding:
            return
        self._adopted.add(flight.key)
        self._put(flight, now)
        if started:
            self._decoding[flight.key] = self._pending.pop(flight.key)
            self._first_at[flight.key] = flight.placed_at + flight.expected_first_s
            self._bound_backlog(now)

    def _put(self, flight: InFlightRequest, now: float) -> None:
        self._changes += 1
        self._pending[flight.key] = flight
        if flight.pause_s is not None:
            self._limits[flight.pause_s, flight.rank] += 1
        self.memory_tokens += flight.memory_tokens
        self.output_tokens += flight.output_tokens
        if now >= self._prefilled_at + self._gap_s():
            self._busy_since = now
        start = max(now, self._prefilled_at)
        work = self.prefill_s(flight.prefill_tokens)
        self._prefilled_at = start + work
        self._recent_prefill_s = self._recent_work(now) + work
        self._recent_at = now

    def adopt_slowdown(self, speed: float) -> None:
        """Take over what another host learnt of the engine, if nothing is known here.

        :param speed: as :attr:`slowdown` there
        """
        if self._nominal_s == SPEED_PRIOR_S:
            self._took_s = SPEED_PRIOR_S * speed
            self._set_slowdown()

    def record_first_event(self, key: RequestKey, now: float) -> None:
        """Note that a request's first event arrived: its prefill is done.

        :param key: the request
        :param now: seconds on the monotonic clock
        """
        flight = self._pending.pop(key, None)
        if flight is None:
            return
        self._changes += 1
        self._decoding[key] = flight
        self._first_at[key] = now
        self._news_at = now
        self._learn_slowdown(flight, now)
        self._bound_backlog(now)

    def record_end(self, key: RequestKey, now: float) -> None:
        """Note that a request is no longer in flight.

        :param key: the request
        :param now: seconds on the monotonic clock
        """
        self._changes += 1
        self._alone.discard(key)
        self._adopted.discard(key)
        self._news_at = now
        flight = self._pending.pop(key, None)
        if flight is not None:
            self._bound_backlog(now)
        else:
            flight = self._decoding.pop(key, None)
            first_at = self._first_at.pop(key, now)
            self._occupied_s += OCCUPIED_WEIGHT * (now - first_at - self._occupied_s)
        if flight is not None:
            self.memory_tokens -= flight.memory_tokens
            self.output_tokens -= flight.output_tokens
            self._drop_limit(flight)

    def keys(self) -> list[RequestKey]:
        """Return the requests in flight."""
        return [*self._pending, *self._decoding]

    def prefill_s(self, tokens: int) -> float:
        """Return how long the engine takes to read a prompt, its last step included.

        :param tokens: how many it does not hold
        """
        read = tokens / self._terms.prefill_tokens_per_s
        return (read + self._terms.step_s) * self._slowdown

    def step_s(self) -> float:
        """Return how long a step of the batch takes without prefill."""
        changes, step_s = self._step
        if changes != self._changes:
            steps = self._terms.step_s + self._terms.step_per_slot_s * self.requests
            step_s = steps * self._slowdown
            self._step = (self._changes, step_s)
        return step_s

    def backlog_s(self, now: float) -> float:
        """Return how long the known prefill work still takes.

        :param now: seconds on the monotonic clock
        """
        return max(0.0, self._prefilled_at - now)

    def overdue_s(self, now: float) -> float:
        """Return how long the engine has been owing the oldest first event.

        :param now: seconds on the monotonic clock
        """
        for flight in self._pending.values():
            due = flight.placed_at + 2 * flight.expected_first_s
            return max(0.0, now - due)
        return 0.0

    def last_event_age_s(self, now: float) -> float:
        """Return how old the last sign of the engine is, -1 when there was none.

        :param now: seconds on the monotonic clock
        """
        return -1.0 if math.isinf(self._news_at) else now - self._news_at

    def slot_wait_s(self, rank: int) -> float:
        """Return how long a new request waits for a place in the batch.

        :param rank: more urgent requests go first
        """
        over = self.requests + 1 - self.capacity.batch_slots
        if over <= 0:
            return 0.0
        ahead = sum(1 for flight in self._pending.values() if flight.rank <= rank)
        release_s = self._occupied_s / self.capacity.batch_slots
        return min(over, ahead + 1) * release_s

    def prefill_share(self, now: float) -> float:
        """Return the share of its time that the engine lately spent on prefill.

        :param now: seconds on the monotonic clock
        """
        return min(1.0, self._recent_work(now) / LOAD_MEMORY_S)

    def first_event_s(self, prefill_tokens: int, rank: int, now: float) -> float:
        """Return how long a new request waits for its first event.

        :param prefill_tokens: what it adds to the prefill work
        :param rank: of the request
        :param now: seconds on the monotonic clock
        """
        return (
            max(self.backlog_s(now), self.slot_wait_s(rank))
            + self.overdue_s(now)
            + self.prefill_s(prefill_tokens)
            + self._terms.network_s
            + self.capacity.tokens_per_event * self.token_s(now)
        )

    def token_s(self, now: float) -> float:
        """Return how long a stream takes for a token, if requests go on as lately.

        :param now: seconds on the monotonic clock
        """
        changes, at, token_s = self._token
        if changes != self._changes or at != now:
            share = self.prefill_share(now)
            step = self.step_s()
            # Steps with prefill are longer, so fewer of them fill the same time.
            token_s = 1.0 / (share / (step + self._chunk_s()) + (1.0 - share) / step)
            self._token = (self._changes, now, token_s)
        return token_s

    def completions_at_risk(
        self, added_s: float, safe_share: float, now: float
    ) -> list[Ending]:
        """Return the requests that may not end well within their callers' patience.

        :param added_s: by which they are delayed
        :param safe_share: of the time left, in which an end is certain
        :param now: seconds on the monotonic clock
        """
        token_s = self.token_s(now)
        found = []
        for flight in self._pending.values():
            left_s = flight.expires_at - now
            if flight.output_tokens * token_s + added_s >= left_s * safe_share:
                found.append(Ending(flight.rank, flight.output_tokens, left_s))
        for key, flight in self._decoding.items():
            left_s = flight.expires_at - now
            safe_s = left_s * safe_share - added_s
            if flight.output_tokens * token_s < safe_s:
                continue
            tokens = self._tokens_left(key, flight, token_s, now)
            if tokens * token_s >= safe_s:
                found.append(Ending(flight.rank, tokens, left_s))
        return found

    def _tokens_left(
        self, key: RequestKey, flight: InFlightRequest, token_s: float, now: float
    ) -> float:
        """Return what a stream probably still generates."""
        made = (now - self._first_at[key]) / token_s
        return max(flight.output_tokens * LEAST_LEFT, flight.output_tokens - made)

    def pause_s(self, added_tokens: int, margin: float, now: float) -> float:
        """Return the longest pause between events that streams see soon.

        Streams fall behind only while prefill goes on without a gap, as steps without
        prefill are short; so the length of that busy period counts, its past included.

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
        """Return the pause between events while prefill goes on without a gap."""
        return self.capacity.tokens_per_event * (self.step_s() + self._chunk_s())

    def pause_limits(self) -> Counter[tuple[float, int]]:
        """Return how many requests there are of each pause limit and rank."""
        return self._limits

    def _drop_limit(self, flight: InFlightRequest) -> None:
        if flight.pause_s is None:
            return
        limit = (flight.pause_s, flight.rank)
        self._limits[limit] -= 1
        if not self._limits[limit]:
            del self._limits[limit]

    def _recent_work(self, now: float) -> float:
        decay = math.exp(-max(0.0, now - self._recent_at) / LOAD_MEMORY_S)
        return self._recent_prefill_s * decay

    def _gap_s(self) -> float:
        """Return the gap in prefill in which streams get on by an event."""
        return self.capacity.tokens_per_event * self.step_s() + GAP_MARGIN_S

    def _chunk_s(self) -> float:
        """Return how long a full chunk of prefill takes."""
        return self._full_chunk_s * self._slowdown

    def _added_s(self, tokens: int) -> float:
        return self.prefill_s(tokens) if tokens else 0.0

    def _bound_backlog(self, now: float) -> None:
        """Drop prefill work that is known to be done."""
        left = sum(
            self.prefill_s(flight.prefill_tokens) for flight in self._pending.values()
        )
        self._prefilled_at = min(self._prefilled_at, now + left)

    def _learn_slowdown(self, flight: InFlightRequest, now: float) -> None:
        """Learn from prompts read one after another, or alone."""
        nominal = flight.prefill_tokens / self._terms.prefill_tokens_per_s
        if flight.key in self._alone:
            self._alone.discard(flight.key)
            event = self.capacity.tokens_per_event * self._terms.step_s
            self._observe(now - flight.placed_at, nominal + event)
        elif (
            flight.key not in self._adopted and flight.placed_at <= self._last_first_at
        ):
            self._observe(now - self._last_first_at, nominal)
        self._last_first_at = now

    def _observe(self, took_s: float, nominal_s: float) -> None:
        self._took_s = self._took_s * SPEED_MEMORY + took_s
        self._nominal_s = self._nominal_s * SPEED_MEMORY + nominal_s
        self._set_slowdown()

    def _set_slowdown(self) -> None:
        self._changes += 1
        self._slowdown = min(SPEED_MAX, max(1.0, self._took_s / self._nominal_s))
