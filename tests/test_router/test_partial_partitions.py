"""Tests hosts that are cut off from one service each and relay for one another."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import gevent
import pytest
from cutpaths import Cut, PathSwitch
from routers import ROUTES, RunningFleet, configuration

from rosemaryseam.common.clock import SystemClock
from rosemaryseam.router.documentcodec import CONFIGURATION_KEY, UPSTREAM_PREFIX
from rosemaryseam.standins.rangestore import MemoryRangeStore

if TYPE_CHECKING:
    from collections.abc import Iterator

    from routers import RunningRouter

SETTLING_S = 3.0  # from the beginning of a cut, until callers are served again
CALLS = 12
SERVICES = {'safe': 'work', 'other': 'side'}  # by route
UPSTREAMS = {'one': 'work', 'two': 'work', 'three': 'side', 'four': 'side'}


class Partition(NamedTuple):
    """The numbers of the hosts that are cut off from each service."""

    name: str
    hosts: int
    work: set[int]
    side: set[int]


PARTITIONS = [
    Partition('each relays for the other', 2, {0}, {1}),
    Partition('one reaches both', 4, {0, 1, 2}, {0, 1, 2}),
    Partition('one reaches each', 4, {0, 1, 2}, {1, 2, 3}),
    Partition('one reaches the first', 5, {0, 1, 2, 3}, set()),
]


@pytest.fixture
def store() -> MemoryRangeStore:
    """Return a store with a route for each of two services."""
    store = MemoryRangeStore(SystemClock())
    routes = [
        {'name': name, 'host': 'h.example', 'prefix': f'/{name}/', **ROUTES['safe']}
        | {'services': [{'service': service}]}
        for name, service in SERVICES.items()
    ]
    services = [{'name': name} for name in SERVICES.values()]
    document = configuration(routes=routes, services=services)
    store.put(CONFIGURATION_KEY, document)
    return store


@pytest.fixture
def fleets(store: MemoryRangeStore) -> Iterator[list[RunningFleet]]:
    """Yield a list of fleets, which are stopped at the end."""
    started: list[RunningFleet] = []
    yield started
    for fleet in started:
        fleet.stop()


def start(hosts: int, store: MemoryRangeStore) -> RunningFleet:
    """Start hosts and two upstreams of each service."""
    fleet = RunningFleet(hosts, store=store)
    for name, service in UPSTREAMS.items():
        upstream = fleet.add(name, lambda exchange: exchange.answer(200, b'ok'))
        store.put(UPSTREAM_PREFIX + name, upstream.registry_entry(service))
    first = fleet.hosts[0]
    for host in fleet.hosts:
        registry = host.router.registry
        first.wait(lambda registry=registry: len(registry.usable('side')) == 2)
    return fleet


def cut_off(fleet: RunningFleet, partition: Partition, cut: Cut) -> None:
    """Cut the hosts off from upstreams of the services."""
    ports = {
        service: {
            upstream.address.port
            for name, upstream in fleet.hosts[0].upstreams.items()
            if UPSTREAMS[name] == service
        }
        for service in SERVICES.values()
    }
    for number, host in enumerate(fleet.hosts):
        concerned: set[int] = set()
        if number in partition.work:
            concerned |= ports['work']
        if number in partition.side:
            concerned |= ports['side']
        PathSwitch(host, concerned).cut = cut


def served(host: RunningRouter, route: str) -> float:
    """Return the share of first tries at a host that are served."""
    calls = [gevent.spawn(host.call, route) for _ in range(CALLS)]
    return sum(call.get().status == 200 for call in calls) / CALLS


# Guards against callers that are served far worse at hosts that are cut off from a
# service, as hosts that reach it do not relay, or are not found (RECOVER, issue 51).
@pytest.mark.parametrize('cut', [Cut.HANG, Cut.REFUSE, Cut.NEW_ONLY])
@pytest.mark.parametrize('partition', PARTITIONS, ids=lambda one: one.name)
def test_hosts_that_reach_a_service_relay_to_it(
    fleets: list[RunningFleet],
    store: MemoryRangeStore,
    partition: Partition,
    cut: Cut,
) -> None:
    fleet = start(partition.hosts, store)
    fleets.append(fleet)
    cut_off(fleet, partition, cut)
    ends_at = fleet.hosts[0].clock.monotonic() + SETTLING_S
    while fleet.hosts[0].clock.monotonic() < ends_at:
        for host in fleet.hosts:
            for route in SERVICES:
                gevent.spawn(host.call, route)
        gevent.sleep(0.25)
    gevent.sleep(0.5)
    for route, service in SERVICES.items():
        numbers = partition.work if service == 'work' else partition.side
        shares = [served(host, route) for host in fleet.hosts]
        others = [share for i, share in enumerate(shares) if i not in numbers]
        for number in numbers:
            assert shares[number] >= 2 / 3 * min(others), (route, shares)
