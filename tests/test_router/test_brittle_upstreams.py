"""Tests that hosts together don't crash upstreams that stand few rejections."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import gevent
import pytest
from routers import RunningFleet

from rosemaryseam.router.headercodec import open_header_codec
from rosemaryseam.router.peers import PeerLink
from rosemaryseam.standins.brittle import BrittleScript

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from routers import Response, RunningRouter

BURST = 60  # requests at once, several times what the upstreams take
LIMIT = 4


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Yield four hosts without upstreams."""
    running = RunningFleet(4)
    yield running
    running.stop()


def add(fleet: RunningFleet, name: str, script: BrittleScript) -> BrittleScript:
    """Start an upstream with a script."""
    script.upstream = fleet.add(name, script)
    return script


def burst(hosts: list[RunningRouter], route: str, count: int = BURST) -> list[Response]:
    """Send requests at the same time through hosts in turn."""
    turns = itertools.cycle(hosts)
    calls = [gevent.spawn(next(turns).call, route) for _ in range(count)]
    gevent.joinall(calls)
    return [call.get() for call in calls]


def load(
    hosts: list[RunningRouter], route: str, seconds: float, per_second: float
) -> list[Response]:
    """Call hosts in turn at a steady rate."""
    calls = []
    turns = itertools.cycle(hosts)
    for _ in range(int(seconds * per_second)):
        calls.append(gevent.spawn(next(turns).call, route))
        gevent.sleep(1 / per_second)
    gevent.joinall(calls)
    return [call.get() for call in calls]


def check_unharmed(scripts: list[BrittleScript], share: float = 0.5) -> None:
    """Check the rejections of all hosts together, with margin to a crash.

    :param share: of the rejections at which an upstream crashes
    """
    most = [script.most_rejections_per_s() for script in scripts]
    assert max(most) <= LIMIT * share, most
    assert not any(script.crashes for script in scripts)


# Guards against hosts that each send what they would send alone.
@pytest.mark.parametrize('route', ['safe', 'unsafe', 'stream'])
def test_bursts_do_not_crash_brittle_upstreams(fleet: RunningFleet, route: str) -> None:
    scripts = [add(fleet, name, BrittleScript()) for name in ('one', 'two')]
    load(fleet.hosts, route, 2.5, 20.0)
    statuses: list[int] = []
    for _ in range(4):
        answers = burst(fleet.hosts, route)
        statuses += [answer.status for answer in answers]
        refused = [answer for answer in answers if answer.status == 503]
        waits = {float(answer.headers['retry-after']) for answer in refused}
        assert len(waits) > 1
        assert all(0.0 < wait <= 5.0 for wait in waits)
        gevent.sleep(0.3)
    assert set(statuses) == {200, 503}
    # The batch slots are used although the upstreams are brittle.
    assert statuses.count(200) >= 0.75 * 4 * 2 * 8
    check_unharmed(scripts)


# Guards against requests and retries in flight when upstreams begin to be brittle and
# queue fewer: they must not use up what each upstream stands.
@pytest.mark.parametrize('route', ['safe', 'once'])
def test_the_first_statement_under_overload_crashes_no_upstream(
    fleet: RunningFleet, route: str
) -> None:
    scripts = [
        add(fleet, name, BrittleScript(queue=24, limit=None, work_s=0.1))
        for name in ('one', 'two')
    ]
    calls = gevent.spawn(load, fleet.hosts, route, 5.0, 240.0)
    gevent.sleep(1.0)
    for script in scripts:
        script.rejected_at.clear()
        script.limit = str(LIMIT)
    gevent.sleep(1.0)
    served = sum(script.done for script in scripts)
    for script in scripts:
        script.queue = 2
    answers = calls.get()
    assert {answer.status for answer in answers} == {200, 503}
    check_unharmed(scripts)
    # 160 requests per second can be served while all slots are used.
    assert sum(script.done for script in scripts) - served > 0.7 * 160 * 3


def kill_dispatcher(fleet: RunningFleet) -> list[RunningRouter]:
    """Kill the dispatcher; return the hosts that are left."""
    dispatcher = fleet.dispatcher()
    dispatcher.router.kill()
    return [host for host in fleet.hosts if host is not dispatcher]


def drain_dispatcher(fleet: RunningFleet) -> list[RunningRouter]:
    """Stop the dispatcher as planned; return the hosts that are left."""
    dispatcher = fleet.dispatcher()
    dispatcher.router.request_stop()
    gevent.spawn(dispatcher.router.wait)
    return [host for host in fleet.hosts if host is not dispatcher]


def silence_dispatcher(fleet: RunningFleet) -> list[RunningRouter]:
    """Let a dispatcher that goes on get no more messages."""
    fleet.dispatcher().router.peers._receive_sock.close()
    return fleet.hosts


def silence_all(fleet: RunningFleet) -> list[RunningRouter]:
    """Let no host get messages, so that each dispatches in place of others."""
    for host in fleet.hosts:
        host.router.peers._receive_sock.close()
    return fleet.hosts


