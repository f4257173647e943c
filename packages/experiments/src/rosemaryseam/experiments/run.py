"""Plays days of the model and prints what they earned."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

from absl import app, flags

from rosemaryseam.experiments.fleet import Fleet
from rosemaryseam.experiments.load import draw_arrivals
from rosemaryseam.experiments.report import format_result, summarise
from rosemaryseam.experiments.scenarios import SCENARIOS
from rosemaryseam.router.fleetplacer import FleetPlacer
from rosemaryseam.router.placement import LeastLoadedPlacer

if TYPE_CHECKING:
    import random

    from rosemaryseam.experiments.events import Timeline
    from rosemaryseam.experiments.report import DayResult
    from rosemaryseam.router.placement import Placer
    from rosemaryseam.router.routes import Service

_SCENARIO = flags.DEFINE_multi_enum(
    'scenario', sorted(SCENARIOS), sorted(SCENARIOS), 'Which days to play.'
)
_POLICY = flags.DEFINE_enum(
    'policy', 'fleet', ['fleet', 'least_loaded'], 'Which policy places requests.'
)
_SEEDS = flags.DEFINE_integer('seeds', 1, 'How many seeds to play.', lower_bound=1)
_TAIL_S = 20.0  # for the last answers


def make_fleet_placer(
    timeline: Timeline, zone: str, service: Service, rng: random.Random
) -> Placer:
    """Return the placer of the product."""
    return FleetPlacer(timeline, zone, lambda _: service, rng)


def make_least_loaded_placer(
    timeline: Timeline, zone: str, service: Service, rng: random.Random
) -> Placer:
    """Return the baseline."""
    return LeastLoadedPlacer()


POLICIES = {'fleet': make_fleet_placer, 'least_loaded': make_least_loaded_placer}


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
