"""Tests hosts that are cut off from upstreams while other hosts reach them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
import pytest
from cutpaths import Cut, PathSwitch
from gevent import socket
from routers import RunningFleet

from rosemaryseam.router import tunnelwire
from rosemaryseam.router.tunnelwire import TunnelRequest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from routers import RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange

CUTS = [Cut.HANG, Cut.REFUSE, Cut.RESET, Cut.NEW_ONLY]
DETECTION_S = 1.2
EVENTS = 6


@pytest.fixture
def start_fleet() -> Iterator[Callable[..., RunningFleet]]:
    """Return a function that starts hosts with two upstreams that answer."""
    fleets = []

    def start(
        count: int = 3, script: Callable[[ScriptedExchange], None] | None = None
    ) -> RunningFleet:
        fleet = RunningFleet(count)
        fleets.append(fleet)
        for name in ('one', 'two'):
            fleet.add(name, script or (lambda exchange: exchange.answer(200, b'ok')))
        return fleet

    yield start
    for fleet in fleets:
        fleet.stop()


def is_partitioned(host: RunningRouter) -> bool:
    return host.router.paths.dump()['partitioned']


def count(host: RunningRouter, name: str, **labels: str) -> int:
    return host.router.metrics.value(name, **labels)


def arrivals(fleet: RunningFleet) -> int:
    upstreams = fleet.hosts[0].upstreams.values()
    return sum(len(upstream.requests) for upstream in upstreams)


def cut_off(host: RunningRouter, cut: Cut) -> PathSwitch:
    """Cut a host off and wait until it has noticed."""
    switch = PathSwitch(host)
    switch.cut = cut
    host.wait(lambda: host.call('safe').status == 200 and is_partitioned(host))
    return switch


def count_up(exchange: ScriptedExchange) -> None:
    """Answer with a slow stream of the events that the caller does not have."""
    start = int(exchange.request.headers.get('last-event-id', '0'))
    exchange.start_stream()
    for number in range(start + 1, EVENTS + 1):
        exchange.event(number)
        gevent.sleep(0.1)
    exchange.end_stream()


# Guards against a host that refuses its callers while others reach the upstreams.
@pytest.mark.parametrize('cut', CUTS)
def test_cut_off_host_serves_its_callers_through_another(
    start_fleet: Callable[..., RunningFleet], cut: Cut
) -> None:
    fleet = start_fleet()
    host = fleet.hosts[0]
    switch = PathSwitch(host)
    switch.cut = cut
    began = host.clock.monotonic()
    assert [host.call('unsafe').status for _ in range(6)] == [200] * 6
    assert is_partitioned(host)
    assert host.clock.monotonic() - began < DETECTION_S
    assert arrivals(fleet) == 6
    assert count(host, 'tunnels_opened') >= 1
    switch.cut = Cut.NONE
    host.wait(lambda: not is_partitioned(host))
    relayed = count(host, 'tunnels_opened')
    assert host.call('safe').status == 200
    assert count(host, 'tunnels_opened') == relayed
    assert count(host, 'partitions_ended') == 1


# Guards against extra connections and messages where nothing is cut.
def test_host_that_reaches_its_upstreams_opens_no_other_connection(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    fleet = start_fleet()
    switches = [PathSwitch(host) for host in fleet.hosts]
    for _ in range(4):
        assert [host.call('safe').status for host in fleet.hosts] == [200] * 3
    gevent.sleep(0.8)
    assert sum(switch.connects for switch in switches) == sum(
        upstream.connections for upstream in fleet.hosts[0].upstreams.values()
    )
    assert not any(count(host, 'tunnels_relayed') for host in fleet.hosts)
    assert all(switch.connects <= 2 for switch in switches)


# Guards against upstreams that are down being taken for a partition.
def test_upstreams_that_are_down_are_no_partition(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    fleet = start_fleet()
    for upstream in fleet.hosts[0].upstreams.values():
        upstream.stop()
    for _ in range(3):
        assert {host.call('safe').status for host in fleet.hosts} == {503}
    assert not any(is_partitioned(host) for host in fleet.hosts)
    assert not any(count(host, 'tunnels_relayed') for host in fleet.hosts)


# Guards against sound upstreams that are ejected for all hosts because one is cut off.
@pytest.mark.parametrize('cut', CUTS)
def test_cut_off_host_has_no_upstream_ejected(
    start_fleet: Callable[..., RunningFleet],
    monkeypatch: pytest.MonkeyPatch,
    cut: Cut,
) -> None:
    fleet = start_fleet(script=count_up)
    host = next(one for one in fleet.hosts if one is not fleet.dispatcher())
    outcomes: list[str] = []
    tracker = fleet.dispatcher().router.tracker
    record_end = tracker.record_end

    def record(source: str, number: int, outcome: str, duration_s: float) -> None:
        outcomes.append(outcome)
        record_end(source, number, outcome, duration_s)

    monkeypatch.setattr(tracker, 'record_end', record)
    switch = PathSwitch(host)
    sent = [gevent.spawn(host.call, 'long') for _ in range(4)]
    host.wait(lambda: arrivals(fleet) == 4)
    switch.cut = cut
    late = [gevent.spawn(host.call, 'long') for _ in range(2)]
    responses = [one.get(timeout=6.0) for one in sent + late]
    assert all(response.events() == [1, 2, 3, 4, 5, 6] for response in responses)
    host.wait(lambda: host.router.paths.dump()['delayed_reports'] == 0)
    gevent.sleep(0.1)
    assert not {'unreachable', 'crashed', 'silent'} & set(outcomes)


# Guards against a crashed upstream that the dispatcher does not hear of any more.
def test_one_crashed_upstream_is_still_reported(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    fleet = start_fleet()
    fleet.hosts[0].upstreams['one'].stop()
    host = next(one for one in fleet.hosts if one is not fleet.dispatcher())
    assert [host.call('safe').status for _ in range(4)] == [200] * 4
    tracker = fleet.dispatcher().router.tracker
    host.wait(lambda: tracker.dump()['one']['paused'], timeout_s=1.5)
    assert not is_partitioned(host)


# Guards against hosts that stay cut off because they only ask hosts of their own zone
# that are cut off too.
def test_zone_that_is_cut_off_is_served_by_the_other_zone(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    fleet = start_fleet(5)
    cut = fleet.hosts[:4]
    fleet.hosts[4].router.tunnels._zone = 'b'
    for host in cut:
        PathSwitch(host).cut = Cut.HANG

    def call_until_served(host: RunningRouter) -> float:
        host.wait(lambda: host.call('safe').status == 200 and is_partitioned(host))
        return host.clock.monotonic()

    began = cut[0].clock.monotonic()
    served = gevent.joinall([gevent.spawn(call_until_served, host) for host in cut])
    assert max(one.get() for one in served) - began < 2.5
    for host in cut:
        assert [host.call('safe').status for _ in range(5)] == [200] * 5
    assert count(fleet.hosts[4], 'tunnels_relayed') >= 4
    assert not any(count(host, 'tunnels_relayed') for host in cut)


# Guards against a stream that ends with the host that relays it.
@pytest.mark.parametrize('route', ['long', 'once'])
def test_stream_outlives_the_host_that_relays_it_if_it_may_resume(
    start_fleet: Callable[..., RunningFleet], route: str
) -> None:
    fleet = start_fleet(4, script=count_up)
    host = fleet.hosts[0]
    PathSwitch(host).cut = Cut.REFUSE
    sent = gevent.spawn(host.call, route)
    others = fleet.hosts[1:]
    host.wait(lambda: any(one.router.tunnels.active for one in others))
    relay = next(one for one in others if one.router.tunnels.active)
    gevent.sleep(0.25)
    relay.router.tunnels.kill()
    response = sent.get(timeout=6.0)
    if route == 'long':
        assert (response.events(), response.complete) == ([1, 2, 3, 4, 5, 6], True)
    else:
        assert response.complete is False
        assert arrivals(fleet) == 1


# Guards against callers who are refused because the only host that can relay is blamed
# for an upstream that broke off.
def test_upstream_that_breaks_off_does_not_cost_the_only_relay(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    def answer(exchange: ScriptedExchange) -> None:
        if exchange.request.target.startswith('/unsafe'):
            exchange.reset()
        else:
            exchange.answer(200)

    fleet = start_fleet(2, script=answer)
    host = fleet.hosts[0]
    cut_off(host, Cut.REFUSE)
    for _ in range(4):
        assert host.call('unsafe').status == 502
        assert host.call('safe').status == 200


# Guards against a stopping host that cuts the answers it relays.
def test_stopping_host_lets_its_tunnels_finish_and_opens_no_new_one(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    events = 26  # for longer than a stopping host waits for its own callers

    def stream(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        for number in range(1, events + 1):
            exchange.event(number)
            gevent.sleep(0.1)
        exchange.end_stream()

    fleet = start_fleet(2, script=stream)
    host, relay = fleet.hosts
    PathSwitch(host).cut = Cut.REFUSE
    sent = gevent.spawn(host.call, 'single', patience_ms=8000)
    host.wait(lambda: relay.router.tunnels.active == 1)
    stopping = gevent.spawn(relay.router.wait)
    relay.router.request_stop()
    gevent.sleep(0.1)
    upstream = relay.router.registry.all()[0]
    request = TunnelRequest(upstream.id, upstream.born, *upstream.address)
    assert ask(fleet, host.cfg.ip, request) == 'stopping'
    assert host.call('unsafe').status == 503
    response = sent.get(timeout=4.0)
    assert (len(response.events()), response.complete) == (events, True)
    stopping.get(timeout=5.0)
    assert relay.router.tunnels.active == 0


# Guards against a restart that loses the requests of a host that is cut off. Other
# hosts drop a stopping host from those that may dispatch, and refused it tunnels
# (hosts-cut-off-from-upstreams.toml, seed 1, 1,087 refusals in 3 s).
def test_stopping_host_that_is_cut_off_still_gets_tunnels(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    fleet = start_fleet()
    host = fleet.hosts[0]
    cut_off(host, Cut.REFUSE)
    stopping = gevent.spawn(host.router.wait)
    host.router.request_stop()
    others = [other.router.peers for other in fleet.hosts[1:]]
    host.wait(lambda: all(host.cfg.ip not in one.known_hosts() for one in others))
    assert [host.call('unsafe').status for _ in range(4)] == [200] * 4
    stopping.get(timeout=8.0)


# Guards against upstreams that work on for a caller that has left.
def test_upstream_sees_that_the_caller_of_another_host_left(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    left: list[bool] = []

    def hang(exchange: ScriptedExchange) -> None:
        if exchange.request.target.startswith('/long'):
            left.append(exchange.wait_for_caller_close(5.0))
        else:
            exchange.answer(200)

    fleet = start_fleet(script=hang)
    host = fleet.hosts[0]
    cut_off(host, Cut.REFUSE)
    before = arrivals(fleet)
    with host.connection() as conn:
        sent = gevent.spawn(conn.call, 'long')
        host.wait(lambda: arrivals(fleet) == before + 1)
        sent.kill()
    host.wait(lambda: left == [True], timeout_s=1.0)


# Guards against a request that must run at most once and is lost on a connection that
# hangs although the path is suspect.
def test_idle_connection_is_not_used_once_a_connect_has_failed(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    fleet = start_fleet()
    host = fleet.hosts[0]
    switch = PathSwitch(host)
    sent = [gevent.spawn(host.call, 'unsafe') for _ in range(6)]
    assert {one.get().status for one in sent} == {200}
    switch.cut = Cut.HANG
    for upstream in host.router.registry.all():
        with pytest.raises(OSError, match='cut'):
            connect_or_fail(host, upstream)
    assert [host.call('unsafe').status for _ in range(4)] == [200] * 4
    assert arrivals(fleet) == 10


# Guards against requests that wait on idle connections which hang, although it is
# known that the host is cut off.
def test_idle_connections_are_not_used_while_cut_off(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    fleet = start_fleet()
    host = fleet.hosts[0]
    switch = PathSwitch(host)
    sent = [gevent.spawn(host.call, 'safe') for _ in range(12)]
    assert {one.get().status for one in sent} == {200}
    switch.cut = Cut.HANG
    for upstream in host.router.registry.all():
        with pytest.raises(OSError, match='cut'):
            connect_or_fail(host, upstream)
    host.wait(lambda: is_partitioned(host))
    assert [host.call('safe').status for _ in range(4)] == [200] * 4
    assert count(host, 'upstream_failures', kind='SilentError') == 0
    assert arrivals(fleet) == 16


def connect_or_fail(host: RunningRouter, upstream: Any) -> None:
    try:
        host.router.paths.connect_directly(upstream, 0.05)
    except Exception as exc:
        raise OSError(str(exc)) from exc


# Guards against callers who wait on hanging connections while no connect is tried.
def test_silence_of_all_upstreams_is_noticed_without_new_requests(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    fleet = start_fleet(script=count_up)
    host = fleet.hosts[0]
    switch = PathSwitch(host)
    sent = [gevent.spawn(host.call, 'long') for _ in range(4)]
    host.wait(lambda: arrivals(fleet) == 4)
    switch.cut = Cut.HANG
    host.wait(lambda: is_partitioned(host), timeout_s=DETECTION_S)
    gevent.killall(sent)


# Guards against requests with little time that are all lost on idle connections that
# hang, because none of them lives long enough to be noticed as silent.
def test_silence_is_noticed_by_requests_with_little_time(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    fleet = start_fleet()
    host = fleet.hosts[0]
    switch = PathSwitch(host)
    sent = [gevent.spawn(host.call, 'unsafe') for _ in range(40)]
    assert {one.get().status for one in sent} == {200}
    switch.cut = Cut.HANG
    statuses = []
    for _ in range(12):
        sent = [gevent.spawn(host.call, 'unsafe', patience_ms=150) for _ in range(2)]
        statuses += [one.get().status for one in sent]
    assert is_partitioned(host)
    assert statuses[-4:] == [200] * 4


# Guards against silent upstreams (all busy with long prompts) taken for a partition.
def test_silence_of_upstreams_that_accept_connections_is_no_partition(
    start_fleet: Callable[..., RunningFleet],
) -> None:
    def pause(exchange: ScriptedExchange) -> None:
        gevent.sleep(1.2)
        exchange.answer(200)

    fleet = start_fleet(script=pause)
    host = fleet.hosts[0]
    sent = [gevent.spawn(host.call, 'single') for _ in range(4)]
    assert [one.get().status for one in sent] == [200] * 4
    assert not is_partitioned(host)
    assert not count(host, 'tunnels_opened')


def ask(fleet: RunningFleet, source: str, request: TunnelRequest) -> str:
    """Ask the second host for a tunnel; return its answer or ``closed``."""
    relay = fleet.hosts[1]
    sock = socket.create_connection(
        (relay.cfg.ip, relay.cfg.relay_port), source_address=(source, 0), timeout=2.0
    )
    try:
        tunnelwire.send_message(sock, request)
        return tunnelwire.read_reply(sock).result
    except OSError:
        return 'closed'
    finally:
        sock.close()


# Guards against an open proxy, and against a request that is relayed twice.
@pytest.mark.parametrize(
    ('source', 'changes', 'cut', 'result'),
    [
        ('127.0.1.1', {}, Cut.NONE, 'open'),
        ('127.0.0.1', {}, Cut.NONE, 'closed'),
        ('127.0.1.1', {'born': 7}, Cut.NONE, 'unknown'),
        ('127.0.1.1', {'port': 22}, Cut.NONE, 'unknown'),
        ('127.0.1.1', {'upstream': 'x' * 2000}, Cut.NONE, 'closed'),
        ('127.0.1.1', {}, Cut.REFUSE, 'partitioned'),
    ],
)
def test_tunnels_are_opened_only_for_hosts_to_upstreams(
    start_fleet: Callable[..., RunningFleet],
    source: str,
    changes: dict[str, Any],
    cut: Cut,
    result: str,
) -> None:
    fleet = start_fleet()
    switch = None if cut is Cut.NONE else cut_off(fleet.hosts[1], cut)
    upstream = fleet.hosts[1].router.registry.all()[0]
    request = TunnelRequest(upstream.id, upstream.born, *upstream.address)
    opened = count(fleet.hosts[1], 'tunnels_opened')
    connects = switch.connects if switch else 0
    assert ask(fleet, source, request._replace(**changes)) == result
    assert switch is None or switch.connects == connects
    assert count(fleet.hosts[1], 'tunnels_opened') == opened
