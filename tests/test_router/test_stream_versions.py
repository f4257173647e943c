"""Tests that streams go on only at the software version that began them."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import gevent
import pytest
from routers import RunningFleet, RunningRouter

from rosemaryseam.router.documentcodec import UPSTREAM_PREFIX
from rosemaryseam.router.routes import EngineProfile

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from routers import Response

    from rosemaryseam.standins.scripted import ScriptedExchange

EVENTS = 6
BROKEN_AFTER = 2  # events
STREAMS = 12
PROMPT = {'X-Prompt-Parts': 'a:50,b:50', 'X-Token-Counts': '100,10'}
_IDS = itertools.count(1)


class Versioned:
    """An engine's script whose events name the version of its software.

    :param version: version of the software
    :param end: how a stream that is not taken up ends; ``None`` for its last event
    """

    def __init__(
        self, version: str, end: Callable[[ScriptedExchange], None] | None = None
    ) -> None:
        self.version = version
        self.end = end

    def __call__(self, exchange: ScriptedExchange) -> None:
        """Send the events after the one that the request names."""
        start = int(exchange.request.headers.get('last-event-id', '0'))
        exchange.start_stream()
        for number in range(start + 1, EVENTS + 1):
            if self.end is not None and not start and number > BROKEN_AFTER:
                self.end(exchange)
                return
            exchange.event(number, self.version)
        exchange.end_stream()


def use_engines(router: RunningRouter) -> None:
    """Make the upstreams of the router's table engines, whose silence is noticed."""
    services = router.router.feed.table.services
    engine = EngineProfile(16, 100_000, 1, shares_cache=False)
    services['work'] = services['work']._replace(engine=engine)


def versions(*responses: Response) -> set[str]:
    """Return the versions that wrote the events of some answers."""
    lines = b''.join(response.body for response in responses).decode().splitlines()
    return {line.removeprefix('data: ') for line in lines if line.startswith('data:')}


def add(target: RunningRouter | RunningFleet, name: str, script: Versioned) -> None:
    """Start an engine and register it with its version."""
    host = target.hosts[0] if isinstance(target, RunningFleet) else target
    host.add(name, script)
    host.register(name, version=script.version)
    hosts = target.hosts if isinstance(target, RunningFleet) else [target]
    for one in hosts:
        one.wait(lambda one=one: script.version == version_of(one, name))


def version_of(host: RunningRouter, name: str) -> str | None:
    """Return the version of an upstream that a host knows."""
    known = {upstream.id: upstream for upstream in host.router.registry.all()}
    return known[name].version if name in known else None


def begin(host: RunningRouter, request_id: str) -> Response:
    """Send the first request of a stream; its answer is not resumed by the router."""
    return host.call('single', headers={'X-Request-Id': request_id})


def take_up(host: RunningRouter, first_id: str, first: Response) -> Response:
    """Ask for the rest of a stream."""
    return host.call(
        'single',
        headers={
            'X-Request-Id': f'again-{next(_IDS)}',
            'Last-Event-Id': str(first.events()[-1]),
            'X-Resumed-Request-Id': first_id,
        },
    )


def break_off(exchange: ScriptedExchange) -> None:
    """End the stream before its last event."""
    exchange.close()


def break_off_late(exchange: ScriptedExchange) -> None:
    """End the stream when other engines are there."""
    gevent.sleep(0.4)
    exchange.close()


