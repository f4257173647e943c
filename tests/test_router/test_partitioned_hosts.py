"""Tests the service of callers of hosts that are partitioned from all upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from cutpaths import Cut
from partitionload import PartitionLoad

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.standins.scripted import ScriptedExchange

REQUESTS = 40


def answer(exchange: ScriptedExchange) -> None:
    gevent.sleep(0.03)
    exchange.answer(200, b'ok')


@pytest.fixture
def start_load() -> Iterator[Callable[[int], PartitionLoad]]:
    """Return a function that starts hosts with a number of upstreams."""
    loads = []

    def start(upstreams: int) -> PartitionLoad:
        loads.append(PartitionLoad(upstreams, answer))
        return loads[-1]

    yield start
    for load in loads:
        load.fleet.stop()


# Guards against a tunnel for each request that must run at most once, which uses up the
# tunnels of the hosts that relay.
@pytest.mark.parametrize('cut', [Cut.HANG, Cut.REFUSE, Cut.RESET, Cut.NEW_ONLY])
def test_idle_tunnels_carry_requests_that_run_at_most_once(
    start_load: Callable[[int], PartitionLoad], cut: Cut
) -> None:
    load = start_load(2)
    host = load.fleet.hosts[0]
    load.cut(1, cut)
    host.wait(
        lambda: (
            host.call('safe').status == 200 and host.router.paths.dump()['partitioned']
        )
    )
    for _ in range(REQUESTS):
        assert host.call('unsafe').status == 200
    assert host.router.metrics.value('tunnels_opened') <= REQUESTS / 4


# Guards against callers of most hosts, cut off at once, who are refused because the
# last sound host has no tunnel left.
@pytest.mark.parametrize('cut', [Cut.REFUSE, Cut.NEW_ONLY])
def test_most_hosts_are_served_by_the_last_sound_one(
    start_load: Callable[[int], PartitionLoad], cut: Cut
) -> None:
    load = start_load(4)
    load.run(1.0, 0.1, ['unsafe'], 1000)
    load.cut(5, cut)
    load.run(7.0, 0.1, ['unsafe'], 1000)
    at_cut, at_others = load.tries(5)
    assert at_others.share() == 1.0
    assert at_cut.share() >= 0.95, at_cut


# Guards against hosts that refuse to relay in a burst, because their own connects to
# sound upstreams wait in the process until they count as failed.
def test_burst_is_served_at_hosts_that_are_cut_off(
    start_load: Callable[[int], PartitionLoad],
) -> None:
    load = start_load(4)
    load.run(1.5, 0.015, ['unsafe', 'safe'], 1000)
    load.cut(3, Cut.HANG)
    load.run(7.0, 0.015, ['unsafe', 'safe'], 1000)
    at_cut, at_others = load.tries(3)
    assert at_others.share() >= 0.9, at_others
    assert at_cut.share() >= at_others.share() * 2 / 3, (at_cut, at_others)
