"""What a host believes of one engine: its prefill backlog, streams and memory."""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

SPEED_WEIGHT = 0.15  # of one observation in the learnt speed
SPEED_MAX = 8.0
SPEED_MIN_S = 0.03  # shorter waits say little of an engine's speed
SMALLEST_EXPECTATION_S = 0.01
LOAD_MEMORY_S = 1.0  # over which the share of time spent on prefill is averaged


class EngineTerms(NamedTuple):
    """How engines of a kind work, from their sheets.

    ``prefill_tokens_per_s`` is the rate at which prompts are read; a step of the batch
    takes ``step_s`` and ``step_per_slot_s`` for each stream in it, besides at most
    ``chunk_tokens`` of prefill.
    """

    prefill_tokens_per_s: float = 52_000.0
    step_s: float = 0.0038
    step_per_slot_s: float = 0.00009
    chunk_tokens: int = 4096
    first_step_s: float = 0.016


class EngineSize(NamedTuple):
    """What an engine can hold."""

    batch_slots: int
    cache_tokens: int
    tokens_per_event: int


class FlightKey(NamedTuple):
    """Names a request in flight in the whole fleet."""

    host: str
    number: int


class Flight(NamedTuple):
    """A request that a host has sent to an engine.

    ``prefill_tokens`` are those not expected in the engine's cache, ``memory_tokens``
    what it will occupy beside the parts that it shares. ``pause_s`` is the longest
    pause between events that keeps its target. Times are in seconds on the monotonic
    clock.
    """

    key: FlightKey
    rank: int
    prefill_tokens: int
    memory_tokens: int
    output_tokens: int
    pause_s: float | None
    placed_at: float
    expected_first_s: float


