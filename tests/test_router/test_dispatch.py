"""Tests of placement through dispatchers, including failures of any host."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

import gevent
import pytest
from routers import RunningFleet, RunningRouter

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.policy.slots import UPSTREAMS_PER_SLOT, SlotPlan
from rosemaryseam.router.datagramcodec import decode, encode
from rosemaryseam.router.datagrams import Datagram, DispatchRequest, EndedRequest, Reply
from rosemaryseam.router.dispatch import DispatchPlacer
from rosemaryseam.router.dispatcher import Dispatcher
from rosemaryseam.router.queries import (
    InFlightReport,
    PlacedPrompt,
    Placement,
    Query,
    hash_parts,
)
from rosemaryseam.router.requests import Prompt, PromptPart
from rosemaryseam.router.routes import EngineProfile
from rosemaryseam.router.upstreams import Registration, Registry, Upstream
from rosemaryseam.router.upstreamtracker import UpstreamTracker

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemaryseam.standins.scripted import ScriptedExchange

QUERY = Query(
    number=7,
    request_id='r-7',
    service='engines',
    route='digest',
    rank=2,
    workspace_rank=None,
    parts=((2**63 + 5, 100), (3, 200)),
    prompt_tokens=300,
    output_tokens=10,
    max_output_tokens=40,
    pause_s=None,
    due_in_s=1.5,
    expires_in_s=5.0,
    body_bytes=1000,
    zone='a',
    excluded=('x', 'y'),
)
PLACEMENT = Placement(7, 'one', 5, 'two', 0.25, None, 1.5, {'loss': 0.5})
IN_FLIGHT_REPORT = InFlightReport(9, 'one', 0, 100, 200, 300, 0.3, 0.25, 1.5, 4.0, True)

DATAGRAMS = [
    ('empty', Datagram('10.0.0.1', 1)),
    ('leaving', Datagram('10.0.0.1', 2**40, leaving=True)),
    (
        'dispatch requests',
        Datagram('h', 1, dispatch_requests=(DispatchRequest(3, QUERY),)),
    ),
    (
        'a request without a prompt',
        Datagram(
            'h',
            1,
            dispatch_requests=(
                DispatchRequest(0, QUERY._replace(parts=(), workspace_rank=2)),
            ),
        ),
    ),
    ('a placement', Datagram('h', 1, replies=(Reply(7, PLACEMENT, '', 0.0, 0.5),))),
    (
        'a placement without urgency',
        Datagram(
            'h',
            1,
            replies=(
                Reply(
                    7,
                    Placement(7, 'one', None, None, 0.25, 0.5, 1.0, {}),
                    '',
                    0.0,
                    0.25,
                ),
            ),
        ),
    ),
    ('a refusal', Datagram('h', 1, replies=(Reply(7, None, 'busy', 0.75, 1.0),))),
    (
        'a host that knows no upstream',
        Datagram(
            'h', 1, replies=(Reply(7, None, 'none', 0.0, 0.0, no_upstream_known=True),)
        ),
    ),
    (
        'prompts',
        Datagram('h', 1, placed=(PlacedPrompt('one', ((2**63 + 5, 100),), 1.25, 2.5),)),
    ),
    (
        'reports of requests',
        Datagram(
            'h',
            1,
            sync=True,
            started=(1, 2),
            ended=(EndedRequest(3, 'done', 0.5),),
            in_flight=(IN_FLIGHT_REPORT,),
            active=(1, 2**32 - 1),
        ),
    ),
]


@pytest.mark.parametrize(
    ('name', 'datagram'), DATAGRAMS, ids=[row[0] for row in DATAGRAMS]
)
def test_datagrams_are_unchanged_by_encoding_and_decoding(
    name: str, datagram: Datagram
) -> None:
    assert decode(encode(datagram)) == datagram


PLANS = [1, 3, UPSTREAMS_PER_SLOT, UPSTREAMS_PER_SLOT + 1, 56, 300]


@pytest.mark.parametrize('count', PLANS)
def test_slots_hold_each_upstream_once_within_the_size_limit(count: int) -> None:
    names = [f'u-{number}' for number in range(count)]
    plan = SlotPlan('engines', names)
    members = [plan.members(slot) for slot in range(plan.count)]
    assert sorted(name for slot in members for name in slot) == sorted(names)
    assert max(map(len, members)) <= UPSTREAMS_PER_SLOT


def test_few_upstreams_change_their_slot_when_one_leaves() -> None:
    names = [f'u-{number}' for number in range(56)]
    before, after = SlotPlan('engines', names), SlotPlan('engines', names[1:])
    slot_of = {name: slot for slot in range(5) for name in before.members(slot)}
    moved = [
        name
        for slot in range(after.count)
        for name in after.members(slot)
        if slot_of[name] != slot
    ]
    assert len(moved) <= 8


def test_slots_and_hosts_do_not_depend_on_the_order_of_names() -> None:
    names = [f'u-{number}' for number in range(30)]
    plans = [SlotPlan('engines', names), SlotPlan('engines', names[::-1])]
    assert plans[0].members(1) == plans[1].members(1)
    names = [dict.fromkeys(order, 1.0) for order in ('abc', 'cba')]
    assert plans[0].rank_hosts(1, names[0]) == plans[1].rank_hosts(1, names[1])


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Run a fleet of three hosts."""
    running = RunningFleet(3)
    yield running
    running.stop()


