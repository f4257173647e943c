"""Tests of the demand that hosts count and report."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from demandmessages import message
from routers import RunningRouter, configuration

from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.errors import UnreadableError
from rosemaryseam.router.demandcounts import (
    HOST_TIMEOUT_S,
    MIN_INTERVAL_S,
    DemandTable,
)
from rosemaryseam.router.documentcodec import CONFIGURATION_KEY
from rosemaryseam.router.routes import ScalingLimits

if TYPE_CHECKING:
    from rosemaryseam.standins.scripted import ScriptedExchange

SCALING = ScalingLimits(1, 28, 4.0, 0.15, {'a': 1.0})


# Guards against demand counted twice, from overtaken datagrams, or of hosts that died.
def test_latest_demand_of_each_live_host_counts() -> None:
    clock = ManualClock()
    table = DemandTable(clock)

    def prefill() -> float:
        return sum(one.prefill_tokens for one in table.demand('work').values())

    table.receive('a', message(2, 100.0))
    table.receive('a', message(2, 100.0))
    table.receive('a', message(1, 900.0))
    table.receive('b', message(1, 50.0))
    assert prefill() == pytest.approx(150.0)
    table.receive('a', message(1, 30.0, incarnation=2))
    assert prefill() == pytest.approx(80.0)
    clock.advance(HOST_TIMEOUT_S - 1)
    table.receive('b', message(2, 50.0))
    clock.advance(1.5)
    assert prefill() == pytest.approx(50.0)
    assert table.host_count() == 1


INVALID = [
    {},
    [],
    {**message(1, 1.0), 'services': []},
    {**message(1, 1.0), 'services': {'work': [[0, 1.0]]}},
    {**message(1, 1.0), 'services': {'work': [[0, 1.0, -5.0, 0.0, 0.0]]}},
    {**message(1, 1.0), 'services': {'work': [[0, 1.0, float('inf'), 0.0, 0.0]]}},
]


# Guards against a damaged message that orders every upstream there is.
@pytest.mark.parametrize('body', INVALID)
def test_invalid_message_is_rejected(body: Any) -> None:
    table = DemandTable(ManualClock())
    with pytest.raises(UnreadableError):
        table.receive('a', body)
    assert table.host_count() == 0


# Guards against requests that are not counted, above all those that are refused: a
# service without upstreams would have no demand.
@pytest.mark.parametrize('refused', [False, True])
def test_requests_are_counted_once(router: RunningRouter, refused: bool) -> None:
    scaling = dict(zip(ScalingLimits._fields, SCALING, strict=True))
    service = {'name': 'work', 'scaling': scaling}
    router.store.put(CONFIGURATION_KEY, configuration(2, services=[service]))
    router.wait(lambda: router.router.feed.table.version == 2)

    def script(exchange: ScriptedExchange) -> None:
        exchange.answer(500, b'failed')

    if not refused:
        router.add('one', script)
        router.add('two', script)
    router.router.autoscaler.counts.take()
    began_at = router.clock.monotonic()
    router.call('safe')  # fails at both upstreams
    elapsed_s = router.clock.monotonic() - began_at
    rates = router.router.autoscaler.counts.take()['work']
    assert [rank for rank, *_ in rates] == [0]
    requests, _, _, refusals = rates[0][1:]
    assert round(requests * max(MIN_INTERVAL_S, elapsed_s)) == 1
    assert refusals == (requests if refused else 0)
