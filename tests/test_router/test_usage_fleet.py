"""Tests of usage reports over running hosts."""

from __future__ import annotations

import json
import time
from collections import Counter
from typing import TYPE_CHECKING

import gevent
import pytest
from dutyfleet import LedgerPort
from oddvalues import BYTES, OddValue
from routers import RunningFleet, RunningRouter

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.router.dutyholder import DUTIES_PREFIX
from rosemaryseam.router.settings import DutySettings
from rosemaryseam.router.usagereporter import USAGE_KEY
from rosemaryseam.standins.dutyapi import DutyLedger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.standins.scripted import ScriptedExchange

WINDOW_S = 1.0
DUTIES = DutySettings(Address('127.0.0.1', 1), ('usage',), 10.0, 0.9, WINDOW_S, 10.0)


class UsageFleet(RunningFleet):
    """Hosts with the usage duty, whose API is a ledger in this process."""

    def __init__(self, count: int) -> None:
        self.clock = SystemClock()
        self.ledger = DutyLedger(self.clock, 10, DUTIES.lease_s)
        super().__init__(count)

    def make_host(self, number: int, **changes: object):  # noqa: ANN201
        """Return a host with the duty."""
        port = LedgerPort(self.ledger, f'host-{number}', self.clock)
        return super().make_host(number, duties=DUTIES, duty_port=port, **changes)

    def holder(self) -> int | None:
        """Return the number of the host that holds the duty."""
        held = [
            number
            for number, host in enumerate(self.hosts)
            if host.router.dump()['duties']['usage']['fence'] is not None
        ]
        return held[0] if held else None


@pytest.fixture
def fleet() -> Iterator[UsageFleet]:
    """Three hosts with an upstream."""
    running = UsageFleet(3)
    yield running
    running.stop()


def stream(exchange: ScriptedExchange) -> None:
    exchange.start_stream()
    exchange.event(1)
    exchange.end_stream()


def fail_twice() -> Callable[[ScriptedExchange], None]:
    exchanges = []

    def script(exchange: ScriptedExchange) -> None:
        exchanges.append(exchange)
        exchange.reset() if len(exchanges) < 3 else answer(exchange)

    return script


COUNTED = [
    ('safe', lambda: answer, 1),
    ('stream', lambda: stream, 1),
    ('unsafe', lambda: lambda exchange: exchange.reset(), 1),
    ('safe', fail_twice, 1),
    ('unsafe', lambda: lambda exchange: exchange.decline(), 0),
    ('public', lambda: answer, 0),
]


@pytest.mark.parametrize(('route', 'build', 'expected'), COUNTED)
def test_requests_that_upstreams_began_are_counted_once(
    route: str, build: Callable[[], Callable], expected: int
) -> None:
    """Retries must not be charged again, and declined requests not at all."""
    ledger = DutyLedger(SystemClock(), 10, DUTIES.lease_s)
    port = LedgerPort(ledger, 'host-1', SystemClock())
    router = RunningRouter(duties=DUTIES, duty_port=port)
    router.start()
    try:
        script = build()
        router.add('one', script)
        router.add('two', script)
        router.call(route)
        counts = router.router.duties.counter
        counts.time.confirmed = True
        counted = [sum(entry.values()) for entry in counts.own.windows().values()]
        assert sum(counted) == expected
    finally:
        router.stop()


def test_a_record_of_usage_ends_no_watch(fleet: UsageFleet) -> None:
    """It is written for each window, and no host waits for it."""
    mirror = fleet.hosts[0].router.mirror
    gevent.sleep(0.2)
    start = mirror.position
    fleet.store.put(USAGE_KEY, b'{}')
    began = time.monotonic()
    assert [item.key for item in mirror.wait(start, 0.3).items] == [USAGE_KEY]
    assert time.monotonic() - began > 0.25


def answer(exchange: ScriptedExchange) -> None:
    exchange.answer(200, b'done')


def far_record(last: int, window: int) -> bytes:
    """Return a record with a last window and the counts of another one."""
    unreported = {str(window): {'north': 1}}
    return json.dumps({'era': 0, 'last': last, 'unreported': unreported}).encode()


FAR_RECORDS = [
    OddValue('record of a far last window', far_record(10**14, 1)),
    OddValue('record with counts of a far window', far_record(1, 10**14)),
    OddValue('record before the first window', far_record(-(10**14), 1)),
]


# Guards against usage that is not reported any more, or not shown to be in doubt, as
# another writer left a value under a key of the duty (issue 42).
@pytest.mark.parametrize(
    ('key', 'odd'),
    [
        *[(DUTIES_PREFIX + 'usage', odd) for odd in BYTES[::5]],
        *[(USAGE_KEY, odd) for odd in [*BYTES[::5], *FAR_RECORDS]],
    ],
    ids=lambda part: getattr(part, 'name', part),
)
def test_an_odd_value_under_a_key_of_the_duty_costs_no_report(
    key: str, odd: OddValue, fleet: UsageFleet
) -> None:
    fleet.store.put(key, odd.value)
    fleet.add('one', answer)
    metrics = [host.router.metrics for host in fleet.hosts]
    kind = 'usage record' if key == USAGE_KEY else 'duty'
    first = fleet.hosts[0]
    first.wait(lambda: any(one.value('values_skipped', kind=kind) for one in metrics))
    first.wait(lambda: fleet.holder() is not None, 5 * DUTIES.lease_s)
    assert first.call('safe').status == 200
    window = int(time.time() / WINDOW_S)
    first.wait(lambda: fleet.ledger.usage.get(window, {}).get('north') == 1, 8.0)
    assert all(one.value('values_skipped', kind=kind) <= 1 for one in metrics)
    assert all(one.value('internal_errors') == 0 for one in metrics)


@pytest.mark.parametrize('stops', ['none', 'holder crashes', 'holder stops'])
def test_all_requests_are_reported_once(fleet: UsageFleet, stops: str) -> None:
    """A crash or a stop of the holder must lose or repeat no window."""
    fleet.add('one', answer)
    first = fleet.hosts[0]
    first.wait(lambda: fleet.holder() is not None)
    sent = Counter()
    began = time.time()
    while time.time() < began + 3.0:
        for host in fleet.hosts:
            if host.call('safe').status == 200:
                sent[int(time.time() / WINDOW_S)] += 1
        gevent.sleep(0.02)
        if stops != 'none' and len(fleet.hosts) == 3 and time.time() > began + 1.0:
            gevent.sleep(1.2)  # the counts of the last second are lost in a crash
            holder = fleet.hosts.pop(fleet.holder())
            if stops == 'holder crashes':
                holder.router.kill()
            else:
                holder.router.request_stop()
                gevent.spawn(holder.router.wait)
    last = int(time.time() / WINDOW_S)
    fleet.hosts[0].wait(lambda: last in fleet.ledger.usage, 8.0)
    reported = Counter()
    for window in sent:
        assert window in fleet.ledger.usage, (window, fleet.ledger.order)
        reported[window] = fleet.ledger.usage[window].get('north', 0)
    assert sent.total() > 50
    assert reported.total() == pytest.approx(sent.total(), rel=0.05)
    assert fleet.ledger.violations == []
    assert fleet.ledger.order == sorted(fleet.ledger.order)