def answer(exchange: ScriptedExchange) -> None:
    """Answer with the body of the request."""
    exchange.answer(200, b'answer:' + exchange.request.body)


def others(fleet: RunningFleet) -> list[RunningRouter]:
    """Return the hosts other than the dispatcher."""
    dispatcher = fleet.dispatcher()
    return [host for host in fleet.hosts if host is not dispatcher]


def count_dispatched(host: RunningRouter) -> int:
    """Return the number of requests that a host has placed for others."""
    return host.router.metrics.value('dispatched', service='work')


def test_hosts_place_requests_through_the_dispatcher(fleet: RunningFleet) -> None:
    fleet.add('one', answer)
    fleet.add('two', answer)
    for host in fleet.hosts:
        for _ in range(4):
            assert host.call('safe').status == 200
    assert count_dispatched(fleet.dispatcher()) == 8
    assert all(count_dispatched(host) == 0 for host in others(fleet))


def test_the_dispatcher_balances_the_requests_of_all_hosts(fleet: RunningFleet) -> None:
    def slow(exchange: ScriptedExchange) -> None:
        gevent.sleep(0.4)
        answer(exchange)

    upstreams = [fleet.add(name, slow) for name in ('one', 'two', 'three')]
    calls = [gevent.spawn(host.call, 'safe') for host in fleet.hosts for _ in range(3)]
    gevent.joinall(calls, timeout=5.0)
    assert [len(upstream.requests) for upstream in upstreams] == [3, 3, 3]


def test_requests_succeed_after_the_dispatcher_was_killed(fleet: RunningFleet) -> None:
    fleet.add('one', answer)
    dispatcher = fleet.dispatcher()
    left = others(fleet)
    assert left[0].call('safe').status == 200
    dispatcher.router.kill()
    started = gevent.get_hub().loop.now()
    statuses = Counter(host.call('safe').status for host in left for _ in range(5))
    assert statuses == {200: 10}
    assert gevent.get_hub().loop.now() - started < 1.0


