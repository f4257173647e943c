"""An owner's limit holds whatever fails: a state machine over whole hosts.

The naive twin of the dispatcher's counts is the sum of what every gateway holds:
no history of requests, cuts, freezes, kills and restarts may make that sum pass
the limit of an upstream.
"""

from __future__ import annotations

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

LIMIT = 2
NAMES = ('host-1', 'host-2', 'host-3')
CLASSES = ('coaching', 'drafting', 'listing')
HEAL_S = 6.0  # silence, lease, grant life and two heartbeats, with room

hosts = st.sampled_from(NAMES)


class LimitMachine(RuleBasedStateMachine):
    @initialize()
    def start(self) -> None:
        self.fabric = Fabric(NAMES, small_catalogue(LIMIT))
        for name in NAMES:
            self.fabric.start(name)
        self.fabric.run(2.0)

    @rule(name=hosts, request_class=st.sampled_from(CLASSES))
    def ask(self, name: str, request_class: str) -> None:
        host = self.fabric.hosts.get(name)
        if host is not None and not host.frozen:
            host.ask(request_class, self.fabric.clock.monotonic())

    @rule(name=hosts)
    def ask_often(self, name: str) -> None:
        for _ in range(4):
            self.ask(name, 'drafting')

    @rule(name=hosts)
    def finish_oldest(self, name: str) -> None:
        host = self.fabric.hosts.get(name)
        if host is not None and not host.frozen and host.held:
            host.finish(next(iter(host.held)))

    @rule(seconds=st.sampled_from([0.05, 0.2, 1.0, 3.0]))
    def run(self, seconds: float) -> None:
        self.fabric.run(seconds)

    @rule(one=hosts, other=hosts)
    def cut(self, one: str, other: str) -> None:
        if one != other:
            self.fabric.cut.add((one, other))

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
        self.ask('host-1', 'coaching')
        self.fabric.run(1.0)
        self.limits_hold()
        assert self.fabric.in_use(), 'nothing is granted after the failures'


TestLendingLimits = LimitMachine.TestCase
TestLendingLimits.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