def fall_silent(exchange: ScriptedExchange) -> None:
    """Send nothing until the router gives up."""
    exchange.wait_for_caller_close(4.0)


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Yield three hosts without upstreams."""
    running = RunningFleet(3)
    yield running
    running.stop()


# Guards against answers that go on at another version (incident second1 of issue 31).
OTHERS = [
    ('none of its version', ['2', '2'], break_off_late, False),
    ('one of its version', ['2', '1'], break_off_late, True),
    ('one of its version among many', ['2', '2', '2', '1', '3'], break_off_late, True),
    ('none of its version, silent', ['2', '2'], fall_silent, False),
    ('one of its version, silent', ['2', '1'], fall_silent, True),
]


@pytest.mark.parametrize(
    ('name', 'others', 'end', 'complete'), OTHERS, ids=[row[0] for row in OTHERS]
)
def test_an_answer_goes_on_at_its_version_only(
    name: str,
    others: list[str],
    end: Callable[[ScriptedExchange], None],
    complete: bool,
    router: RunningRouter,
) -> None:
    use_engines(router)
    add(router, 'first', Versioned('1', end))
    call = gevent.spawn(router.call, 'long', headers=PROMPT, patience_ms=8000)
    router.wait(lambda: bool(router.upstreams['first'].requests))
    for number, version in enumerate(others):
        add(router, f'other-{number}', Versioned(version))
    response = call.get()
    assert versions(response) == {'1'}
    assert response.complete == complete
    assert response.events() == list(range(1, (EVENTS if complete else 2) + 1))


def test_a_stream_without_events_may_begin_again_at_another_version(
    router: RunningRouter,
) -> None:
    script = Versioned('1')
    add(router, 'first', script)
    router.upstreams['first'].script = lambda exchange: (
        exchange.start_stream(),
        exchange.close(),
    )
    add(router, 'other', Versioned('2'))
    responses = [router.call('long') for _ in range(6)]
    assert all(response.complete for response in responses)
    assert versions(*responses) == {'2'}


def streams_of(
    fleet: RunningFleet, count: int, host: RunningRouter
) -> list[tuple[str, Response]]:
    """Begin streams at a host that all break off; return their ids and beginnings."""
    begun = []
    for _ in range(count):
        request_id = f'first-{next(_IDS)}'
        response = begin(host, request_id)
        assert response.events() == list(range(1, BROKEN_AFTER + 1))
        assert not response.complete
        begun.append((request_id, response))
    return begun


def add_breaking(fleet: RunningFleet) -> None:
    """Add one engine of each of two versions, which break all new streams off."""
    for version in ('1', '2'):
        add(fleet, f'engine-{version}', Versioned(version, break_off))


def count_joined(begun: list[tuple[str, Response]], rest: list[Response]) -> int:
    """Return how many streams have events of two versions."""
    return sum(
        len(versions(first, later)) > 1
        for (_, first), later in zip(begun, rest, strict=True)
    )


# Guards against streams that are taken up at another host and version (second1).
@pytest.mark.parametrize('killed', [False, True])
def test_a_stream_is_taken_up_at_its_version_on_another_host(
    killed: bool, fleet: RunningFleet
) -> None:
    add_breaking(fleet)
    first, second, third = fleet.hosts
    begun = streams_of(fleet, STREAMS, first)
    gevent.sleep(0.3)
    if killed:
        first.router.kill()
    hosts = itertools.cycle([second, third])
    rest = [take_up(next(hosts), *stream) for stream in begun]
    assert count_joined(begun, rest) == 0
    assert {response.status for response in rest} == {200}
    assert all(response.complete for response in rest)
    assert {versions(response).pop() for response in rest} == {'1', '2'}


# Guards against take-ups of streams whose version has left (second1).
def test_a_stream_of_a_version_that_left_is_not_taken_up(fleet: RunningFleet) -> None:
    add_breaking(fleet)
    first, second, _ = fleet.hosts
    begun = streams_of(fleet, STREAMS, first)
    fleet.hosts[0].register('engine-1', version='1', leaving=True)
    second.wait(lambda: second.usable() == {'engine-2'})
    gevent.sleep(0.3)
    rest = [take_up(second, *stream) for stream in begun]
    assert count_joined(begun, rest) == 0
    by_version = {'1': 503, '2': 200}
    for (_, response), later in zip(begun, rest, strict=True):
        assert later.status == by_version[versions(response).pop()]


def restart_all(fleet: RunningFleet) -> RunningFleet:
    """Kill all hosts at once and return new ones with the same store and upstreams."""
    upstreams = fleet.hosts[0].upstreams
    for host in fleet.hosts:
        host.router.kill()
    restarted = RunningFleet(3, store=fleet.store)
    restarted.hosts[0].upstreams = upstreams
    return restarted


# Guards against take-ups at any version after all hosts were killed (last report of
# issue 31).
@pytest.mark.parametrize('left', [None, 'engine-1', 'engine-2'])
def test_no_stream_is_joined_from_two_versions_after_all_hosts_were_killed(
    left: str | None, fleet: RunningFleet
) -> None:
    add_breaking(fleet)
    begun = streams_of(fleet, STREAMS, fleet.hosts[1])
    gevent.sleep(0.3)
    if left is not None:
        fleet.hosts[0].register(left, version=left[-1], leaving=True)
        fleet.hosts[1].wait(lambda: left not in fleet.hosts[1].usable())
    restarted = restart_all(fleet)
    try:
        rest = [take_up(restarted.hosts[2], *stream) for stream in begun]
        assert count_joined(begun, rest) == 0
        assert {response.status for response in rest} <= {200, 503}
    finally:
        restarted.stop()


# Guards against take-ups at the version that is left when the one that began the
# streams has gone and all hosts were killed (last report of issue 31).
@pytest.mark.parametrize('gone', ['engine-1', 'engine-2'])
def test_no_stream_is_joined_from_two_versions_after_its_version_has_gone(
    gone: str, fleet: RunningFleet
) -> None:
    add_breaking(fleet)
    begun = streams_of(fleet, STREAMS, fleet.hosts[1])
    gevent.sleep(0.3)
    fleet.store.delete(UPSTREAM_PREFIX + gone)
    fleet.hosts[1].wait(lambda: gone not in fleet.hosts[1].usable())
    restarted = restart_all(fleet)
    try:
        rest = [take_up(restarted.hosts[2], *stream) for stream in begun]
        assert count_joined(begun, rest) == 0
        assert {response.status for response in rest} <= {200, 503}
    finally:
        restarted.stop()


# Guards against refusals of all take-ups after all hosts were killed (LOST on the day
# of the last report of issue 31).
@pytest.mark.parametrize('second_first', [True, False])
def test_streams_are_taken_up_at_their_version_after_all_hosts_were_killed(
    second_first: bool, fleet: RunningFleet
) -> None:
    add(fleet, 'engine-1', Versioned('1', break_off))
    if second_first:
        add(fleet, 'engine-2', Versioned('2', break_off))
    begun = streams_of(fleet, STREAMS, fleet.hosts[1])
    if not second_first:
        add(fleet, 'engine-2', Versioned('2', break_off))
    gevent.sleep(1.0)
    restarted = restart_all(fleet)
    try:
        rest = [take_up(restarted.hosts[2], *stream) for stream in begun]
        assert count_joined(begun, rest) == 0
        assert all(response.complete for response in rest)
        assert {response.status for response in rest} == {200}
    finally:
        restarted.stop()


# Guards against take-ups that are refused, as the store came back from a copy and lost
# the origins of streams, before all hosts were killed.
def test_streams_are_taken_up_after_a_restore_and_the_kill_of_all_hosts(
    fleet: RunningFleet,
) -> None:
    add_breaking(fleet)
    copy = fleet.store.copy()
    begun = streams_of(fleet, STREAMS, fleet.hosts[1])
    gevent.sleep(1.0)
    fleet.store.restore(copy)
    for host in fleet.hosts:
        host.wait(lambda host=host: host.router.feed.era() == fleet.store.era)
    gevent.sleep(1.5)
    restarted = restart_all(fleet)
    try:
        for host in restarted.hosts:
            host.wait(lambda host=host: host.router.not_ready() is None)
        rest = [take_up(restarted.hosts[2], *stream) for stream in begun]
        assert count_joined(begun, rest) == 0
        assert all(response.complete for response in rest)
        assert {response.status for response in rest} == {200}
    finally:
        restarted.stop()


def test_streams_are_taken_up_after_all_hosts_were_killed_if_one_version_served(
    fleet: RunningFleet,
) -> None:
    add(fleet, 'engine-1', Versioned('1', break_off))
    add(fleet, 'engine-2', Versioned('1', break_off))
    begun = streams_of(fleet, STREAMS, fleet.hosts[1])
    restarted = restart_all(fleet)
    try:
        rest = [take_up(restarted.hosts[2], *stream) for stream in begun]
        assert all(response.complete for response in rest)
    finally:
        restarted.stop()
