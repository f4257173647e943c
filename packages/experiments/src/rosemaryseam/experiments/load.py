"""Scenarios and the requests that are drawn from them with a fixed seed."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

import xxhash


class LogNormal(NamedTuple):
    """A log-normal distribution of token counts, limited to ``maximum``.

    ``variation`` is the standard deviation divided by the mean.
    """

    mean: float
    variation: float
    maximum: float


class RequestKind(NamedTuple):
    """A kind of request.

    An answer earns ``worth`` if it meets its targets and ``late_worth`` otherwise.
    ``shared_parts`` holds, for each level of the prompt, the size distribution and
    the number of different parts.
    """

    name: str
    rate_per_s: float
    rank: int
    worth: float
    late_worth: float
    target_s: float
    pause_target_s: float
    patience_s: float
    shared_parts: tuple[tuple[LogNormal, int], ...]
    own_part: LogNormal
    output: LogNormal
    resumable: bool


class Burst(NamedTuple):
    """An interval in which the rate of a kind of request is multiplied."""

    kind: str
    start_s: float
    duration_s: float
    factor: float


class Crash(NamedTuple):
    """A temporary crash of some engines."""

    engine_count: int
    start_s: float
    duration_s: float


class Noise(NamedTuple):
    """Periods in which neighbours slow an engine down, at random times.

    ``share`` is the share of the time, ``factor`` multiplies step times.
    """

    share: float
    duration_s: float
    factor: float


class Scenario(NamedTuple):
    """The engines, hosts, load and faults of a simulation."""

    name: str
    engine_count: int
    engine_slowdowns: tuple[float, ...]
    slots: int
    memory_tokens: int
    tokens_per_event: int
    host_count: int
    duration_s: float
    load_factor: float
    kinds: tuple[RequestKind, ...]
    bursts: tuple[Burst, ...]
    crashes: tuple[Crash, ...] = ()
    noise: Noise | None = None
    crowded_share: float = 1.0
    crowding: float = 0.0


class Arrival(NamedTuple):
    """A request of a caller; ``at`` is its arrival in simulated seconds."""

    number: int
    at: float
    kind: RequestKind
    parts: tuple[tuple[int, int], ...]
    output_tokens: int
    output_hint_tokens: int
    max_output_tokens: int


MEAN_CLUMP_REQUESTS = 3  # mean number of requests that arrive together
HINT_SIGMA = 0.5  # of the log-normal error of output length hints
PART_SKEW = 0.3  # at 0 all shared parts of a level are equally frequent


def draw_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the requests of a scenario in order of arrival.

    :param scenario: the scenario
    :param seed: seed of the random draws
    """
    rng = random.Random(f'{scenario.name}-{seed}')
    arrivals: list[Arrival] = []
    for kind in scenario.kinds:
        sizes = _draw_part_sizes(kind, rng)
        for at in _draw_arrival_times(scenario, kind, rng):
            arrivals.append(_draw_arrival(len(arrivals), at, kind, sizes, rng))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw_arrival_times(
    scenario: Scenario, kind: RequestKind, rng: random.Random
) -> list[float]:
    times = []
    now = 0.0
    while now < scenario.duration_s:
        rate = (
            kind.rate_per_s * scenario.load_factor * _burst_factor(scenario, kind, now)
        )
        now += rng.expovariate(rate / MEAN_CLUMP_REQUESTS)
        count = max(1, round(rng.expovariate(1 / MEAN_CLUMP_REQUESTS)))
        times += [now + rng.uniform(0.0, 0.01) for _ in range(count)]
    return times


def _burst_factor(scenario: Scenario, kind: RequestKind, now: float) -> float:
    factor = 1.0
    for burst in scenario.bursts:
        if (
            burst.kind == kind.name
            and burst.start_s <= now < burst.start_s + burst.duration_s
        ):
            factor *= burst.factor
    return factor


def _draw_part_sizes(kind: RequestKind, rng: random.Random) -> list[list[int]]:
    return [
        [_draw_size(distribution, rng) for _ in range(count)]
        for distribution, count in kind.shared_parts
    ]


def _draw_arrival(
    number: int,
    at: float,
    kind: RequestKind,
    sizes: list[list[int]],
    rng: random.Random,
) -> Arrival:
    parts = []
    path: tuple[object, ...] = (kind.name,)
    for level, choices in enumerate(sizes):
        index = _draw_skewed_index(len(choices), rng)
        path = (*path, level, index)
        parts.append((_digest(path), choices[index]))
    own = _draw_size(kind.own_part, rng)
    parts.append((_digest((kind.name, number, 'own')), own))
    output = _draw_size(kind.output, rng)
    hint = max(1, round(output * math.exp(rng.gauss(0.0, HINT_SIGMA))))
    maximum = round(kind.output.maximum)
    return Arrival(number, at, kind, tuple(parts), output, min(hint, maximum), maximum)


def _digest(path: tuple[object, ...]) -> int:
    return xxhash.xxh3_64_intdigest(repr(path).encode())


def _draw_skewed_index(count: int, rng: random.Random) -> int:
    """Return a random index; low indexes are more frequent."""
    return min(count - 1, int(count * rng.random() ** (1.0 / (1.0 - PART_SKEW))))


def _draw_size(distribution: LogNormal, rng: random.Random) -> int:
    variation = distribution.variation
    sigma = math.sqrt(math.log(1.0 + variation * variation))
    mean = math.log(distribution.mean) - sigma * sigma / 2
    return max(1, round(min(distribution.maximum, rng.lognormvariate(mean, sigma))))
