"""Loads: kinds of requests, sessions and bursts, drawn with a fixed seed."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

import xxhash


class TokenSize(NamedTuple):
    """A distribution of token counts: log-normal, cut at ``most``."""

    mean: float
    spread: float
    most: float


class Kind(NamedTuple):
    """A kind of request, with what it earns in target and late."""

    name: str
    per_s: float
    rank: int
    worth: float
    late_worth: float
    target_s: float
    pause_s: float
    patience_s: float
    shared: tuple[tuple[TokenSize, int], ...]  # sizes and how many parts there are
    own: TokenSize
    output: TokenSize
    resumable: bool


class Burst(NamedTuple):
    """A time in which a kind of request comes more often."""

    kind: str
    at_s: float
    for_s: float
    factor: float


class Crash(NamedTuple):
    """Engines that are down for a time."""

    engines: int
    at_s: float
    for_s: float


class Scenario(NamedTuple):
    """A day: engines, hosts, kinds of requests and what happens."""

    name: str
    engines: int
    engine_slowness: tuple[float, ...]
    slots: int
    memory_tokens: int
    tokens_per_event: int
    hosts: int
    length_s: float
    load: float
    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...]
    crashes: tuple[Crash, ...] = ()


class Arrival(NamedTuple):
    """A request of a caller."""

    number: int
    at: float
    kind: Kind
    parts: tuple[tuple[int, int], ...]
    output_tokens: int
    hint_tokens: int
    most_output: int


CLUMP = 3  # callers send about so many requests at once
HINT_SPREAD = 0.5
SESSION_SKEW = 0.3


def draw_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Return the requests of a day in their order.

    :param scenario: the day
    :param seed: of all that is random
    """
    rng = random.Random(f'{scenario.name}-{seed}')
    arrivals: list[Arrival] = []
    for kind in scenario.kinds:
        sizes = _part_sizes(kind, rng)
        for at in _times(scenario, kind, rng):
            arrivals.append(_draw(len(arrivals), at, kind, sizes, rng))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _times(scenario: Scenario, kind: Kind, rng: random.Random) -> list[float]:
    times = []
    now = 0.0
    while now < scenario.length_s:
        rate = kind.per_s * scenario.load * _factor(scenario, kind, now)
        now += rng.expovariate(rate / CLUMP)
        count = max(1, round(rng.expovariate(1 / CLUMP)))
        times += [now + rng.uniform(0.0, 0.01) for _ in range(count)]
    return times


def _factor(scenario: Scenario, kind: Kind, now: float) -> float:
    factor = 1.0
    for burst in scenario.bursts:
        if burst.kind == kind.name and burst.at_s <= now < burst.at_s + burst.for_s:
            factor *= burst.factor
    return factor


def _part_sizes(kind: Kind, rng: random.Random) -> list[list[int]]:
    return [
        [_size(distribution, rng) for _ in range(count)]
        for distribution, count in kind.shared
    ]


def _draw(
    number: int, at: float, kind: Kind, sizes: list[list[int]], rng: random.Random
) -> Arrival:
    parts = []
    path: tuple[object, ...] = (kind.name,)
    for level, choices in enumerate(sizes):
        index = _skewed(len(choices), rng)
        path = (*path, level, index)
        parts.append((_digest(path), choices[index]))
    own = _size(kind.own, rng)
    parts.append((_digest((kind.name, number, 'own')), own))
    output = _size(kind.output, rng)
    hint = max(1, round(output * math.exp(rng.gauss(0.0, HINT_SPREAD))))
    most = round(kind.output.most)
    return Arrival(number, at, kind, tuple(parts), output, min(hint, most), most)


def _digest(path: tuple[object, ...]) -> int:
    return xxhash.xxh3_64_intdigest(repr(path).encode())


def _skewed(count: int, rng: random.Random) -> int:
    """Return an index; low ones come more often."""
    return min(count - 1, int(count * rng.random() ** (1.0 / (1.0 - SESSION_SKEW))))


def _size(distribution: TokenSize, rng: random.Random) -> int:
    spread = distribution.spread
    sigma = math.sqrt(math.log(1.0 + spread * spread))
    mean = math.log(distribution.mean) - sigma * sigma / 2
    return max(1, round(min(distribution.most, rng.lognormvariate(mean, sigma))))