CHANGES = [kill_dispatcher, drain_dispatcher, silence_dispatcher, silence_all]


# Guards against a new dispatcher that knows neither statements nor requests in flight,
# and against hosts that dispatch in place of it and each use the whole room.
@pytest.mark.parametrize('change', CHANGES, ids=lambda change: change.__name__)
def test_a_change_of_dispatcher_crashes_no_upstream(
    fleet: RunningFleet, change: Callable[[RunningFleet], list[RunningRouter]]
) -> None:
    scripts = [
        add(fleet, name, BrittleScript(queue=2, work_s=0.2)) for name in ('one', 'two')
    ]
    load(fleet.hosts, 'safe', 1.0, 20.0)
    load(fleet.hosts, 'safe', 1.5, 160.0)
    answers = load(change(fleet), 'safe', 4.0, 160.0)
    assert {answer.status for answer in answers} <= {200, 503}
    # Hosts that hear no other host take themselves for the dispatcher.
    check_unharmed(scripts, 1.0 if change is silence_all else 0.5)
    if change is not silence_all:  # then only few requests are risked
        served = sum(answer.status == 200 for answer in answers)
        assert served > 0.4 * 80 * 4


# Guards against a burst on an upstream that is just back, and one that stays unused.
def test_an_upstream_that_returns_after_a_crash_is_loaded_slowly(
    fleet: RunningFleet,
) -> None:
    scripts = [add(fleet, name, BrittleScript()) for name in ('one', 'two')]
    load(fleet.hosts, 'safe', 1.0, 50.0)
    upstream = scripts[0].upstream
    calls = gevent.spawn(load, fleet.hosts, 'safe', 8.0, 300.0)
    gevent.sleep(0.5)
    upstream.stop()
    gevent.sleep(1.5)
    scripts[0].done = 0
    upstream.restart()
    gevent.sleep(1.0)
    early = scripts[0].done
    gevent.sleep(3.5)
    late = scripts[0].done
    gevent.sleep(1.0)
    assert early <= 0.6 * 160
    assert scripts[0].done - late >= 0.5 * 160
    calls.get()
    check_unharmed(scripts)


# Guards against limits that outlive the statement.
@pytest.mark.parametrize('route', ['safe', 'stream'])
def test_the_limit_ends_when_answers_no_longer_state_it(
    fleet: RunningFleet, route: str
) -> None:
    scripts = [add(fleet, name, BrittleScript(queue=2)) for name in ('one', 'two')]
    load(fleet.hosts, route, 1.0, 20.0)
    burst(fleet.hosts, route)
    assert rooms(fleet) == {'one', 'two'}
    for script in scripts:
        script.limit, script.queue = None, 100
    load(fleet.hosts, route, 2.5, 20.0)
    dispatcher = fleet.dispatcher().router.tracker.dump()
    assert [entry['brittle'] for entry in dispatcher.values()] == [None, None]
    answers = burst(fleet.hosts, route)
    assert {answer.status for answer in answers} == {200}


def rooms(fleet: RunningFleet) -> set[str]:
    """Return the names of the upstreams that the dispatcher takes to be brittle."""
    dump = fleet.dispatcher().router.tracker.dump()
    return {name for name, entry in dump.items() if entry['brittle'] is not None}


# Guards against a feature that acts, or costs messages, where nothing is stated.
def test_nothing_is_sent_or_limited_without_a_statement(
    fleet: RunningFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    kinds: list[str] = []
    send = PeerLink.send_message

    def record(link: PeerLink, host: str, kind: str, body: object) -> None:
        kinds.append(kind)
        send(link, host, kind, body)

    monkeypatch.setattr(PeerLink, 'send_message', record)
    add(fleet, 'one', BrittleScript(queue=100, limit=None))
    answers = burst(fleet.hosts, 'safe')
    assert {answer.status for answer in answers} == {200}
    assert 'brittle' not in kinds
    assert rooms(fleet) == set()
    add(fleet, 'two', BrittleScript())
    burst(fleet.hosts, 'safe')
    assert 'brittle' in kinds  # the recorder works


# Guards against callers that pretend to be brittle upstreams.
def test_the_header_is_not_forwarded_from_callers(fleet: RunningFleet) -> None:
    script = add(fleet, 'one', BrittleScript(limit=None))
    fleet.hosts[0].call('safe', headers={'X-Upstream-Brittle': '1'})
    assert 'x-upstream-brittle' not in script.upstream.requests[0].headers


HEADERS = [
    (b'4', 4.0),
    (b' 12.5 ', 12.5),
    (b'0', 0.0),
    (b'', None),
    (b'soon', None),
    (b'-1', None),
    (b'nan', None),
    (b'inf', None),
]


@pytest.mark.parametrize(('value', 'limit'), HEADERS)
def test_a_statement_is_decoded(value: bytes, limit: float | None) -> None:
    fields = [(b'X-Upstream-Brittle', value)]
    assert open_header_codec().decode_answer(200, b'', fields).brittle == limit
