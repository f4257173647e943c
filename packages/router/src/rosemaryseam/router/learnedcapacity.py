"""What a dispatcher learned of the speed of upstreams, and its exchange with others."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.policy.enginespeed import EnginePerformance, EngineSpeed
from rosemaryseam.policy.prefillchunks import PrefillChunks
from rosemaryseam.policy.workspeed import WorkSpeed

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.requests import StatedLoad
    from rosemaryseam.router.upstreams import Upstream

PRIOR_INTERVAL_S = 2.0  # between two computations of a service's medians
MAX_LEARNED_AGE_S = 30.0  # of figures that a new dispatcher is told
MAX_LOAD_AGE_S = 1.0  # older statements of a load tell nothing about a burst
EXCESS_DECAY_S = 0.5  # of the number of requests that others placed

Incarnation = tuple[str, int]  # id and start of an upstream


class LearnedReport(NamedTuple):
    """Figures of an upstream's incarnation, learned ``age_s`` seconds ago.

    ``work_s`` is the work time of a request without a prompt. Figures that are not
    known are ``None``.
    """

    upstream: str
    born: int
    age_s: float
    figures: EnginePerformance | None
    work_s: float | None


class UpstreamCapacity:
    """Holds what was learned of one incarnation of an upstream.

    :param upstream: the incarnation
    :param batch_slots: number of requests that it runs at a time
    :param chunks: prefill chunks of the service's engines
    """

    def __init__(
        self, upstream: Upstream, batch_slots: int, chunks: PrefillChunks
    ) -> None:
        self.upstream = upstream
        self.chunks = chunks
        self.engine = EngineSpeed(EnginePerformance(), batch_slots)
        self.work = WorkSpeed()
        self.load: StatedLoad | None = None
        self._stated_at = -math.inf
        self._excess = 0.0

    def record_load(self, load: StatedLoad, own: int, stated_at: float) -> bool:
        """Record a stated load; return whether it is newer than the one known.

        :param load: stated load
        :param own: number of requests in flight that this dispatcher knows
        :param stated_at: seconds on the monotonic clock
        """
        if stated_at <= self._stated_at:
            return False
        self.load, self._stated_at = load, stated_at
        self._excess = max(0.0, load.running + load.waiting - own - 1)
        if load.work_percent is not None:
            self.engine.stated.record(load.work_percent, stated_at)
            self.work.stated.record(load.work_percent, stated_at)
        return True

    def load_age_s(self, now: float) -> float:
        """Return the age of the stated load, infinite without one.

        :param now: seconds on the monotonic clock
        """
        return now - self._stated_at

    def slots(self, registered: int) -> int:
        """Return the number of requests that the upstream runs at a time.

        :param registered: number in the upstream's entry
        """
        stated = self.load.slots if self.load is not None else 0
        return max(1, stated or registered)

    def excess(self, now: float) -> float:
        """Return the number of requests there that other dispatchers placed.

        :param now: seconds on the monotonic clock
        """
        age_s = self.load_age_s(now)
        if age_s > MAX_LOAD_AGE_S:
            return 0.0
        return self._excess * math.exp(-max(0.0, age_s) / EXCESS_DECAY_S)


class LearnedCapacities:
    """Keeps what was learned of all upstreams; outlives their ejections.

    :param clock: clock of the process
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.learns = True  # experiments compare with figures that stay as they are
        self._entries: dict[Incarnation, UpstreamCapacity] = {}
        self._priors_at: dict[str, float] = {}
        self._chunks: dict[str, PrefillChunks] = {}

    def get(self, upstream: Upstream, batch_slots: int) -> UpstreamCapacity:
        """Return what was learned of an upstream.

        :param upstream: incarnation of the upstream
        :param batch_slots: number of requests that it runs at a time
        """
        entry = self._entries.get(upstream.incarnation)
        if entry is None:
            service = upstream.service
            if service not in self._chunks:
                default = EnginePerformance().chunk_tokens
                self._chunks[service] = PrefillChunks(default)
            entry = UpstreamCapacity(upstream, batch_slots, self._chunks[service])
            entry.engine.learns = self.learns
            self._entries[upstream.incarnation] = entry
            self._priors_at.pop(upstream.service, None)
        return entry

    def update_priors(self, service: str) -> None:
        """Set what counts for each upstream of a service until it is measured.

        That is the median of the others of which something is known.

        :param service: name of the service
        """
        now = self._clock.monotonic()
        if now - self._priors_at.get(service, -math.inf) < PRIOR_INTERVAL_S:
            return
        self._priors_at[service] = now
        entries = [
            entry
            for entry in self._entries.values()
            if entry.upstream.service == service
        ]
        engines = [entry.engine for entry in entries if entry.engine.is_known(now)]
        works = [entry.work for entry in entries if entry.work.is_known(now)]
        figures = {engine: engine.lasting for engine in engines}
        times = {work: work.lasting_s(now) for work in works}
        for entry in entries:
            others = [value for key, value in figures.items() if key != entry.engine]
            entry.engine.set_prior(_median_performance(others), now)
            work_times = [value for key, value in times.items() if key != entry.work]
            prior_s = statistics.median(work_times) if work_times else None
            entry.work.set_prior(prior_s, now)

    def names_beside(self, upstream: Incarnation) -> list[str]:
        """Return the ids of the known upstreams of the service of an upstream.

        :param upstream: incarnation of the upstream
        """
        known = self._entries.get(upstream)
        service = None if known is None else known.upstream.service
        return [
            entry.upstream.id
            for entry in self._entries.values()
            if entry.upstream.service == service
        ]

    def reports(self, names: Collection[str]) -> list[LearnedReport]:
        """Return what is known of some upstreams, for another dispatcher.

        :param names: ids of the upstreams
        """
        now = self._clock.monotonic()
        found = []
        for (name, born), entry in self._entries.items():
            if name not in names:
                continue
            engine_at, work_at = entry.engine.learned_at(), entry.work.learned_at()
            age_s = now - max(engine_at, work_at)
            if age_s < MAX_LEARNED_AGE_S:
                figures = entry.engine.lasting if engine_at > -math.inf else None
                work_s = entry.work.lasting_s(now) if work_at > -math.inf else None
                found.append(LearnedReport(name, born, age_s, figures, work_s))
        return found

    def adopt(self, report: LearnedReport, upstream: Upstream, slots: int) -> None:
        """Use what another host knows, where nothing is known here.

        :param report: what the other host knows
        :param upstream: incarnation of the upstream
        :param slots: number of requests that it runs at a time
        """
        now = self._clock.monotonic()
        entry = self.get(upstream, slots)
        learned_at = now - max(0.0, report.age_s)
        if report.figures is not None:
            entry.engine.adopt(report.figures, learned_at, now)
        if report.work_s is not None:
            entry.work.adopt(report.work_s, learned_at)

    def retain(self, upstreams: Iterable[Incarnation]) -> None:
        """Drop what was learned of all other incarnations.

        :param upstreams: incarnations still in use
        """
        kept = set(upstreams)
        for upstream in [key for key in self._entries if key not in kept]:
            del self._entries[upstream]

    def dump(self, upstream: Upstream, batch_slots: int) -> dict[str, object]:
        """Return what was learned of an upstream as JSON types.

        :param upstream: incarnation of the upstream
        :param batch_slots: number of requests that it runs at a time
        """
        now = self._clock.monotonic()
        entry = self.get(upstream, batch_slots)
        figures = entry.engine.lasting
        knee, age_s = entry.engine.knee, entry.load_age_s(now)
        return {
            'prefill_tokens_per_s': round(figures.prefill_tokens_per_s),
            'step_us': round(figures.step_s * 1e6),
            'step_per_slot_us': round(figures.step_per_slot_s * 1e6),
            'chunk_tokens': entry.chunks.tokens,
            'present_factor': round(entry.engine.present_factor(now), 2),
            'knee': None if math.isinf(knee) else round(knee),
            'work_ms': round(entry.work.work_s(now) * 1000, 1),
            'usual_work_ms': round(entry.work.lasting_s(now) * 1000, 1),
            'stated_load': None if entry.load is None else entry.load._asdict(),
            'stated_age_s': None if math.isinf(age_s) else round(age_s, 3),
        }


def _median_performance(figures: Sequence[EnginePerformance]) -> EnginePerformance:
    if not figures:
        return EnginePerformance()
    return EnginePerformance()._replace(
        prefill_tokens_per_s=statistics.median(
            entry.prefill_tokens_per_s for entry in figures
        ),
        step_s=statistics.median(entry.step_s for entry in figures),
        step_per_slot_s=statistics.median(entry.step_per_slot_s for entry in figures),
    )
