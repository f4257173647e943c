"""Tests that a host notices its partition although its requests have little time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from cutpaths import Cut, PathSwitch
from routers import RunningFleet

if TYPE_CHECKING:
    from rosemaryseam.standins.scripted import ScriptedExchange

PATIENCE_MS = 150
ROUNDS = 12


# Guards against requests that are all lost on idle connections that hang, as they end
# too soon after their answers were expected.
@pytest.mark.parametrize('answer_s', [0.06, 0.1])
def test_requests_that_end_soon_after_the_expected_time_show_a_silence(
    answer_s: float,
) -> None:
    def answer(exchange: ScriptedExchange) -> None:
        gevent.sleep(answer_s)
        exchange.answer(200, b'ok')

    fleet = RunningFleet(3)
    try:
        for name in ('one', 'two'):
            fleet.add(name, answer)
        host = fleet.hosts[0]
        switch = PathSwitch(host)
        sent = [gevent.spawn(host.call, 'unsafe') for _ in range(40)]
        assert {one.get().status for one in sent} == {200}
        switch.cut = Cut.HANG
        for _ in range(ROUNDS):
            calls = [
                gevent.spawn(host.call, 'unsafe', patience_ms=PATIENCE_MS)
                for _ in range(2)
            ]
            gevent.joinall(calls)
        assert host.router.paths.dump()['partitioned']
        assert host.call('unsafe').status == 200
    finally:
        fleet.stop()
