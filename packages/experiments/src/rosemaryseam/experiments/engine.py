"""Simulates an engine with chunked prefill, decode and a cache of prompt parts."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.experiments.simulatedclock import SimulatedClock


REUSE_WINDOW_S = 6.0  # recomputing a part that was unused for longer is not counted


class EngineParameters(NamedTuple):
    """Capacities and step times of an engine.

    ``slowdown`` multiplies step times. Beyond ``crowded_share`` of its slots, steps are
    longer by ``crowding`` times the share of slots beyond it.
    """

    slots: int = 64
    memory_tokens: int = 310_000
    step_s: float = 0.00379
    step_per_slot_s: float = 0.0000893
    context_s_per_token: float = 0.00138e-6
    prefill_tokens_per_s: float = 56_600.0
    attention_s_per_pair: float = 0.124e-9
    chunk_tokens: int = 4096
    tokens_per_event: int = 5
    fetch_setup_s: float = 0.008
    fetch_s_per_token: float = 0.82e-6
    slowdown: float = 1.0
    crowded_share: float = 1.0
    crowding: float = 0.0


class Job:
    """A request on an engine.

    :param parts: digest and token count of each prompt part; the last part is unshared
    :param output_tokens: number of tokens to generate
    :param urgency: admission order; 0 is admitted first
    :param on_event: called at each event with whether it is the last; with ``None``
        after a crash
    """

    def __init__(
        self,
        parts: tuple[tuple[int, int], ...],
        output_tokens: int,
        urgency: int,
        on_event: Callable[[bool], None],
    ) -> None:
        self.parts = parts
        self.output_tokens = output_tokens
        self.urgency = urgency
        self.on_event = on_event
        self.prefill_tokens_left = 0
        self.context_tokens = 0
        self.generated_tokens = 0
        self.cancelled = False

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the whole prompt."""
        return sum(tokens for _, tokens in self.parts)


class PrefillCounts:
    """Counts how an engine obtained prompt tokens."""

    def __init__(self) -> None:
        self.prefilled = 0
        self.recomputed = 0  # of shared parts that any engine prefilled recently
        self.cached = 0
        self.fetched = 0