def test_requests_are_placed_when_all_datagrams_are_lost(
    fleet: RunningFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.add('one', answer)
    for host in fleet.hosts:
        monkeypatch.setattr(host.router.peers, '_transmit', lambda *_: None)
    for host in fleet.hosts:
        assert host.call('safe').status == 200


def test_no_request_fails_when_every_second_datagram_is_lost(
    fleet: RunningFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    upstream = fleet.add('one', answer)
    counter = iter(range(10**6))
    for host in fleet.hosts:
        send = host.router.peers._transmit

        def lossy(address: str, data: bytes, send: object = send) -> None:
            if next(counter) % 2:
                send(address, data)

        monkeypatch.setattr(host.router.peers, '_transmit', lossy)
    for host in fleet.hosts:
        for _ in range(10):
            assert host.call('unsafe').status == 200
    assert len(upstream.requests) == 30


def test_a_new_dispatcher_receives_the_requests_in_flight(fleet: RunningFleet) -> None:
    def slow(exchange: ScriptedExchange) -> None:
        gevent.sleep(1.5)
        answer(exchange)

    fleet.add('one', slow)
    fleet.add('two', slow)
    dispatcher = fleet.dispatcher()
    host = others(fleet)[0]
    calls = [gevent.spawn(host.call, 'long') for _ in range(4)]
    host.wait(lambda: host.router.callers.busy_connections == 4)
    gevent.sleep(0.1)
    dispatcher.router.kill()
    calls.append(gevent.spawn(host.call, 'long'))
    gevent.sleep(0.3)
    remaining = others(fleet)
    dumps = [entry.router.tracker.dump() for entry in remaining]
    total = sum(entry['requests'] for dump in dumps for entry in dump.values())
    gevent.joinall(calls, timeout=5.0)
    assert total >= 5
    assert [call.value.status for call in calls] == [200] * 5


def test_sync_drops_requests_whose_end_report_was_lost(
    fleet: RunningFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.add('one', answer)
    dispatcher = fleet.dispatcher()
    host = others(fleet)[0]
    with monkeypatch.context() as patch:
        patch.setattr(host.router.peers, 'send_ended', lambda *_: None)
        for _ in range(5):
            assert host.call('safe').status == 200
    assert dispatcher.router.tracker.dump()['one']['requests'] == 5
    dispatcher.wait(
        lambda: dispatcher.router.tracker.dump()['one']['requests'] == 0, 4.0
    )


def test_the_requests_of_a_silent_host_are_dropped(fleet: RunningFleet) -> None:
    def slow(exchange: ScriptedExchange) -> None:
        gevent.sleep(8.0)

    fleet.add('one', slow)
    dispatcher = fleet.dispatcher()
    host = others(fleet)[0]
    call = gevent.spawn(host.call, 'long')
    dispatcher.wait(
        lambda: dispatcher.router.tracker.dump().get('one', {}).get('requests') == 1
    )
    host.router.kill()
    call.kill()
    dispatcher.wait(
        lambda: dispatcher.router.tracker.dump()['one']['requests'] == 0, 6.0
    )


def test_a_leaving_host_stops_dispatching(fleet: RunningFleet) -> None:
    fleet.add('one', answer)
    dispatcher = fleet.dispatcher()
    left = others(fleet)
    dispatcher.router.request_stop()
    stop = gevent.spawn(dispatcher.router.wait)
    gevent.sleep(0.2)
    before = count_dispatched(dispatcher)
    for host in left:
        assert host.call('safe').status == 200
    assert count_dispatched(dispatcher) == before
    stop.join(timeout=6.0)


def test_an_upstream_that_refuses_connections_is_ejected_for_all_hosts(
    fleet: RunningFleet,
) -> None:
    one = fleet.add('one', answer)
    two = fleet.add('two', answer)
    one.stop()
    first, second = others(fleet)
    for _ in range(2):
        assert first.call('safe').status == 200
    started = first.router.metrics.value('upstream_failures', kind='NotSentError')
    for _ in range(4):
        assert second.call('safe').status == 200
    assert second.router.metrics.value('upstream_failures', kind='NotSentError') == 0
    assert started <= 1
    assert len(two.requests) == 6


def test_a_dispatcher_that_knows_no_upstream_is_skipped(
    fleet: RunningFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet.add('one', answer)
    dispatcher = fleet.dispatcher()
    monkeypatch.setattr(dispatcher.router.registry, 'usable', lambda _: ())
    for host in others(fleet):
        for _ in range(3):
            assert host.call('safe').status == 200
    assert count_dispatched(dispatcher) == 0


def test_a_restarted_host_is_accepted_with_a_lower_incarnation(
    fleet: RunningFleet,
) -> None:
    """A host whose clock was set back before its restart has a lower incarnation."""
    receiver, other = fleet.hosts[0].router.peers, fleet.hosts[1].cfg.ip
    for incarnation in (9000, 5, 7):
        receiver._handle_datagram(other, Datagram(other, incarnation))
        assert receiver._incarnations[other][-1] == incarnation
    receiver._handle_datagram(other, Datagram(other, 5))
    assert receiver._incarnations[other][-1] == 7


def test_a_new_dispatcher_receives_the_prompts_in_engine_caches(
    fleet: RunningFleet,
) -> None:
    fleet.add('one', answer)
    dispatcher = fleet.dispatcher()
    host = others(fleet)[0]
    names = {'X-Token-Counts': '30,10', 'X-Prompt-Parts': 'aa:20,bb:10'}
    service = host.router.feed.table.services['work']
    engine = EngineProfile(4, 1000, 1, shares_cache=False)
    for entry in fleet.hosts:
        entry.router.feed.table.services['work'] = service._replace(engine=engine)
    assert host.call('safe', headers=names).status == 200
    dispatcher.router.request_stop()
    stop = gevent.spawn(dispatcher.router.wait)
    left = others(fleet)
    successor = next(
        entry for entry in left if entry.cfg.ip == successor_of(fleet, dispatcher)
    )
    parts = hash_parts(
        Prompt('', (PromptPart('aa', 20), PromptPart('bb', 10)), 30, 10, 10)
    )
    successor.wait(lambda: 'one' in successor.router.tracker.dump())
    assert successor.router.tracker.cached_tokens('one', parts) == 30
    stop.join(timeout=6.0)


def successor_of(fleet: RunningFleet, dispatcher: RunningRouter) -> str:
    """Return the address of the host that takes over from a dispatcher."""
    plan = dispatcher.router.dispatcher.plan('work')
    ips = [host.cfg.ip for host in fleet.hosts if host is not dispatcher]
    return plan.rank_hosts(0, dict.fromkeys(ips, 1.0))[0]


PRESSURES = [
    ('neither known', {}, False),
    ('only the first known', {0: 1.0}, False),
    ('the second has lower pressure', {0: 0.9, 1: 0.1}, True),
    ('about the same', {0: 0.6, 1: 0.5}, False),
]


@pytest.mark.parametrize(
    ('name', 'pressures', 'moves'), PRESSURES, ids=[row[0] for row in PRESSURES]
)
def test_a_session_leaves_its_slot_only_for_one_with_known_lower_pressure(
    name: str, pressures: dict[int, float], moves: bool
) -> None:
    clock, registry = ManualClock(), Registry()
    for number in range(2 * UPSTREAMS_PER_SLOT):
        address = Address('10.0.0.1', 1000 + number)
        upstream = Upstream(f'u-{number}', 1, 'engines', address, 'a', 4)
        registry.put(Registration(upstream, leaving=False))
    tracker = UpstreamTracker(clock, lambda _: None, random.Random(1))
    dispatcher = Dispatcher(tracker, registry, Metrics())
    placer = DispatchPlacer('h', 'a', clock, Metrics(), tracker, dispatcher, registry)
    plan = dispatcher.plan('engines')
    order = plan.preferred_slots(str(QUERY.parts[-2][0]))
    for place, pressure in pressures.items():
        placer._pressures['engines', order[place]] = (pressure, clock.monotonic())
    slots = placer._preferred_slots(plan, QUERY)
    assert slots[0] == (order[1] if moves else order[0])


def test_hosts_with_more_capacity_dispatch() -> None:
    fleet = RunningFleet(4, large_hosts=(3,))
    try:
        fleet.add('one', answer)
        for host in fleet.hosts:
            assert host.call('safe').status == 200
        counts = [count_dispatched(host) for host in fleet.hosts]
        assert counts == [0, 0, 3, 0]  # its own request is not counted
    finally:
        fleet.stop()
