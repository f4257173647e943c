"""Tests that an owner's limit holds under failures, with simulated hosts.

The reference for the dispatcher's counts is the sum of the grants that all gateways
hold. No sequence of requests, network partitions, freezes, kills and restarts may raise
that sum above the limit of an upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from simulatedfleet import SimulatedFleet, small_catalogue

from rosemaryseam.node.requestqueue import ACTIVE_HOST_S

if TYPE_CHECKING:
    from collections.abc import Callable

LIMIT = 2
NAMES = ('host-1', 'host-2', 'host-3')
CLASSES = ('coaching', 'drafting', 'listing')
LONGEST_RUN_S = 60.0
HEAL_S = 6.0  # more than silence, lease, grant lifetime and two heartbeats together

hosts = st.sampled_from(NAMES)


def _saturated_fleet() -> SimulatedFleet:
    """Return a fleet with every slot in use and more requests waiting."""
    fleet = SimulatedFleet(NAMES, small_catalogue(LIMIT))
    for name in NAMES:
        fleet.start(name)
    fleet.run(2.0)
    for name in NAMES:
        for _ in range(4):
            fleet.hosts[name].request_grant('drafting', fleet.clock.monotonic())
    fleet.run(0.5)
    assert fleet.in_use() == {'engine-0': LIMIT, 'engine-1': LIMIT}
    return fleet


def _assert_limits(fleet: SimulatedFleet) -> None:
    for upstream, count in fleet.in_use().items():
        assert count <= LIMIT, f'{upstream} carries {count} calls'


def _request_on_all_hosts(fleet: SimulatedFleet) -> None:
    for host in fleet.hosts.values():
        if not host.frozen:
            host.request_grant('coaching', fleet.clock.monotonic())


def _freeze_dispatcher(fleet: SimulatedFleet, name: str) -> None:
    fleet.hosts[name].frozen = True


def _isolate_dispatcher(fleet: SimulatedFleet, name: str) -> None:
    fleet.isolate(name)


def _kill_dispatcher(fleet: SimulatedFleet, name: str) -> None:
    fleet.kill(name)


def _kill_with_another_frozen(fleet: SimulatedFleet, name: str) -> None:
    other = next(entry for entry in NAMES if entry != name)
    fleet.hosts[other].frozen = True
    fleet.run(2.0)
    fleet.kill(name)
    fleet.start(name)


def _isolate_and_restart_others(fleet: SimulatedFleet, name: str) -> None:
    """Restart the other hosts, which then do not know the isolated host's calls."""
    fleet.isolate(name)
    for other in NAMES:
        if other != name:
            fleet.kill(other)
            fleet.start(other)


@pytest.mark.parametrize(
    'fail',
    [
        _freeze_dispatcher,
        _isolate_dispatcher,
        _kill_dispatcher,
        _kill_with_another_frozen,
        _isolate_and_restart_others,
    ],
)
def test_limits_hold_when_the_dispatcher_fails(
    fail: Callable[[SimulatedFleet, str], None],
) -> None:
    fleet = _saturated_fleet()
    fail(fleet, fleet.dispatcher())
    for _ in range(40):
        _request_on_all_hosts(fleet)
        fleet.run(0.2)
        _assert_limits(fleet)
    fleet.cut_links.clear()
    for host in fleet.hosts.values():
        host.frozen = False
    for _ in range(10):
        _request_on_all_hosts(fleet)
        fleet.run(0.2)
        _assert_limits(fleet)


def _idle_fleet(limit: int) -> SimulatedFleet:
    short_calls = {'max_run_ms': int(LONGEST_RUN_S * 1000)}
    catalogue = small_catalogue(limit, engines=1, coaching=short_calls)
    fleet = SimulatedFleet(NAMES, catalogue)
    for name in NAMES:
        fleet.start(name)
    fleet.run(2.0)
    return fleet


def _request_grants(fleet: SimulatedFleet, name: str, count: int) -> None:
    for _ in range(count):
        fleet.hosts[name].request_grant('drafting', fleet.clock.monotonic())


def _assert_limit(fleet: SimulatedFleet, limit: int) -> None:
    assert fleet.in_use().get('engine-0', 0) <= limit


def test_isolated_dispatcher_grants_no_more_than_it_announced() -> None:
    """Its lease is still valid while its successor cannot reach it."""
    limit = 8
    fleet = _idle_fleet(limit)
    dispatcher = fleet.dispatcher()
    fleet.isolate(dispatcher)
    _request_grants(fleet, dispatcher, limit)
    fleet.deliver_all()
    others = [name for name in NAMES if name != dispatcher]
    for _ in range(20):
        _request_grants(fleet, others[0], 1)
        fleet.run(0.2)
        _assert_limit(fleet, limit)
    assert fleet.hosts[others[0]].held, 'the successor grants what is left'


def test_resumed_dispatcher_does_not_grant_on_its_expired_lease() -> None:
    """Its successor drops the reservation for it after the longest possible call."""
    limit = 8
    fleet = _idle_fleet(limit)
    dispatcher = fleet.dispatcher()
    frozen = fleet.hosts[dispatcher]
    _request_grants(fleet, dispatcher, 1)
    fleet.run(0.5)
    frozen.release_grant(next(iter(frozen.held)))
    frozen.frozen = True
    fleet.run(LONGEST_RUN_S + HEAL_S)
    _request_grants(fleet, next(name for name in NAMES if name != dispatcher), limit)
    fleet.run(1.0)
    assert fleet.in_use() == {'engine-0': limit}
    frozen.frozen = False
    _request_grants(fleet, dispatcher, limit)
    _assert_limit(fleet, limit)
    fleet.run(2.0)
    _assert_limit(fleet, limit)


