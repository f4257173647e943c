"""An owner's limit holds whatever fails: a state machine over whole hosts.

The naive twin of the dispatcher's counts is the sum of what every gateway holds:
no history of requests, cuts, freezes, kills and restarts may make that sum pass
the limit of an upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from fabric import Fabric, small_catalogue
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rosemaryseam.node.waits import ACTIVE_S

if TYPE_CHECKING:
    from collections.abc import Callable

LIMIT = 2
NAMES = ('host-1', 'host-2', 'host-3')
CLASSES = ('coaching', 'drafting', 'listing')
LONGEST_RUN_S = 60.0
HEAL_S = 6.0  # silence, lease, grant life and two heartbeats, with room

hosts = st.sampled_from(NAMES)


def _busy_fabric() -> Fabric:
    """Return a fleet in which every slot is in use and more requests wait."""
    fabric = Fabric(NAMES, small_catalogue(LIMIT))
    for name in NAMES:
        fabric.start(name)
    fabric.run(2.0)
    for name in NAMES:
        for _ in range(4):
            fabric.hosts[name].ask('drafting', fabric.clock.monotonic())
    fabric.run(0.5)
    assert fabric.in_use() == {'engine-0': LIMIT, 'engine-1': LIMIT}
    return fabric


def _assert_limits(fabric: Fabric) -> None:
    for upstream, count in fabric.in_use().items():
        assert count <= LIMIT, f'{upstream} carries {count} calls'


def _ask_on_all(fabric: Fabric) -> None:
    for host in fabric.hosts.values():
        if not host.frozen:
            host.ask('coaching', fabric.clock.monotonic())


def _freeze_dispatcher(fabric: Fabric, name: str) -> None:
    fabric.hosts[name].frozen = True


def _isolate_dispatcher(fabric: Fabric, name: str) -> None:
    fabric.isolate(name)


def _kill_dispatcher(fabric: Fabric, name: str) -> None:
    fabric.kill(name)


def _kill_with_another_frozen(fabric: Fabric, name: str) -> None:
    other = next(entry for entry in NAMES if entry != name)
    fabric.hosts[other].frozen = True
    fabric.run(2.0)
    fabric.kill(name)
    fabric.start(name)


def _isolate_and_restart_others(fabric: Fabric, name: str) -> None:
    """Those who heard of the isolated host's calls forget them."""
    fabric.isolate(name)
    for other in NAMES:
        if other != name:
            fabric.kill(other)
            fabric.start(other)


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
def test_limits_hold_when_a_dispatcher_is_lost(
    fail: Callable[[Fabric, str], None],
) -> None:
    fabric = _busy_fabric()
    fail(fabric, fabric.dispatcher())
    for _ in range(40):
        _ask_on_all(fabric)
        fabric.run(0.2)
        _assert_limits(fabric)
    fabric.cut.clear()
    for host in fabric.hosts.values():
        host.frozen = False
    for _ in range(10):
        _ask_on_all(fabric)
        fabric.run(0.2)
        _assert_limits(fabric)


def _idle_fabric(limit: int) -> Fabric:
    short = {'max_run_ms': int(LONGEST_RUN_S * 1000)}
    catalogue = small_catalogue(limit, engines=1, coaching=short)
    fabric = Fabric(NAMES, catalogue)
    for name in NAMES:
        fabric.start(name)
    fabric.run(2.0)
    return fabric


def _ask(fabric: Fabric, name: str, count: int) -> None:
    for _ in range(count):
        fabric.hosts[name].ask('drafting', fabric.clock.monotonic())


def _assert_limit(fabric: Fabric, limit: int) -> None:
    assert fabric.in_use().get('engine-0', 0) <= limit


def test_isolated_dispatcher_grants_no_more_than_it_announced() -> None:
    """Its lease still holds when it is cut off, and its successor does not see it."""
    limit = 8
    fabric = _idle_fabric(limit)
    dispatcher = fabric.dispatcher()
    fabric.isolate(dispatcher)
    _ask(fabric, dispatcher, limit)
    fabric.settle()
    others = [name for name in NAMES if name != dispatcher]
    for _ in range(20):
        _ask(fabric, others[0], 1)
        fabric.run(0.2)
        _assert_limit(fabric, limit)
    assert fabric.hosts[others[0]].held, 'the successor grants what is left'


def test_thawed_dispatcher_does_not_grant_by_its_old_lease() -> None:
    """Its successor stopped counting it once its longest call was over."""
    limit = 8
    fabric = _idle_fabric(limit)
    dispatcher = fabric.dispatcher()
    frozen = fabric.hosts[dispatcher]
    _ask(fabric, dispatcher, 1)
    fabric.run(0.5)
    frozen.finish(next(iter(frozen.held)))
    frozen.frozen = True
    fabric.run(LONGEST_RUN_S + HEAL_S)
    _ask(fabric, next(name for name in NAMES if name != dispatcher), limit)
    fabric.run(1.0)
    assert fabric.in_use() == {'engine-0': limit}
    frozen.frozen = False
    _ask(fabric, dispatcher, limit)
    _assert_limit(fabric, limit)
    fabric.run(2.0)
    _assert_limit(fabric, limit)


