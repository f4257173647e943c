"""Tests that upstreams get no more requests than the limit they state."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

import gevent
import pytest
from routers import RunningFleet

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import ManualClock
from rosemaryseam.router.documentcodec import UPSTREAM_PREFIX
from rosemaryseam.router.headercodec import open_header_codec
from rosemaryseam.router.requestlimits import MIN_LIMIT, LimitReport, RequestLimits
from rosemaryseam.router.upstreams import Upstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from routers import Response, RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange, ScriptedUpstream

SETTLED_S = 1.0  # after the first statement; limits hold from then on
WINDOW_S = 4.0
LOAD_S = 6.0
CALLS_PER_S = 40.0


class Limited:
    """An upstream's script that states a limit, which the test can change."""

    def __init__(self, limit: str | None) -> None:
        self.limit = limit

    def __call__(self, exchange: ScriptedExchange) -> None:
        """Answer in the form that the route asks for."""
        more = {} if self.limit is None else {'X_Upstream_Request_Limit': self.limit}
        if exchange.request.target.startswith(('/stream', '/once')):
            exchange.start_stream(**more)
            exchange.event(1)
            exchange.end_stream()
        else:
            exchange.answer(200, b'answer', exchange.headers(**more))


class Load(NamedTuple):
    """Calls that were made, and when they began."""

    began_at: float
    responses: list[Response]

    def statuses(self) -> set[int]:
        """Return the statuses of all answers."""
        return {response.status for response in self.responses}


def allowed(limit: float) -> float:
    """Return the most requests in a window, as the promise to upstreams states it."""
    return 1.5 * limit * WINDOW_S + 5