def test_frozen_idle_host_reserves_no_capacity() -> None:
    """Other hosts get even a limit of one while an idle dispatcher is frozen."""
    fleet = _idle_fleet(1)
    dispatcher = fleet.dispatcher()
    fleet.run(ACTIVE_HOST_S)
    fleet.hosts[dispatcher].frozen = True
    fleet.run(2.0)
    _request_grants(fleet, next(name for name in NAMES if name != dispatcher), 1)
    fleet.run(1.0)
    assert fleet.in_use() == {'engine-0': 1}


@pytest.mark.parametrize('frozen_s', [0.5, 3.0, 70.0])
def test_limit_holds_when_a_frozen_host_receives_a_grant_late(frozen_s: float) -> None:
    """A grant sent before its dispatcher was killed must be rejected or counted."""
    limit = 2
    fleet = _idle_fleet(limit)
    dispatcher = fleet.dispatcher()
    frozen, running = (name for name in NAMES if name != dispatcher)
    _request_grants(fleet, running, limit)
    fleet.run(0.2)
    assert fleet.in_use() == {'engine-0': limit}
    _request_grants(fleet, frozen, limit)
    fleet.deliver_all()
    fleet.hosts[frozen].frozen = True
    for key in list(fleet.hosts[running].held):
        fleet.hosts[running].release_grant(key)
    fleet.deliver_all()
    fleet.kill(dispatcher)
    fleet.start(dispatcher)
    for _ in range(round(frozen_s / 0.5)):
        _request_grants(fleet, running, 1)
        fleet.run(0.5)
        _assert_limit(fleet, limit)
    resumed = fleet.hosts[frozen]
    resumed.frozen = False
    resumed.deliver_from(dispatcher)
    _assert_limit(fleet, limit)
    fleet.run(2.0)
    _assert_limit(fleet, limit)


def test_quick_restart_of_a_host_frees_its_grants() -> None:
    """A process restarted within one heartbeat does not hold its former grants."""
    limit = 2
    fleet = _idle_fleet(limit)
    dispatcher = fleet.dispatcher()
    holder, other = (name for name in NAMES if name != dispatcher)
    _request_grants(fleet, holder, limit)
    fleet.run(0.5)
    assert len(fleet.hosts[holder].held) == limit
    epoch = fleet.epoch()
    fleet.kill(holder)
    fleet.start(holder)
    fleet.run(1.0)
    assert fleet.epoch() == epoch, 'a starting host takes over no partition'
    _request_grants(fleet, other, limit)
    fleet.run(1.0)
    assert len(fleet.hosts[other].held) == limit


class LimitMachine(RuleBasedStateMachine):
    @initialize()
    def start(self) -> None:
        self.fleet = SimulatedFleet(NAMES, small_catalogue(LIMIT))
        for name in NAMES:
            self.fleet.start(name)
        self.fleet.run(2.0)

    @rule(name=hosts, request_class=st.sampled_from(CLASSES), count=st.integers(1, 6))
    def ask(self, name: str, request_class: str, count: int) -> None:
        host = self.fleet.hosts.get(name)
        if host is not None and not host.frozen:
            for _ in range(count):
                host.request_grant(request_class, self.fleet.clock.monotonic())

    @rule(name=hosts, count=st.integers(1, 3))
    def finish(self, name: str, count: int) -> None:
        host = self.fleet.hosts.get(name)
        if host is not None and not host.frozen:
            for key in list(host.held)[:count]:
                host.release_grant(key)

    @rule(seconds=st.sampled_from([0.05, 0.2, 1.0, 4.0]))
    def run(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(one=hosts, other=hosts)
    def cut(self, one: str, other: str) -> None:
        if one != other:
            self.fleet.cut_links.add((one, other))

    @rule(name=hosts)
    def isolate(self, name: str) -> None:
        self.fleet.isolate(name)

    @rule()
    def heal(self) -> None:
        self.fleet.cut_links.clear()

    @rule(name=hosts)
    def freeze(self, name: str) -> None:
        if name in self.fleet.hosts:
            self.fleet.hosts[name].frozen = True

    @rule(name=hosts)
    def thaw(self, name: str) -> None:
        if name in self.fleet.hosts:
            self.fleet.hosts[name].frozen = False

    @precondition(lambda self: len(self.fleet.hosts) > 1)
    @rule(name=hosts)
    def kill(self, name: str) -> None:
        if name in self.fleet.hosts:
            self.fleet.kill(name)

    @rule(name=hosts)
    def restart(self, name: str) -> None:
        if name not in self.fleet.hosts:
            self.fleet.start(name)

    @invariant()
    def limits_hold(self) -> None:
        for upstream, count in self.fleet.in_use().items():
            assert count <= LIMIT, f'{upstream} carries {count} calls'

    def teardown(self) -> None:
        """Check that free capacity is granted once all failures are over."""
        self.fleet.cut_links.clear()
        for host in self.fleet.hosts.values():
            host.frozen = False
        for name in NAMES:
            self.restart(name)
        self.fleet.run(HEAL_S)
        for host in self.fleet.hosts.values():
            for key in list(host.held):
                host.release_grant(key)
        self.fleet.run(HEAL_S)
        self.ask('host-1', 'coaching', 1)
        self.fleet.run(1.0)
        self.limits_hold()
        assert self.fleet.in_use(), 'nothing is granted after the failures'


TestLendingLimits = LimitMachine.TestCase
TestLendingLimits.settings = settings(
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
