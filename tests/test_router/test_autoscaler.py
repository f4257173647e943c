"""Tests of the orders that the holder of the duty sends."""

from __future__ import annotations

import random
from typing import Any

import pytest
from demandmessages import message
from upstreamcloud import Cloud

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.policy.dutylease import Permission
from rosemaryseam.policy.upstreamorders import Line
from rosemaryseam.router.autoscaler import (
    CALL_SHARE,
    REFUSED_PAUSE_S,
    Autoscaler,
)
from rosemaryseam.router.demandcounts import KIND
from rosemaryseam.router.dutyport import DutyPort, DutyResult
from rosemaryseam.router.routes import (
    CallerLimits,
    EngineProfile,
    RoutingTable,
    ScalingLimits,
    Service,
)
from rosemaryseam.router.upstreams import Registration, Registry, Upstream

ENGINE = 54_000 * 0.65  # prompt tokens per second that fill an engine
SCALING = ScalingLimits(1, 28, 4.0, 0.15, {'a': 1.0, 'b': 0.8, 'c': 1.0, 'd': 0.9})
SERVICE = Service('work', '/health', 0, EngineProfile(64, 300_000, 5, True), SCALING)
FIXED = Service('fixed', '/health', 0, None)
CALLS_PER_S = 10.0


class Duty:
    """The ownership of the duty, which the test moves."""

    def __init__(self, holder: str | None = '10.0.0.1') -> None:
        self.address = holder
        self.fence: int | None = 7

    def permission(self) -> Permission | None:
        """Return the permission, if this host is the holder."""
        return None if self.fence is None else Permission(self.fence, 1e9)

    def holder(self) -> str | None:
        """Return the address of the holder."""
        return self.address

    def candidates(self) -> list[str]:
        """Return the hosts in the order in which they claim the duty."""
        return ['10.0.0.2', '10.0.0.1', '10.0.0.3']


class Feed:
    """The configuration and its age."""

    def __init__(self) -> None:
        self.age_s = 0.0
        self.services = [SERVICE, FIXED]

    @property
    def table(self) -> RoutingTable:
        """The routing table with the services."""
        return RoutingTable(1, [], self.services, None, CallerLimits())

    def staleness_s(self) -> float:
        """Return the age."""
        return self.age_s


class Link:
    """Keeps the messages to other hosts."""

    def __init__(self) -> None:
        self.messages: list[tuple[str, str, Any]] = []
        self.hosts: dict[str, float] = {'10.0.0.9': 1.0}

    def known_hosts(self) -> dict[str, float]:
        """Return the other hosts."""
        return self.hosts

    def send_message(self, host: str, kind: str, body: Any) -> None:
        """Record a message."""
        self.messages.append((host, kind, body))


class CloudPort(DutyPort):
    """Passes orders to a platform of the test's process, or refuses them."""

    def __init__(self, cloud: Cloud) -> None:
        self.cloud = cloud
        self.results: list[DutyResult] = []  # of the next calls
        self.calls: list[tuple[Line, int, int, DutyResult]] = []
        self.called_at: list[float] = []

    def report_usage(self, window: int, counts: Any, permission: Permission) -> Any:
        """Refuse, as there is no usage in these tests."""
        raise AssertionError

    def order_upstreams(
        self, service: str, zone: str, count: int, spot: bool, permission: Permission
    ) -> DutyResult:
        """Carry out an order."""
        assert service == 'work'
        line = Line(zone, spot)
        result = self.results.pop(0) if self.results else None
        if result is None:
            accepted = self.cloud.order(line, count)
            result = DutyResult.ACCEPTED if accepted else DutyResult.NONE_AVAILABLE
        self.calls.append((line, count, permission.fence, result))
        self.called_at.append(self.cloud.now)
        return result