def busiest_window(upstream: ScriptedUpstream, since: float) -> int:
    """Return the most requests that an upstream got in a window after a time."""
    times = [request.at for request in upstream.requests if request.at >= since]
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def run_load(
    hosts: list[RunningRouter],
    route: str,
    seconds: float = LOAD_S,
    per_second: float = CALLS_PER_S,
) -> Load:
    """Call hosts in turn at a steady rate."""
    began_at = gevent.get_hub().loop.now()
    calls = []
    turns = itertools.cycle(hosts)
    for _ in range(int(seconds * per_second)):
        calls.append(gevent.spawn(next(turns).call, route))
        gevent.sleep(1 / per_second)
    gevent.joinall(calls)
    return Load(began_at, [call.get() for call in calls])


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Yield three hosts without upstreams."""
    running = RunningFleet(3)
    yield running
    running.stop()


LIMITS = [
    ('0', 'safe'),
    ('0.5', 'unsafe'),
    ('1', 'safe'),
    ('1', 'stream'),
    ('4.5', 'unsafe'),
    ('4.5', 'once'),
]


# Guards against hosts that ignore the limit, or keep it each for itself (inc1).
@pytest.mark.parametrize(('limit', 'route'), LIMITS)
def test_a_limited_upstream_gets_no_more_requests_than_it_states(
    fleet: RunningFleet, limit: str, route: str
) -> None:
    limited = fleet.add('one', Limited(limit))
    fleet.add('two', Limited(None))
    load = run_load(fleet.hosts, route)
    assert load.statuses() == {200}
    count = busiest_window(limited, load.began_at + SETTLED_S)
    assert count <= allowed(float(limit))
    if float(limit) >= 1:
        assert count >= 0.5 * float(limit) * WINDOW_S  # the limit is also used


# Guards against refusals that exceed the limit of the last upstreams, or lie (inc1).
@pytest.mark.parametrize('route', ['safe', 'unsafe'])
def test_callers_are_refused_when_all_upstreams_are_at_their_limit(
    fleet: RunningFleet, route: str
) -> None:
    upstreams = [fleet.add(name, Limited('1')) for name in ('one', 'two')]
    load = run_load(fleet.hosts, route)
    assert load.statuses() == {200, 503}
    for upstream in upstreams:
        assert busiest_window(upstream, load.began_at + SETTLED_S) <= allowed(1)
    refused = [entry for entry in load.responses if entry.status == 503]
    waits = [float(entry.headers['retry-after']) for entry in refused]
    assert all(0.0 < wait <= 3.0 for wait in waits)
    assert sum(len(upstream.requests) for upstream in upstreams) == (
        len(load.responses) - len(refused)
    )


def stop_dispatcher(fleet: RunningFleet) -> list[RunningRouter]:
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


CHANGES = [stop_dispatcher, drain_dispatcher, silence_dispatcher]


# Guards against a new dispatcher that starts without the limits, or beside one (inc1).
@pytest.mark.parametrize('change', CHANGES, ids=lambda change: change.__name__)
def test_a_limit_holds_when_its_dispatcher_changes(
    fleet: RunningFleet, change: Callable[[RunningFleet], list[RunningRouter]]
) -> None:
    limited = fleet.add('one', Limited('1'))
    fleet.add('two', Limited(None))
    load = run_load(fleet.hosts, 'safe', 2.0)
    remaining = change(fleet)
    more = run_load(remaining, 'safe')
    assert load.statuses() | more.statuses() == {200}
    assert busiest_window(limited, load.began_at + SETTLED_S) <= allowed(1)


# Guards against limits that outlive what the upstream says (inc1).
@pytest.mark.parametrize('route', ['safe', 'stream'])
def test_a_limit_ends_when_answers_no_longer_state_it(
    fleet: RunningFleet, route: str
) -> None:
    script = Limited('1')
    limited = fleet.add('one', script)
    fleet.add('two', Limited(None))
    run_load(fleet.hosts, route, 2.0)
    script.limit = None
    run_load(fleet.hosts, route, 3.0)
    # Whether it gets work beside others is up to placement, which prefers fast ones.
    fleet.store.delete(UPSTREAM_PREFIX + 'two')
    for host in fleet.hosts:
        host.wait(lambda host=host: 'two' not in host.usable())
    before = len(limited.requests)
    load = run_load(fleet.hosts, route, 2.0)
    assert load.statuses() == {200}
    assert len(limited.requests) - before == len(load.responses)


class SlowAtFirst(Limited):
    """A limited upstream whose first answer is slow."""

    def __init__(self, limit: str | None) -> None:
        super().__init__(limit)
        self._answered = False

    def __call__(self, exchange: ScriptedExchange) -> None:
        """Answer, at first after a while."""
        gevent.sleep(0.0 if self._answered else 0.03)
        self._answered = True
        super().__call__(exchange)


# Guards against an upstream that is left out for seconds for one slow answer, when few
# others are known of it.
def test_a_slow_first_answer_costs_no_share_of_later_requests(
    fleet: RunningFleet,
) -> None:
    script = SlowAtFirst('1')
    limited = fleet.add('one', script)
    fleet.add('two', Limited(None))
    run_load(fleet.hosts, 'safe', 2.0)
    script.limit = None
    run_load(fleet.hosts, 'safe', 3.0)
    before = len(limited.requests)
    load = run_load(fleet.hosts, 'safe', 2.0)
    assert len(limited.requests) - before >= 0.2 * len(load.responses)


class Answer(NamedTuple):
    """An answer that states a limit, with its times in seconds."""

    limit: float | None
    asked_at: float
    heard_at: float


def upstream(name: str = 'one', born: int = 1) -> Upstream:
    """Return an incarnation of an upstream."""
    return Upstream(name, born, 'work', Address('10.0.0.1', 80), 'a', 4)


def record(limits: RequestLimits, clock: ManualClock, answers: list[Answer]) -> None:
    """Record answers at the times at which they were heard."""
    for answer in answers:
        clock.advance(answer.heard_at - clock.monotonic())
        limits.record_answer(('one', 1), answer.limit, answer.asked_at)


STATEMENTS = [
    ('none', [Answer(None, 0, 1)], None),
    ('one', [Answer(2.0, 0, 1)], 2.0),
    ('a new one', [Answer(2.0, 0, 1), Answer(0.5, 0, 2)], 0.5),
    ('asked for before', [Answer(2.0, 0, 2), Answer(None, 1, 3)], 2.0),
    ('asked for after', [Answer(2.0, 0, 2), Answer(None, 2.5, 3)], None),
    ('none, then one', [Answer(None, 0, 1), Answer(2.0, 0, 2)], 2.0),
]


@pytest.mark.parametrize(
    ('name', 'answers', 'limit'), STATEMENTS, ids=[row[0] for row in STATEMENTS]
)
def test_the_limit_is_what_answers_said_last(
    name: str, answers: list[Answer], limit: float | None
) -> None:
    clock = ManualClock()
    limits = RequestLimits(clock)
    record(limits, clock, answers)
    assert limits.get(('one', 1)) == limit
    assert limits.get(('one', 2)) is None


REPORTS = [
    ('nothing known', [], LimitReport('one', 1, 2.0, 1.0), 2.0),
    ('newer', [Answer(3.0, 0, 1)], LimitReport('one', 1, 2.0, 1.0), 2.0),
    ('older', [Answer(3.0, 0, 4.5)], LimitReport('one', 1, 2.0, 1.0), 3.0),
    ('ended', [Answer(3.0, 0, 1)], LimitReport('one', 1, None, 0.0), None),
    ('ended before', [Answer(3.0, 0, 4.5)], LimitReport('one', 1, None, 1.0), 3.0),
    (
        'ended here before',
        [Answer(3.0, 0, 1), Answer(None, 2, 4.5)],
        LimitReport('one', 1, 3.0, 2.0),
        None,
    ),
]


@pytest.mark.parametrize(
    ('name', 'answers', 'report', 'limit'), REPORTS, ids=[row[0] for row in REPORTS]
)
def test_the_newest_of_answers_and_reports_counts(
    name: str, answers: list[Answer], report: LimitReport, limit: float | None
) -> None:
    clock = ManualClock()
    limits = RequestLimits(clock)
    record(limits, clock, answers)
    clock.advance(5.0 - clock.monotonic())
    limits.adopt(report, '10.0.0.2')
    assert limits.get(('one', 1)) == limit


RATES = [
    ('whole', 2.0, 1.0, 2.0),
    ('share', 6.0, 0.25, 1.5),
    ('zero', 0.0, 1.0, MIN_LIMIT),
    ('large', 30.0, 1.0, 30.0),
]


@pytest.mark.parametrize(
    ('name', 'limit', 'share', 'rate'), RATES, ids=[row[0] for row in RATES]
)
def test_requests_are_admitted_at_the_share_of_the_limit(
    name: str, limit: float, share: float, rate: float
) -> None:
    clock = ManualClock()
    limits = RequestLimits(clock)
    limits.record_answer(('one', 1), limit, 0.0)
    admitted = 0
    for _ in range(4000):
        clock.advance(0.005)
        if limits.open_upstreams([upstream()], lambda: share):
            limits.charge(upstream())
            admitted += 1
    assert 20 * rate <= admitted <= 20 * rate + 1
    if not limits.open_upstreams([upstream()], lambda: share):
        clock.advance(limits.opens_in_s([upstream()]) + 0.001)
        assert limits.open_upstreams([upstream()], lambda: share)


def test_what_has_no_limit_is_always_open() -> None:
    limits = RequestLimits(ManualClock())
    limits.record_answer(('one', 1), 1.0, 0.0)
    others = [upstream('two'), upstream('one', born=2)]
    for _ in range(100):
        assert limits.open_upstreams([upstream(), *others], lambda: 1.0) == others
        for other in others:
            limits.charge(other)
    limits.retain([('two', 1)])
    assert limits.get(('one', 1)) is None
    assert limits.reports({'one', 'two'}) == []


HEADERS = [
    (b'1', 1.0),
    (b'1.25', 1.25),
    (b'0', 0.0),
    (b' 3 ', 3.0),
    (b'', None),
    (b'many', None),
    (b'-1', None),
    (b'nan', None),
    (b'inf', None),
]


@pytest.mark.parametrize(('value', 'limit'), HEADERS)
def test_a_limit_is_decoded(value: bytes, limit: float | None) -> None:
    fields = [(b'X-Upstream-Request-Limit', value)]
    assert open_header_codec().decode_answer(200, b'', fields).request_limit == limit
