"""Tests how many calls to the store a fleet makes while it idles."""

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


def test_only_readers_call_the_store_of_an_idle_fleet(fleet: RunningFleet) -> None:
    before = fleet.store.calls.copy()
    gevent.sleep(IDLE_S)
    calls = fleet.store.calls - before
    assert calls['read'] == calls['write'] == 0
    assert calls['watch'] <= READERS * (IDLE_S / 2 + 2)
