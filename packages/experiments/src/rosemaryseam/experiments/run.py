"""Plays days of the model and prints what they earned."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

from absl import app, flags

from rosemaryseam.experiments.fleet import ZONE, Fleet
from rosemaryseam.experiments.load import draw_arrivals
from rosemaryseam.experiments.report import format_result, summarise
from rosemaryseam.experiments.scenarios import SCENARIOS
from rosemaryseam.node.metrics import Metrics
from rosemaryseam.router.books import PlacementBooks
from rosemaryseam.router.dispatch import Dispatcher, DispatchPlacer
from rosemaryseam.router.placement import LeastLoadedPlacer, Placer

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from rosemaryseam.experiments.events import Timeline
    from rosemaryseam.experiments.report import DayResult
    from rosemaryseam.router.placement import Order, Ticket
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.upstreams import Registry, Upstream

_SCENARIO = flags.DEFINE_multi_enum(
    'scenario', sorted(SCENARIOS), sorted(SCENARIOS), 'Which days to play.'
)
_POLICY = flags.DEFINE_enum(
    'policy',
    'dispatched',
    ['dispatched', 'separate', 'least_loaded'],
    'Which policy places requests.',
)
_SEEDS = flags.DEFINE_integer('seeds', 1, 'How many seeds to play.', lower_bound=1)
_TAIL_S = 20.0  # for the last answers


def make_dispatched(
    timeline: Timeline,
    registry: Registry,
    service: Service,
    rng: random.Random,
    hosts: int,
) -> list[Placer]:
    """Return placers that share the books of their dispatchers."""
    return [_make_placer(timeline, registry, service, rng)]


def make_separate(
    timeline: Timeline,
    registry: Registry,
    service: Service,
    rng: random.Random,
    hosts: int,
) -> list[Placer]:
    """Return placers that know only their own host's requests."""
    return [_make_placer(timeline, registry, service, rng) for _ in range(hosts)]


def make_least_loaded(
    timeline: Timeline,
    registry: Registry,
    service: Service,
    rng: random.Random,
    hosts: int,
) -> list[Placer]:
    """Return the baseline: the fewest requests of each host's own."""
    return [LeastLoadedPlacer() for _ in range(hosts)]


def _make_placer(
    timeline: Timeline, registry: Registry, service: Service, rng: random.Random
) -> Placer:
    books = PlacementBooks(timeline, lambda _: service, rng)
    books.retain(registry.all())
    metrics = Metrics()
    dispatcher = Dispatcher(books, registry, metrics)
    return _FollowingPlacer(
        DispatchPlacer('host', ZONE, timeline, metrics, books, dispatcher, registry),
        books,
        registry,
    )


class _FollowingPlacer(Placer):
    """Keeps a placer's books in step with the registry, as the feed does."""

    def __init__(
        self, placer: DispatchPlacer, books: PlacementBooks, registry: Registry
    ) -> None:
        self._placer = placer
        self._books = books
        self._registry = registry
        self._known: tuple[Upstream, ...] = ()

    def place(self, order: Order, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket for an upstream."""
        if self._registry.all() != self._known:
            self._known = self._registry.all()
            self._books.retain(self._known)
        return self._placer.place(order, upstreams)


POLICIES = {
    'dispatched': make_dispatched,
    'separate': make_separate,
    'least_loaded': make_least_loaded,
}


def play(name: str, policy: str, seed: int) -> DayResult:
    """Play a day and return its result.

    :param name: of the scenario
    :param policy: a key of :data:`POLICIES`
    :param seed: of all that is random
    """
    scenario = SCENARIOS[name]
    fleet = Fleet(scenario, POLICIES[policy], seed)
    fleet.run(draw_arrivals(scenario, seed), scenario.length_s + _TAIL_S)
    return summarise(fleet)


def main(argv: list[str]) -> None:
    """Play what the flags ask for."""
    for name in _SCENARIO.value:
        worths = []
        for seed in range(_SEEDS.value):
            started = time.monotonic()
            result = play(name, _POLICY.value, seed)
            took = time.monotonic() - started
            print(f'{name} seed {seed} policy {_POLICY.value} ({took:.1f} s)')
            print(format_result(result))
            worths.append(result.worth)
        print(f'{name}: mean worth {statistics.mean(worths):.3f}')


def run() -> None:
    """Parse the command line and run."""
    app.run(main)


if __name__ == '__main__':
    run()
