"""What a host believes of its peers."""

from __future__ import annotations

import pytest
from fabric import STEP_S, Fabric, small_catalogue

NAMES = ('host-1', 'host-2', 'host-3')
MEETING_S = 3.0


@pytest.fixture
def fabric() -> Fabric:
    """Three hosts that have met."""
    hosts = Fabric(NAMES, small_catalogue(4))
    for name in NAMES:
        hosts.start(name)
    hosts.run(MEETING_S)
    return hosts


def test_silent_connections_are_replaced_before_a_majority_is_lost(
    fabric: Fabric,
) -> None:
    fabric.silence_connections()
    for _ in range(round(4.0 / STEP_S)):
        fabric.run(STEP_S)
        for host in fabric.hosts.values():
            assert host.member.dump()['majority'], host.name
    assert not fabric.silent


def test_a_silent_host_is_unreachable_by_its_deadline(fabric: Fabric) -> None:
    fabric.isolate('host-3')
    fabric.run(fabric.timing.silence_s + 2 * fabric.timing.heartbeat_s)
    peers = fabric.hosts['host-1'].member.view().peers
    reachable = {peer.host: peer.reachable for peer in peers}
    assert reachable == {'host-1': True, 'host-2': True, 'host-3': False}