class SimulatedEngine:
    """Runs jobs in steps of one token for each stream and one chunk of prefill.

    :param clock: simulated clock
    :param parameters: capacities and step times
    :param prefilled_at: time of the last prefill of each part on any engine, by digest
    """

    def __init__(
        self,
        clock: SimulatedClock,
        parameters: EngineParameters,
        prefilled_at: dict[int, float] | None = None,
    ) -> None:
        self._clock = clock
        self._prefilled_at = {} if prefilled_at is None else prefilled_at
        self.parameters = parameters
        self.counts = PrefillCounts()
        self._waiting: list[Job] = []
        self._prefilling: list[Job] = []
        self._decoding: list[Job] = []
        self._cached_parts: OrderedDict[int, int] = OrderedDict()
        self._cached_tokens = 0
        self._reserved_tokens = 0
        self._stepping = False
        self.up = True
        self.noise_factor = 1.0  # on step times, while neighbours slow the engine down

    def count_cached_parts(self, parts: tuple[tuple[int, int], ...]) -> int:
        """Return how many leading parts of a prompt are cached.

        :param parts: digest and token count of each part
        """
        count = 0
        for digest, _ in parts:
            if digest not in self._cached_parts:
                break
            count += 1
        return count

    def submit(self, job: Job, source: SimulatedEngine | None) -> None:
        """Queue a job, after fetching parts that another engine has cached.

        :param job: the job
        :param source: engine to fetch from
        """
        count = source.count_cached_parts(job.parts) if source is not None else 0
        missing = job.parts[self.count_cached_parts(job.parts) : count]
        if not missing:
            self._enqueue(job)
            return
        tokens = sum(size for _, size in missing)
        self.counts.fetched += tokens
        delay = (
            self.parameters.fetch_setup_s + tokens * self.parameters.fetch_s_per_token
        )

        def finish_fetch() -> None:
            self._store(missing)
            self._enqueue(job)

        self._clock.call_later(delay, finish_fetch)

    def cancel(self, job: Job) -> None:
        """Cancel a job.

        :param job: the job
        """
        job.cancelled = True

    def crash(self) -> list[Job]:
        """Drop all jobs and the cache and return the jobs that were not cancelled."""
        jobs = self._waiting + self._prefilling + self._decoding
        self._waiting, self._prefilling, self._decoding = [], [], []
        self._cached_parts.clear()
        self._cached_tokens = self._reserved_tokens = 0
        self.up = False
        return [job for job in jobs if not job.cancelled]

    def restart(self) -> None:
        """Accept jobs again, with an empty cache."""
        self.up = True

    def _enqueue(self, job: Job) -> None:
        if not self.up or job.cancelled:
            return
        self._waiting.append(job)
        self._waiting.sort(key=lambda entry: entry.urgency)
        if not self._stepping:
            self._stepping = True
            self._step()

    def _step(self) -> None:
        self._drop_cancelled()
        self._admit()
        if not self._prefilling and not self._decoding:
            self._stepping = False
            return
        parameters = self.parameters
        streams = list(self._decoding)
        prefilled, attention_pairs, finished = self._prefill_chunk()
        context = sum(job.context_tokens for job in streams)
        duration = (
            parameters.step_s
            + parameters.step_per_slot_s * len(streams)
            + parameters.context_s_per_token * context
            + prefilled / parameters.prefill_tokens_per_s
            + attention_pairs * parameters.attention_s_per_pair
        ) * (parameters.slowdown * self.noise_factor)
        crowd = len(streams) - parameters.slots * parameters.crowded_share
        if crowd > 0:
            duration *= 1.0 + parameters.crowding * crowd / parameters.slots
        self._clock.call_later(duration, lambda: self._end_step(streams, finished))

    def _end_step(self, streams: list[Job], finished: list[Job]) -> None:
        for job in streams:
            if not job.cancelled and job in self._decoding:
                self._generate_token(job)
        for job in finished:
            if job in self._prefilling:
                self._prefilling.remove(job)
                self._decoding.append(job)
                self._store(job.parts)
                self._generate_token(job)
        self._step()

    def _generate_token(self, job: Job) -> None:
        job.generated_tokens += 1
        job.context_tokens += 1
        last = job.generated_tokens >= job.output_tokens
        if last:
            self._decoding.remove(job)
            self._release(job)
        if last or job.generated_tokens % self.parameters.tokens_per_event == 0:
            job.on_event(last)

    def _prefill_chunk(self) -> tuple[int, float, list[Job]]:
        budget = self.parameters.chunk_tokens
        prefilled = 0
        attention_pairs = 0.0
        finished = []
        for job in self._prefilling:
            if budget <= 0:
                break
            count = min(budget, job.prefill_tokens_left)
            attention_pairs += count * (job.context_tokens + count / 2)
            job.prefill_tokens_left -= count
            job.context_tokens += count
            budget -= count
            prefilled += count
            if job.prefill_tokens_left <= 0:
                finished.append(job)
        self.counts.prefilled += prefilled
        return prefilled, attention_pairs, finished

    def _admit(self) -> None:
        while self._waiting:
            job = self._waiting[0]
            if len(self._prefilling) + len(self._decoding) >= self.parameters.slots:
                return
            reserved = job.parts[-1][1] + job.output_tokens
            if (
                self._reserved_tokens
                and self._reserved_tokens + reserved > self.parameters.memory_tokens
            ):
                return
            self._waiting.pop(0)
            cached = sum(
                size for _, size in job.parts[: self.count_cached_parts(job.parts)]
            )
            self.counts.cached += cached
            self._count_recomputed(job.parts[self.count_cached_parts(job.parts) : -1])
            for digest, _ in job.parts[:-1]:
                self._prefilled_at[digest] = self._clock.monotonic()
            job.prefill_tokens_left = max(1, job.prompt_tokens - cached)
            job.context_tokens = cached
            self._reserved_tokens += reserved
            self._prefilling.append(job)
            self._touch(job.parts)
            self._evict()

    def _count_recomputed(self, missing: tuple[tuple[int, int], ...]) -> None:
        now = self._clock.monotonic()
        for digest, tokens in missing:
            if now - self._prefilled_at.get(digest, -math.inf) < REUSE_WINDOW_S:
                self.counts.recomputed += tokens

    def _drop_cancelled(self) -> None:
        for group in (self._waiting, self._prefilling, self._decoding):
            for job in [entry for entry in group if entry.cancelled]:
                group.remove(job)
                if group is not self._waiting:
                    self._release(job)

    def _release(self, job: Job) -> None:
        self._reserved_tokens -= job.parts[-1][1] + job.output_tokens

    def _store(self, parts: tuple[tuple[int, int], ...]) -> None:
        for digest, tokens in parts:
            if digest not in self._cached_parts:
                self._cached_tokens += tokens
            self._cached_parts[digest] = tokens
        self._touch(parts)
        self._evict()

    def _touch(self, parts: tuple[tuple[int, int], ...]) -> None:
        for digest, _ in reversed(parts):
            if digest in self._cached_parts:
                self._cached_parts.move_to_end(digest)

    def _evict(self) -> None:
        room = self.parameters.memory_tokens - self._reserved_tokens
        while self._cached_parts and self._cached_tokens > room:
            _, tokens = self._cached_parts.popitem(last=False)
            self._cached_tokens -= tokens
