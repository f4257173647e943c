"""Tests of upstream orders over running hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from dutyfleet import LedgerPort
from routers import RunningFleet, configuration

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.router.documentcodec import CONFIGURATION_KEY
from rosemaryseam.router.settings import DutySettings
from rosemaryseam.standins.dutyapi import DutyLedger
from rosemaryseam.standins.rangestore import MemoryRangeStore

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemaryseam.standins.scripted import ScriptedExchange

DUTIES = DutySettings(Address('127.0.0.1', 1), ('autoscale',), 10.0, 0.9, 5.0, 10.0)
SCALING = {
    'minimum': 2,
    'maximum': 8,
    'boot_s': 4.0,
    'spot_price': 0.15,
    'zone_prices': {'a': 1.0, 'b': 0.8},
}


class ScaledFleet(RunningFleet):
    """Hosts with the duty to order upstreams, whose API is a ledger in this process."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.ledger = DutyLedger(self.clock, 10, DUTIES.lease_s)
        store = MemoryRangeStore(self.clock)
        services = [{'name': 'work', 'scaling': SCALING}]
        store.put(CONFIGURATION_KEY, configuration(services=services))
        super().__init__(3, store=store)

    def make_host(self, number: int, **changes: object):  # noqa: ANN201
        """Return a host with the duty."""
        port = LedgerPort(self.ledger, f'host-{number}', self.clock)
        return super().make_host(number, duties=DUTIES, duty_port=port, **changes)

    def holder(self) -> int | None:
        """Return the number of the host that holds the duty."""
        for number, host in enumerate(self.hosts):
            if host.router.dump()['duties']['autoscale']['fence'] is not None:
                return number
        return None


@pytest.fixture
def fleet() -> Iterator[ScaledFleet]:
    """Three hosts whose service has upstreams ordered."""
    running = ScaledFleet()
    yield running
    running.stop()


def answer(exchange: ScriptedExchange) -> None:
    exchange.answer(200, b'done')


# Guards against demand that does not reach the holder, against hosts that order without
# the duty, and against a new holder that orders nothing or repeats a fence.
@pytest.mark.parametrize('stops', ['none', 'crashes', 'stops'])
def test_holder_orders_for_the_demand_of_all_hosts(
    fleet: ScaledFleet, stops: str
) -> None:
    fleet.add('one', answer)
    first = fleet.hosts[0]
    first.wait(lambda: fleet.holder() is not None, 6.0)
    if stops != 'none':
        holder = fleet.hosts.pop(fleet.holder())
        if stops == 'crashes':
            holder.router.kill()
        else:
            holder.router.request_stop()
            gevent.spawn(holder.router.wait)
        first = fleet.hosts[0]
        first.wait(lambda: fleet.holder() is not None, 6.0)
        fleet.ledger.orders.clear()
    router = fleet.hosts[fleet.holder()].router

    def is_known() -> bool:
        for host in fleet.hosts:
            assert host.call('safe').status == 200
        demand = router.autoscaler.table.demand('work')
        hosts = router.autoscaler.table.host_count()
        return hosts >= len(fleet.hosts) and bool(demand) and demand[0].requests > 0

    first.wait(is_known, 8.0)
    first.wait(lambda: {'work/a', 'work/b'} <= fleet.ledger.orders.keys(), 8.0)
    assert fleet.ledger.orders['work/b']['desired'] >= 1
    assert fleet.ledger.violations == []
    assert router.dump()['upstream_orders']['work']['in_force']