class Holder:
    """A host that holds the duty, its platform and a clock that the test moves."""

    def __init__(self, initial: int = 14, calls_per_s: float = CALLS_PER_S) -> None:
        self.clock = ManualClock()
        self.cloud = Cloud(initial)
        self.port = CloudPort(self.cloud)
        self.duty = Duty()
        self.link = Link()
        self.registry = Registry()
        self.metrics = Metrics()
        self.feed = Feed()
        self.demand = 32.0
        self.autoscaler = Autoscaler(
            '10.0.0.1',
            self.registry,
            self.feed,
            self.clock,
            self.metrics,
            random.Random(1),
        )
        self.autoscaler.connect(self.link, self.duty, self.port, calls_per_s)
        self.number = 0
        self.register()

    def register(self) -> None:
        """Write the platform's upstreams to the registry."""
        entries = {}
        for line, count in self.cloud.registered().items():
            for number in range(count):
                name = f'{line.zone}-{line.spot}-{number}'
                upstream = Upstream(
                    name,
                    1,
                    'work',
                    Address('10.1.0.1', 1),
                    line.zone,
                    64,
                    '',
                    line.spot,
                )
                entries[name] = Registration(upstream, leaving=False)
        self.registry.replace(entries, self.clock.monotonic(), after_outage=False)

    def run(self, seconds: float) -> None:
        """Let time pass in steps of the loop."""
        for _ in range(int(seconds * 2)):
            self.clock.advance(0.5)
            self.cloud.advance(0.5)
            self.register()
            self.number += 1
            body = message(self.number, self.demand * ENGINE)
            self.autoscaler.table.receive('10.0.0.9', body)
            self.autoscaler.decide()


# Guards against a loop that replaces no ordinary upstreams, or sends unchanged orders.
def test_holder_replaces_ordinary_upstreams() -> None:
    holder = Holder()
    holder.run(40.0)
    calls = len(holder.port.calls)
    counts = {line: count for line, count, _, _ in holder.port.calls}
    ordinary = sum(count for line, count in counts.items() if not line.spot)
    assert 16 <= ordinary <= 32
    assert holder.cloud.serving() >= 32
    holder.run(20.0)
    assert len(holder.port.calls) - calls <= 2
    dump = holder.autoscaler.dump()['work']
    assert dump['in_force']['a spot'] == counts[Line('a', True)]
    assert holder.metrics.value('upstream_seconds', service='work', kind='spot') > 100
    accepted = {'kind': 'spot', 'result': 'accepted'}
    assert holder.metrics.value('upstream_orders', **accepted) >= 4


# Guards against calls beyond what the platform accepts from all hosts together.
def test_calls_stay_within_their_rate() -> None:
    calls_per_s = 4.0
    holder = Holder(calls_per_s=calls_per_s)
    holder.cloud.dry = {'a', 'b', 'c', 'd'}
    holder.demand = 100.0
    calls = 0
    for _ in range(20):
        before = len(holder.port.calls)
        holder.run(1.0)
        calls = len(holder.port.calls)
        assert calls - before <= calls_per_s
    assert 10 <= calls <= 20 * calls_per_s * CALL_SHARE + 2


REFUSALS = [
    ('refused', [DutyResult.REFUSED]),
    ('several times', [DutyResult.REFUSED] * 3),
    ('unknown', [DutyResult.UNKNOWN]),
    ('second', [DutyResult.ACCEPTED, DutyResult.REFUSED]),
]


# Guards against orders that are lost, or overtaken by later ones, after a refusal.
@pytest.mark.parametrize(
    ('name', 'results'), REFUSALS, ids=[row[0] for row in REFUSALS]
)
def test_refused_orders_are_sent_again_in_order(
    name: str, results: list[DutyResult]
) -> None:
    holder = Holder()
    holder.port.results = list(results)
    holder.run(8.0)
    refused = [
        index
        for index, (*_, result) in enumerate(holder.port.calls)
        if result in (DutyResult.REFUSED, DutyResult.UNKNOWN)
    ]
    assert refused
    for index in refused:
        line, count, _, _ = holder.port.calls[index]
        assert holder.port.calls[index + 1][0] == line
        assert holder.port.calls[index + 1][1] >= count
        pause_s = holder.port.called_at[index + 1] - holder.port.called_at[index]
        assert pause_s >= REFUSED_PAUSE_S


# Guards against counting on upstreams that a reduction may have ended.
def test_reduction_with_unknown_outcome_counts_as_made() -> None:
    holder = Holder()
    while not any(not line.spot for line, *_ in holder.port.calls):
        holder.port.results = [DutyResult.UNKNOWN] if holder.cloud.now > 11 else []
        holder.run(0.5)
    line, count, _, result = holder.port.calls[-1]
    assert (line.spot, result) == (False, DutyResult.UNKNOWN)
    in_force = holder.autoscaler.dump()['work']['in_force']
    assert in_force[f'{line.zone} ordinary'] == count < 14


