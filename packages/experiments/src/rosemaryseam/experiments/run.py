"""Runs simulations and prints their scores."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

from absl import app, flags

from rosemaryseam.experiments.fleet import ZONE, Fleet
from rosemaryseam.experiments.hosts import SimulatedHost, SimulatedHosts
from rosemaryseam.experiments.load import draw_arrivals
from rosemaryseam.experiments.report import format_result, summarise
from rosemaryseam.experiments.scenarios import SCENARIOS
from rosemaryseam.router.placement import LeastLoadedPlacer, Placer

if TYPE_CHECKING:
    import random

    from rosemaryseam.experiments.report import SimulationResult
    from rosemaryseam.experiments.simulatedclock import SimulatedClock
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.upstreams import Registry

_SCENARIO = flags.DEFINE_multi_enum(
    'scenario', sorted(SCENARIOS), sorted(SCENARIOS), 'Scenarios to run.'
)
_POLICY = flags.DEFINE_enum(
    'policy',
    'dispatched',
    ['dispatched', 'restarting', 'separate', 'fixed', 'least_loaded'],
    'Policy that places requests.',
)
_SEEDS = flags.DEFINE_integer('seeds', 1, 'Number of seeds to run.', lower_bound=1)
_TAIL_S = 20.0  # simulated time after the last arrival, to complete answers
FIRST_RESTART_S = 1.0
RESTART_INTERVAL_S = 2.0


def make_dispatched(
    clock: SimulatedClock,
    registry: Registry,
    service: Service,
    rng: random.Random,
    host_count: int,
) -> list[Placer]:
    """Return one placer, so that all hosts share an upstream tracker."""
    return [_make_host(clock, registry, service, rng)]


def make_restarting(
    clock: SimulatedClock,
    registry: Registry,
    service: Service,
    rng: random.Random,
    host_count: int,
) -> list[Placer]:
    """Return placers of hosts that restart one after the other."""
    fleet = SimulatedHosts(host_count, ZONE, clock, registry, service, rng)
    fleet.schedule_rolling_restart(FIRST_RESTART_S, RESTART_INTERVAL_S)
    return fleet.placers


def make_separate(
    clock: SimulatedClock,
    registry: Registry,
    service: Service,
    rng: random.Random,
    host_count: int,
) -> list[Placer]:
    """Return placers that each track only the requests of their own host."""
    return [_make_host(clock, registry, service, rng) for _ in range(host_count)]


def make_fixed(
    clock: SimulatedClock,
    registry: Registry,
    service: Service,
    rng: random.Random,
    host_count: int,
) -> list[Placer]:
    """Return one placer that uses the default figures of engines."""
    host = _make_host(clock, registry, service, rng)
    host.tracker.learned.learns = False
    return [host]


def make_least_loaded(
    clock: SimulatedClock,
    registry: Registry,
    service: Service,
    rng: random.Random,
    host_count: int,
) -> list[Placer]:
    """Return baseline placers that choose the engine with the fewest own requests."""
    return [LeastLoadedPlacer() for _ in range(host_count)]


def _make_host(
    clock: SimulatedClock, registry: Registry, service: Service, rng: random.Random
) -> SimulatedHost:
    return SimulatedHost('host', ZONE, clock, registry, service, rng)


POLICIES = {
    'dispatched': make_dispatched,
    'restarting': make_restarting,
    'separate': make_separate,
    'fixed': make_fixed,
    'least_loaded': make_least_loaded,
}


def run_scenario(name: str, policy: str, seed: int) -> SimulationResult:
    """Run a scenario and return its score.

    :param name: name of the scenario
    :param policy: a key of :data:`POLICIES`
    :param seed: seed of all random draws
    """
    scenario = SCENARIOS[name]
    fleet = Fleet(scenario, POLICIES[policy], seed)
    fleet.run(draw_arrivals(scenario, seed), scenario.duration_s + _TAIL_S)
    return summarise(fleet)


def main(argv: list[str]) -> None:
    """Run the scenarios that the flags select."""
    for name in _SCENARIO.value:
        worths = []
        for seed in range(_SEEDS.value):
            started = time.monotonic()
            result = run_scenario(name, _POLICY.value, seed)
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
