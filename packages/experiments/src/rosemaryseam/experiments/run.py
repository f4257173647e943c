"""Plays days of the model and prints what they earned."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

from absl import app, flags

from rosemaryseam.experiments.fleet import ZONE, Fleet
from rosemaryseam.experiments.hosts import ModelHost, ModelHosts
from rosemaryseam.experiments.load import draw_arrivals
from rosemaryseam.experiments.report import format_result, summarise
from rosemaryseam.experiments.scenarios import SCENARIOS
from rosemaryseam.router.placement import LeastLoadedPlacer, Placer

if TYPE_CHECKING:
    import random

    from rosemaryseam.experiments.report import DayResult
    from rosemaryseam.experiments.simulatedclock import SimulatedClock
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.upstreams import Registry

_SCENARIO = flags.DEFINE_multi_enum(
    'scenario', sorted(SCENARIOS), sorted(SCENARIOS), 'Which days to play.'
)
_POLICY = flags.DEFINE_enum(
    'policy',
    'dispatched',
    ['dispatched', 'restarting', 'separate', 'least_loaded'],
    'Which policy places requests.',
)
_SEEDS = flags.DEFINE_integer('seeds', 1, 'How many seeds to play.', lower_bound=1)
_TAIL_S = 20.0  # for the last answers
FIRST_RESTART_S = 1.0
RESTART_GAP_S = 2.0


def make_dispatched(
    clock: SimulatedClock,
    registry: Registry,
    service: Service,
    rng: random.Random,
    hosts: int,
) -> list[Placer]:
    """Return placers that share the upstream trackers of their dispatchers."""
    return [_make_host(clock, registry, service, rng)]


def make_restarting(
    clock: SimulatedClock,
    registry: Registry,
    service: Service,
    rng: random.Random,
    hosts: int,
) -> list[Placer]:
    """Return placers of hosts that restart one after the other."""
    fleet = ModelHosts(hosts, ZONE, clock, registry, service, rng)
    fleet.schedule_restarts(FIRST_RESTART_S, RESTART_GAP_S)
    return fleet.placers


def make_separate(
    clock: SimulatedClock,
    registry: Registry,
    service: Service,
    rng: random.Random,
    hosts: int,
) -> list[Placer]:
    """Return placers that know only their own host's requests."""
    return [_make_host(clock, registry, service, rng) for _ in range(hosts)]


def make_least_loaded(
    clock: SimulatedClock,
    registry: Registry,
    service: Service,
    rng: random.Random,
    hosts: int,
) -> list[Placer]:
    """Return the baseline: the fewest requests of each host's own."""
    return [LeastLoadedPlacer() for _ in range(hosts)]


def _make_host(
    clock: SimulatedClock, registry: Registry, service: Service, rng: random.Random
) -> ModelHost:
    return ModelHost('host', ZONE, clock, registry, service, rng)


POLICIES = {
    'dispatched': make_dispatched,
    'restarting': make_restarting,
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
