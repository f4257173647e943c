"""Tests how many calls to the store a fleet makes when it starts and when it idles."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from routers import RunningFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

HOSTS = 30
READERS = 2
IDLE_S = 4.0


@pytest.fixture(scope='module')
def fleet() -> Iterator[RunningFleet]:
    """Yield a fleet that has started and settled."""
    running = RunningFleet(HOSTS)
    gevent.sleep(1.5)
    yield running
    running.stop()


def test_hosts_that_start_together_read_the_store_a_few_times(
    fleet: RunningFleet,
) -> None:
    """Each host reads once, registers and collects the other registrations."""
    calls = fleet.store.calls
    assert calls['read'] == HOSTS
    assert calls['write'] == HOSTS
    assert calls['watch'] <= 2 * HOSTS
    assert calls['lease'] <= HOSTS + 40 * READERS  # the readers' probes


def test_only_readers_call_the_store_of_an_idle_fleet(fleet: RunningFleet) -> None:
    before = fleet.store.calls.copy()
    gevent.sleep(IDLE_S)
    calls = fleet.store.calls - before
    assert calls['read'] == calls['write'] == 0
    assert calls['watch'] <= READERS * (IDLE_S / 2 + 2)


def test_changes_in_quick_succession_are_read_together(fleet: RunningFleet) -> None:
    before = fleet.store.calls['watch']
    for number in range(40):
        fleet.store.put(f'rosemaryseam/other/{number}', b'')
        gevent.sleep(0.01)
    last = fleet.store.revision
    for host in fleet.hosts:
        host.wait(lambda host=host: host.router.mirror.position.revision >= last)
    assert fleet.store.calls['watch'] - before <= READERS * 8
