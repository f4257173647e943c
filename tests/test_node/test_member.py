"""Tests the membership view of a host, with simulated hosts."""

from __future__ import annotations

import pytest
from simulatedfleet import STEP_S, SimulatedFleet, small_catalogue

NAMES = ('host-1', 'host-2', 'host-3')
DISCOVERY_S = 3.0


@pytest.fixture
def fleet() -> SimulatedFleet:
    """Three hosts that have discovered each other."""
    hosts = SimulatedFleet(NAMES, small_catalogue(4))
    for name in NAMES:
        hosts.start(name)
    hosts.run(DISCOVERY_S)
    return hosts


def test_silent_connections_are_replaced_before_a_majority_is_lost(
    fleet: SimulatedFleet,
) -> None:
    fleet.silence_connections()
    for _ in range(round(4.0 / STEP_S)):
        fleet.run(STEP_S)
        for host in fleet.hosts.values():
            assert host.member.dump()['majority'], host.name
    assert not fleet.silent_connections


def test_silent_host_becomes_unreachable_within_the_silence_limit(
    fleet: SimulatedFleet,
) -> None:
    fleet.isolate('host-3')
    fleet.run(fleet.timing.silence_s + 2 * fleet.timing.heartbeat_s)
    peers = fleet.hosts['host-1'].member.view().peers
    reachable = {peer.host: peer.reachable for peer in peers}
    assert reachable == {'host-1': True, 'host-2': True, 'host-3': False}