def test_idle_host_that_freezes_takes_no_capacity_along() -> None:
    """Even a limit of one is granted to others while an idle dispatcher is frozen."""
    fabric = _idle_fabric(1)
    dispatcher = fabric.dispatcher()
    fabric.run(ACTIVE_S)
    fabric.hosts[dispatcher].frozen = True
    fabric.run(2.0)
    _ask(fabric, next(name for name in NAMES if name != dispatcher), 1)
    fabric.run(1.0)
    assert fabric.in_use() == {'engine-0': 1}


@pytest.mark.parametrize('frozen_s', [0.5, 3.0, 70.0])
def test_grant_that_reaches_a_frozen_host_late(frozen_s: float) -> None:
    """A grant sent before its dispatcher died is void, or was counted."""
    limit = 2
    fabric = _idle_fabric(limit)
    dispatcher = fabric.dispatcher()
    asleep, awake = (name for name in NAMES if name != dispatcher)
    _ask(fabric, awake, limit)
    fabric.run(0.2)
    assert fabric.in_use() == {'engine-0': limit}
    _ask(fabric, asleep, limit)
    fabric.settle()
    fabric.hosts[asleep].frozen = True
    for key in list(fabric.hosts[awake].held):
        fabric.hosts[awake].finish(key)
    fabric.settle()
    fabric.kill(dispatcher)
    fabric.start(dispatcher)
    for _ in range(round(frozen_s / 0.5)):
        _ask(fabric, awake, 1)
        fabric.run(0.5)
        _assert_limit(fabric, limit)
    thawed = fabric.hosts[asleep]
    thawed.frozen = False
    thawed.read_from(dispatcher)
    _assert_limit(fabric, limit)
    fabric.run(2.0)
    _assert_limit(fabric, limit)


def test_capacity_returns_after_a_quick_restart() -> None:
    """A host that restarts within one heartbeat holds nothing any more."""
    limit = 2
    fabric = _idle_fabric(limit)
    dispatcher = fabric.dispatcher()
    holder, other = (name for name in NAMES if name != dispatcher)
    _ask(fabric, holder, limit)
    fabric.run(0.5)
    assert len(fabric.hosts[holder].held) == limit
    epoch = fabric.epoch()
    fabric.kill(holder)
    fabric.start(holder)
    fabric.run(1.0)
    assert fabric.epoch() == epoch, 'a host that starts takes nothing over'
    _ask(fabric, other, limit)
    fabric.run(1.0)
    assert len(fabric.hosts[other].held) == limit


class LimitMachine(RuleBasedStateMachine):
    @initialize()
    def start(self) -> None:
        self.fabric = Fabric(NAMES, small_catalogue(LIMIT))
        for name in NAMES:
            self.fabric.start(name)
        self.fabric.run(2.0)

    @rule(name=hosts, request_class=st.sampled_from(CLASSES), count=st.integers(1, 6))
    def ask(self, name: str, request_class: str, count: int) -> None:
        host = self.fabric.hosts.get(name)
        if host is not None and not host.frozen:
            for _ in range(count):
                host.ask(request_class, self.fabric.clock.monotonic())

    @rule(name=hosts, count=st.integers(1, 3))
    def finish(self, name: str, count: int) -> None:
        host = self.fabric.hosts.get(name)
        if host is not None and not host.frozen:
            for key in list(host.held)[:count]:
                host.finish(key)

    @rule(seconds=st.sampled_from([0.05, 0.2, 1.0, 4.0]))
    def run(self, seconds: float) -> None:
        self.fabric.run(seconds)

    @rule(one=hosts, other=hosts)
    def cut(self, one: str, other: str) -> None:
        if one != other:
            self.fabric.cut.add((one, other))

    @rule(name=hosts)
    def isolate(self, name: str) -> None:
        self.fabric.isolate(name)

    @rule()
    def heal(self) -> None:
        self.fabric.cut.clear()

    @rule(name=hosts)
    def freeze(self, name: str) -> None:
        if name in self.fabric.hosts:
            self.fabric.hosts[name].frozen = True

    @rule(name=hosts)
    def thaw(self, name: str) -> None:
        if name in self.fabric.hosts:
            self.fabric.hosts[name].frozen = False

    @precondition(lambda self: len(self.fabric.hosts) > 1)
    @rule(name=hosts)
    def kill(self, name: str) -> None:
        if name in self.fabric.hosts:
            self.fabric.kill(name)

    @rule(name=hosts)
    def restart(self, name: str) -> None:
        if name not in self.fabric.hosts:
            self.fabric.start(name)

    @invariant()
    def limits_hold(self) -> None:
        for upstream, count in self.fabric.in_use().items():
            assert count <= LIMIT, f'{upstream} carries {count} calls'

    def teardown(self) -> None:
        """Once all is well again, capacity that is free is granted."""
        self.fabric.cut.clear()
        for host in self.fabric.hosts.values():
            host.frozen = False
        for name in NAMES:
            self.restart(name)
        self.fabric.run(HEAL_S)
        for host in self.fabric.hosts.values():
            for key in list(host.held):
                host.finish(key)
        self.fabric.run(HEAL_S)
        self.ask('host-1', 'coaching', 1)
        self.fabric.run(1.0)
        self.limits_hold()
        assert self.fabric.in_use(), 'nothing is granted after the failures'


TestLendingLimits = LimitMachine.TestCase
TestLendingLimits.settings = settings(
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
