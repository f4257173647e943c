"""A model of an engine: chunked prefill beside decode, with a cache of prompt parts."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.experiments.simulatedclock import SimulatedClock


REUSE_S = 6.0  # a part unused for longer may be read again at no price


class EngineRates(NamedTuple):
    """How fast an engine works; ``slowness`` multiplies all times."""

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
    slowness: float = 1.0


class Job:
    """A request at an engine.

    :param parts: digests and tokens of the prompt, the last one its own
    :param output_tokens: what it generates
    :param urgency: 0 is admitted first
    :param on_event: called at each event, with whether it is the last
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
        self.left_to_read = 0
        self.context = 0
        self.made = 0
        self.cancelled = False

    @property
    def prompt_tokens(self) -> int:
        """Tokens of the whole prompt."""
        return sum(tokens for _, tokens in self.parts)


class ReadCounts:
    """What an engine has read, in tokens."""

    def __init__(self) -> None:
        self.read = 0
        self.again = 0  # of shared parts that some engine read lately
        self.kept = 0
        self.fetched = 0


class ModelEngine:
    """Runs jobs in steps: one token for each stream, and a chunk of prefill.

    :param clock: simulated time
    :param rates: how fast it works
    :param seen: when any engine read a part, by digest
    """

    def __init__(
        self,
        clock: SimulatedClock,
        rates: EngineRates,
        seen: dict[int, float] | None = None,
    ) -> None:
        self._clock = clock
        self._seen = {} if seen is None else seen
        self.rates = rates
        self.counts = ReadCounts()
        self._waiting: list[Job] = []
        self._reading: list[Job] = []
        self._decoding: list[Job] = []
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._cached = 0
        self._in_use = 0
        self._stepping = False
        self.up = True

    def held(self, parts: tuple[tuple[int, int], ...]) -> int:
        """Return how many leading parts of a prompt are cached.

        :param parts: digests and tokens
        """
        count = 0
        for digest, _ in parts:
            if digest not in self._parts:
                break
            count += 1
        return count

    def submit(self, job: Job, source: ModelEngine | None) -> None:
        """Take a job, after its cached parts were fetched from another engine.

        :param job: the job
        :param source: where to fetch from
        """
        count = source.held(job.parts) if source is not None else 0
        missing = job.parts[self.held(job.parts) : count]
        if not missing:
            self._enqueue(job)
            return
        tokens = sum(size for _, size in missing)
        self.counts.fetched += tokens
        delay = self.rates.fetch_setup_s + tokens * self.rates.fetch_s_per_token

        def arrived() -> None:
            self._store(missing)
            self._enqueue(job)

        self._clock.call_later(delay, arrived)

    def cancel(self, job: Job) -> None:
        """Drop a job.

        :param job: the job
        """
        job.cancelled = True

    def crash(self) -> list[Job]:
        """Lose everything and return the jobs that were there."""
        jobs = self._waiting + self._reading + self._decoding
        self._waiting, self._reading, self._decoding = [], [], []
        self._parts.clear()
        self._cached = self._in_use = 0
        self.up = False
        return [job for job in jobs if not job.cancelled]

    def restart(self) -> None:
        """Come back empty."""
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
        if not self._reading and not self._decoding:
            self._stepping = False
            return
        rates = self.rates
        streams = list(self._decoding)
        read, pairs, finished = self._read_chunk()
        context = sum(job.context for job in streams)
        duration = (
            rates.step_s
            + rates.step_per_slot_s * len(streams)
            + rates.context_s_per_token * context
            + read / rates.prefill_tokens_per_s
            + pairs * rates.attention_s_per_pair
        ) * rates.slowness
        self._clock.call_later(duration, lambda: self._end_step(streams, finished))

    def _end_step(self, streams: list[Job], finished: list[Job]) -> None:
        for job in streams:
            if not job.cancelled and job in self._decoding:
                self._make_token(job)
        for job in finished:
            if job in self._reading:
                self._reading.remove(job)
                self._decoding.append(job)
                self._store(job.parts)
                self._make_token(job)
        self._step()

    def _make_token(self, job: Job) -> None:
        job.made += 1
        job.context += 1
        last = job.made >= job.output_tokens
        if last:
            self._decoding.remove(job)
            self._release(job)
        if last or job.made % self.rates.tokens_per_event == 0:
            job.on_event(last)

    def _read_chunk(self) -> tuple[int, float, list[Job]]:
        budget = self.rates.chunk_tokens
        read = 0
        pairs = 0.0
        finished = []
        for job in self._reading:
            if budget <= 0:
                break
            take = min(budget, job.left_to_read)
            pairs += take * (job.context + take / 2)
            job.left_to_read -= take
            job.context += take
            budget -= take
            read += take
            if job.left_to_read <= 0:
                finished.append(job)
        self.counts.read += read
        return read, pairs, finished

    def _admit(self) -> None:
        while self._waiting:
            job = self._waiting[0]
            if len(self._reading) + len(self._decoding) >= self.rates.slots:
                return
            own = job.parts[-1][1] + job.output_tokens
            if self._in_use and self._in_use + own > self.rates.memory_tokens:
                return
            self._waiting.pop(0)
            kept = sum(size for _, size in job.parts[: self.held(job.parts)])
            self.counts.kept += kept
            self._count_again(job.parts[self.held(job.parts) : -1])
            for digest, _ in job.parts[:-1]:
                self._seen[digest] = self._clock.monotonic()
            job.left_to_read = max(1, job.prompt_tokens - kept)
            job.context = kept
            self._in_use += own
            self._reading.append(job)
            self._touch(job.parts)
            self._evict()

    def _count_again(self, missing: tuple[tuple[int, int], ...]) -> None:
        now = self._clock.monotonic()
        for digest, tokens in missing:
            if now - self._seen.get(digest, -math.inf) < REUSE_S:
                self.counts.again += tokens

    def _drop_cancelled(self) -> None:
        for group in (self._waiting, self._reading, self._decoding):
            for job in [entry for entry in group if entry.cancelled]:
                group.remove(job)
                if group is not self._waiting:
                    self._release(job)

    def _release(self, job: Job) -> None:
        self._in_use -= job.parts[-1][1] + job.output_tokens

    def _store(self, parts: tuple[tuple[int, int], ...]) -> None:
        for digest, tokens in parts:
            if digest not in self._parts:
                self._cached += tokens
            self._parts[digest] = tokens
        self._touch(parts)
        self._evict()

    def _touch(self, parts: tuple[tuple[int, int], ...]) -> None:
        for digest, _ in reversed(parts):
            if digest in self._parts:
                self._parts.move_to_end(digest)

    def _evict(self) -> None:
        room = self.rates.memory_tokens - self._in_use
        while self._parts and self._cached > room:
            _, tokens = self._parts.popitem(last=False)
            self._cached -= tokens