# Guards against calls without permission, on old registrations or without upstreams.
@pytest.mark.parametrize('obstacle', ['permission', 'staleness', 'scaling'])
def test_nothing_is_ordered_without_its_grounds(obstacle: str) -> None:
    holder = Holder()
    if obstacle == 'permission':
        holder.duty.fence = None
    elif obstacle == 'staleness':
        holder.feed.age_s = 10.0
    elif obstacle == 'scaling':
        holder.feed.services = [SERVICE._replace(scaling=None)]
    holder.run(20.0)
    assert holder.port.calls == []


# Guards against a service that has lost all upstreams and gets none again, and against
# orders before those that start are known.
def test_service_without_upstreams_gets_them_after_a_while() -> None:
    holder = Holder(0)
    holder.run(SCALING.boot_s)
    assert holder.port.calls == []
    holder.run(2.0)
    assert sum(count for _, count, _, _ in holder.port.calls) >= 32


# Guards against a holder that is partitioned from the other hosts, and reduces the
# upstreams as if nobody needed them.
@pytest.mark.parametrize(('known', 'reduces'), [(1, True), (9, False)])
def test_nothing_is_reduced_while_most_hosts_are_silent(
    known: int, reduces: bool
) -> None:
    holder = Holder()
    holder.link.hosts = {f'10.0.1.{number}': 1.0 for number in range(known)}
    holder.demand = 1.0
    holder.run(40.0)
    ordinary = sum(not one.line.spot for one in holder.cloud.machines)
    assert (ordinary < 56) is reduces


# Guards against an order of a host that lost the duty while it sent others.
def test_permission_is_checked_before_each_call() -> None:
    holder = Holder()
    order = holder.port.order_upstreams

    def lose(*args: Any) -> DutyResult:
        holder.duty.fence = None
        return order(*args)

    holder.port.order_upstreams = lose
    holder.run(5.0)
    assert len(holder.port.calls) == 1


# Guards against a holder that goes on from its own old orders after another one acted.
@pytest.mark.parametrize(
    ('fence', 'gap_s', 'age_s'), [(9, 0.0, 0.0), (9, 5.0, 0.0), (7, 5.0, 10.0)]
)
def test_orders_in_force_are_adopted_anew(
    fence: int, gap_s: float, age_s: float
) -> None:
    holder = Holder()
    holder.run(30.0)
    for line, count in (('a', 20), ('b', 3)):
        holder.cloud.order(Line(line, False), count)
    holder.duty.fence = None if fence == 9 else fence
    holder.feed.age_s = age_s  # a host that cannot read the store acts on nothing
    holder.run(gap_s)
    calls = len(holder.port.calls)
    holder.duty.fence, holder.feed.age_s = fence, 0.0
    holder.run(5.0)  # those that another holder ordered start
    in_force = holder.autoscaler.dump()['work']['in_force']
    new = {line: count for line, count, _, _ in holder.port.calls[calls:]}
    assert in_force['a ordinary'] == new.get(Line('a', False), 20)
    assert {used for _, _, used, _ in holder.port.calls[calls:]} == {fence}


# Guards against demand that only a holder which may crash knows.
@pytest.mark.parametrize(
    ('holder', 'receivers'),
    [
        (None, {'10.0.0.2'}),
        ('10.0.0.3', {'10.0.0.2', '10.0.0.3'}),
        ('10.0.0.2', {'10.0.0.2'}),
        ('10.0.0.1', {'10.0.0.2'}),
    ],
)
def test_demand_goes_to_holder_and_first_candidate(
    holder: str | None, receivers: set[str]
) -> None:
    host = Holder()
    host.duty.address = holder
    host.autoscaler.report()
    host.autoscaler.report()  # not due again yet
    assert {to for to, _, _ in host.link.messages} == receivers
    assert {kind for _, kind, _ in host.link.messages} == {KIND}
    assert len(host.link.messages) == len(receivers)
    assert host.autoscaler.table.host_count() == (holder == '10.0.0.1')
