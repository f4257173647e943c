"""Tests take-ups of streams at hosts that missed what others did for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import gevent.event
import pytest
from outofstep import OutOfStep
from routers import RunningFleet
from test_stream_versions import (
    Versioned,
    break_off,
    count_joined,
    restart_all,
    streams_of,
    take_up,
    version_of,
    versions,
)

from rosemaryseam.standins.scripted import ScriptedUpstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from routers import RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange

STREAMS = 8


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Yield three hosts with an engine of the first version."""
    running = RunningFleet(3)
    add_engine(running, 'engine-1', '1', running.hosts)
    yield running
    running.stop()


def add_engine(
    fleet: RunningFleet, name: str, version: str, hosts: list[RunningRouter]
) -> None:
    """Start an engine and wait until some hosts know it; its streams break off."""
    first = fleet.hosts[0]
    first.upstreams[name] = ScriptedUpstream(Versioned(version, break_off))
    first.register(name, version=version)
    for host in hosts:
        host.wait(lambda host=host: version_of(host, name) == version)


def replace_engine(fleet: RunningFleet) -> None:
    """Add an engine of a new version, which two hosts get to know."""
    add_engine(fleet, 'engine-2', '2', fleet.hosts[:2])


def wait_serving(host: RunningRouter) -> None:
    """Wait until a host places requests without the hosts that it does not reach."""
    host.wait(lambda: host.call('single').status == 200, 8.0)


def begin_at_new_version(fleet: RunningFleet, host: RunningRouter) -> list:
    """Begin streams; return those that began at the new version."""
    begun = streams_of(fleet, 3 * STREAMS, host)
    return [stream for stream in begun if versions(stream[1]) == {'2'}]


# Guards against streams of a new version that go on at another one through a host that
# has not heard of it (report of issue 42, ORDER).
@pytest.mark.parametrize('store', [True, False], ids=['hosts and store', 'hosts'])
def test_a_host_that_is_out_of_step_joins_no_stream(
    store: bool, fleet: RunningFleet
) -> None:
    late = fleet.hosts[2]
    out_of_step = OutOfStep(late)
    out_of_step.cut(store=store)
    replace_engine(fleet)
    begun = begin_at_new_version(fleet, fleet.hosts[1])
    assert len(begun) >= 3
    wait_serving(late)
    rest = [take_up(late, *stream) for stream in begun]
    assert count_joined(begun, rest) == 0
    assert {response.status for response in rest} <= {200, 503}


# Guards against the same just after the host is back, as a process that stood still
# reads requests before anything else.
def test_a_host_that_is_back_joins_no_stream(fleet: RunningFleet) -> None:
    late = fleet.hosts[2]
    out_of_step = OutOfStep(late)
    out_of_step.cut(store=True)
    replace_engine(fleet)
    begun = begin_at_new_version(fleet, fleet.hosts[1])
    for host in fleet.hosts[:2]:
        host.router.kill()
    wait_serving(late)
    out_of_step.heal()
    rest = [take_up(late, *stream) for stream in begun]
    assert count_joined(begun, rest) == 0


# Guards against the loss of take-ups for the sake of the tests above (LOST).
def test_a_host_that_is_back_in_step_takes_streams_up(fleet: RunningFleet) -> None:
    late = fleet.hosts[2]
    out_of_step = OutOfStep(late)
    out_of_step.cut(store=True)
    replace_engine(fleet)
    begun = begin_at_new_version(fleet, fleet.hosts[1])
    gevent.sleep(0.5)
    out_of_step.heal()
    late.wait(lambda: version_of(late, 'engine-2') == '2')
    wait_serving(late)
    rest = [take_up(late, *stream) for stream in begun]
    assert count_joined(begun, rest) == 0
    assert {response.status for response in rest} == {200}, rest[0].body


def test_streams_of_an_only_version_go_on_while_their_hosts_are_gone(
    fleet: RunningFleet,
) -> None:
    begun = streams_of(fleet, STREAMS, fleet.hosts[1])
    for host in fleet.hosts[:2]:
        host.router.kill()
    wait_serving(fleet.hosts[2])
    rest = [take_up(fleet.hosts[2], *stream) for stream in begun]
    assert {response.status for response in rest} == {200}, rest[0].body


# Guards against origins that are lost with the host that should write them to the
# store: take-ups were refused after all hosts had been killed (LOST).
def test_origins_are_written_while_their_writer_is_out_of_step(
    fleet: RunningFleet,
) -> None:
    replace_engine(fleet)
    fleet.hosts[2].wait(lambda: version_of(fleet.hosts[2], 'engine-2') == '2')
    writer_ip = fleet.hosts[0].router.stored.origin_log._writer()
    writer = next(host for host in fleet.hosts if host.cfg.ip == writer_ip)
    others = [host for host in fleet.hosts if host is not writer]
    OutOfStep(writer).cut(store=True)
    begun = streams_of(fleet, 2 * STREAMS, others[0])
    gevent.sleep(2.5)
    restarted = restart_all(fleet)
    try:
        wait_serving(restarted.hosts[1])
        rest = [take_up(restarted.hosts[1], *stream) for stream in begun]
        assert count_joined(begun, rest) == 0
        assert {response.status for response in rest} == {200}, rest[0].body
    finally:
        restarted.stop()


def break_off_when_told(told: gevent.event.Event) -> Callable[..., None]:
    """Return the end of a stream that breaks off at a moment of the test."""

    def end(exchange: ScriptedExchange) -> None:
        told.wait(3.0)
        exchange.close()

    return end


# Guards against streams that go on at an upstream which has started again under its id
# with other software while the store is down (review/2, ORDER), and against the loss of
# those whose upstream cannot have started again.
@pytest.mark.parametrize('restarts', [True, False])
def test_a_stream_goes_on_only_at_a_known_start_of_its_upstream(
    restarts: bool, router: RunningRouter
) -> None:
    told = gevent.event.Event()
    out_of_step = OutOfStep(router)
    breaking = Versioned('1', break_off_when_told(told))
    for name, script in (('other', Versioned('1')), ('first', breaking)):
        router.upstreams[name] = ScriptedUpstream(script)
        router.register(name, version='1')
        router.wait(lambda name=name: version_of(router, name) == '1')
        if name == 'other':
            assert router.call('long').complete  # leaves a connection to be reused
    first, other = router.upstreams['first'], router.upstreams['other']
    calls = []
    while not first.requests:
        calls.append(gevent.spawn(router.call, 'long', patience_ms=6000))
        gevent.sleep(0.05)
    for _ in range(2):  # ends the watch in progress, and the next one
        router.store.put('rosemaryseam/other', b'')
        gevent.sleep(0.05)
    out_of_step.cut(store=True)
    if restarts:
        for upstream in (first, other):
            upstream.stop()
            upstream.script = Versioned('2')
            upstream.restart()
    told.set()
    answer = calls[-1].get()
    assert versions(answer) == {'1'}
    assert answer.complete is not restarts