class EngineView:
    """One engine as a host sees it, from its own sends and what peers tell.

    :param size: what the engine can hold
    :param terms: how fast it works
    """

    def __init__(self, size: EngineSize, terms: EngineTerms) -> None:
        self.size = size
        self._terms = terms
        self._pending: dict[FlightKey, Flight] = {}
        self._limits: Counter[tuple[float, int]] = Counter()
        self._decoding: dict[FlightKey, Flight] = {}
        self._prefilled_at = 0.0  # when the known prefill work is done
        self._observed_speed = 1.0
        self.memory_tokens = 0  # of requests in flight, without shared parts
        self.output_tokens = 0  # expected of requests in flight
        self._recent_prefill_s = 0.0  # decays with LOAD_MEMORY_S
        self._recent_at = 0.0

    @property
    def speed(self) -> float:
        """How many times slower the engine is than its sheet says, 1 at least."""
        return max(1.0, self._observed_speed)

    @property
    def requests(self) -> int:
        """How many requests are in flight."""
        return len(self._pending) + len(self._decoding)

    @property
    def streams(self) -> int:
        """How many requests are past their first event."""
        return len(self._decoding)

    def add(self, flight: Flight, now: float) -> None:
        """Note a request that was sent to the engine.

        :param flight: the request
        :param now: seconds on the monotonic clock
        """
        if flight.key in self._pending or flight.key in self._decoding:
            return
        self._pending[flight.key] = flight
        if flight.pause_s is not None:
            self._limits[flight.pause_s, flight.rank] += 1
        self.memory_tokens += flight.memory_tokens
        self.output_tokens += flight.output_tokens
        start = max(now, self._prefilled_at)
        work = self.prefill_s(flight.prefill_tokens)
        self._prefilled_at = start + work
        self._recent_prefill_s = self._recent_work(now) + work
        self._recent_at = now

    def first_event(self, key: FlightKey, now: float) -> None:
        """Note that a request's first event arrived: its prefill is done.

        :param key: the request
        :param now: seconds on the monotonic clock
        """
        flight = self._pending.pop(key, None)
        if flight is None:
            return
        self._decoding[key] = flight
        self._learn_speed(flight, now)
        self._bound_backlog(now)

    def end(self, key: FlightKey, now: float) -> None:
        """Note that a request is no longer in flight.

        :param key: the request
        :param now: seconds on the monotonic clock
        """
        flight = self._pending.pop(key, None)
        if flight is not None:
            self._bound_backlog(now)
        else:
            flight = self._decoding.pop(key, None)
        if flight is not None:
            self.memory_tokens -= flight.memory_tokens
            self.output_tokens -= flight.output_tokens
            self._drop_limit(flight)

    def keys(self) -> list[FlightKey]:
        """Return the requests in flight."""
        return [*self._pending, *self._decoding]

    def prefill_s(self, tokens: int) -> float:
        """Return how long the engine takes to read prompt tokens.

        :param tokens: how many
        """
        return tokens / self._terms.prefill_tokens_per_s * self.speed

    def step_s(self) -> float:
        """Return how long a step of the batch takes without prefill."""
        steps = self._terms.step_s + self._terms.step_per_slot_s * self.requests
        return steps * self.speed

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

    def prefill_share(self, now: float) -> float:
        """Return the share of its time that the engine lately spent on prefill.

        :param now: seconds on the monotonic clock
        """
        return min(1.0, self._recent_work(now) / LOAD_MEMORY_S)

    def first_event_s(self, prefill_tokens: int, now: float) -> float:
        """Return how long a new request waits for its first event.

        :param prefill_tokens: what it adds to the prefill work
        :param now: seconds on the monotonic clock
        """
        chunk = self.prefill_s(self._terms.chunk_tokens) * self.prefill_share(now)
        return (
            self.backlog_s(now)
            + self.overdue_s(now)
            + self.prefill_s(prefill_tokens)
            + self._terms.first_step_s
            + self.size.tokens_per_event * (self.step_s() + chunk)
        )

    def decode_s(self, tokens: int, added_tokens: int, now: float) -> float:
        """Return how long a new request generates, if requests go on as lately.

        :param tokens: what it generates
        :param added_tokens: prefill tokens that it adds
        :param now: seconds on the monotonic clock
        """
        chunk = self.prefill_s(self._terms.chunk_tokens)
        share = self.prefill_share(now)
        share = min(1.0, share + self.prefill_s(added_tokens) / LOAD_MEMORY_S)
        step = self.step_s()
        # Steps with prefill are longer, so fewer of them fill the same time.
        busy = share / (step + chunk)
        idle = (1.0 - share) / step
        return tokens / (busy + idle)

    def pause_s(self, added_tokens: int, within_s: float, now: float) -> float:
        """Return the longest pause between events that streams may see soon.

        It takes in the known prefill work and what arrives meanwhile if requests go on
        as lately.

        :param added_tokens: prefill tokens that a new request adds
        :param within_s: the pause that matters, as long as the meanwhile
        :param now: seconds on the monotonic clock
        """
        steps = self.size.tokens_per_event
        added = self.prefill_s(added_tokens)
        most = self.prefill_s(self._terms.chunk_tokens) * steps
        share = min(1.0, self.prefill_share(now) + added / LOAD_MEMORY_S)
        work = self.backlog_s(now) + added + share * within_s
        return min(work, most) + steps * self.step_s()

    def pause_limits(self) -> Counter[tuple[float, int]]:
        """Return how many requests there are of each pause limit and rank."""
        return self._limits

    def _drop_limit(self, flight: Flight) -> None:
        if flight.pause_s is None:
            return
        limit = (flight.pause_s, flight.rank)
        self._limits[limit] -= 1
        if not self._limits[limit]:
            del self._limits[limit]

    def _recent_work(self, now: float) -> float:
        decay = math.exp(-max(0.0, now - self._recent_at) / LOAD_MEMORY_S)
        return self._recent_prefill_s * decay

    def _bound_backlog(self, now: float) -> None:
        """Drop prefill work that is known to be done."""
        left = sum(flight.prefill_tokens for flight in self._pending.values())
        self._prefilled_at = min(self._prefilled_at, now + self.prefill_s(left))

    def _learn_speed(self, flight: Flight, now: float) -> None:
        if flight.expected_first_s < SPEED_MIN_S:
            return
        took = max(SMALLEST_EXPECTATION_S, now - flight.placed_at)
        observed = min(SPEED_MAX, self.speed * took / flight.expected_first_s)
        self._observed_speed += SPEED_WEIGHT * (observed - self._observed_speed)
