"""Tests what upstreams say in answers about further requests: leaving and quiet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from routers import RunningFleet, RunningRouter

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import ManualClock
from rosemaryseam.router.headercodec import open_header_codec
from rosemaryseam.router.quiet import MAX_QUIET_S, QuietPeriods
from rosemaryseam.router.upstreams import Upstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.standins.scripted import ScriptedExchange

LEAVING = {'X_Upstream_Leaving': '1'}


def answer(exchange: ScriptedExchange) -> None:
    """Answer as an upstream that stays."""
    exchange.answer(200, b'answer')


def answer_leaving(exchange: ScriptedExchange) -> None:
    """Answer as an upstream that leaves."""
    exchange.answer(200, b'answer', exchange.headers(**LEAVING))


def decline_leaving(exchange: ScriptedExchange) -> None:
    """Refuse as an upstream that leaves."""
    exchange.answer(503, b'', exchange.headers(X_Not_Run='1', **LEAVING))


def fail_leaving(exchange: ScriptedExchange) -> None:
    """Fail as an upstream that leaves."""
    exchange.answer(500, b'', exchange.headers(**LEAVING))


def stream_leaving(exchange: ScriptedExchange) -> None:
    """Stream as an upstream that leaves."""
    exchange.start_stream(**LEAVING)
    exchange.event(1)
    gevent.sleep(0.3)
    exchange.event(2)
    exchange.end_stream()


def announce_in_an_informational_head(exchange: ScriptedExchange) -> None:
    """Say it in a head before the answer only."""
    exchange.send_raw(b'HTTP/1.1 103 Early Hints\r\nX-Upstream-Leaving: 1\r\n\r\n')
    answer(exchange)


def answer_another_request_first(exchange: ScriptedExchange) -> None:
    """Say it in a late answer to another request only."""
    fields = {'X-Request-Id': 'other', 'X-Upstream-Leaving': '1'}
    exchange.answer(200, b'late', fields)
    answer(exchange)


ANNOUNCEMENTS = [
    ('safe', answer_leaving),
    ('unsafe', answer_leaving),
    ('safe', decline_leaving),
    ('unsafe', decline_leaving),
    ('safe', fail_leaving),
    ('unsafe', fail_leaving),
    ('stream', stream_leaving),
    ('once', stream_leaving),
    ('safe', announce_in_an_informational_head),
    ('unsafe', answer_another_request_first),
]


@pytest.mark.parametrize(('route', 'script'), ANNOUNCEMENTS)
def test_an_upstream_that_says_it_leaves_gets_no_new_request(
    route: str, script: Callable[[ScriptedExchange], None], router: RunningRouter
) -> None:
    leaving = router.add('one', script)
    first = router.call(route)
    assert first.status in (200, 500, 503)
    staying = router.add('two', answer)
    for _ in range(4):
        assert router.call('safe').status == 200
    router.register('one', slots=9)  # the store still says that it is ready
    entries = router.router.registry._entries
    router.wait(lambda: entries['one'].upstream.slots == 9)
    for _ in range(4):
        assert router.call('safe').status == 200
    assert len(leaving.requests) == 1
    assert len(staying.requests) == 8
    router.register('one', born=2)  # a new start under the same id
    router.wait(lambda: 'one' in router.usable())


def test_the_head_of_a_stream_counts_before_its_end(router: RunningRouter) -> None:
    leaving = router.add('one', stream_leaving)
    first = gevent.spawn(router.call, 'stream')
    router.wait(lambda: 'one' not in router.usable())
    assert not first.ready()
    assert router.call('safe').status == 503
    assert first.get().events() == [1, 2]
    assert len(leaving.requests) == 1


@pytest.mark.parametrize('value', ['0', '', 'soon', '11'])
def test_other_values_do_not_say_that_an_upstream_leaves(
    value: str, router: RunningRouter
) -> None:
    router.add(
        'one',
        lambda exchange: exchange.answer(
            200, b'', exchange.headers(X_Upstream_Leaving=value)
        ),
    )
    assert router.call('safe').status == router.call('safe').status == 200


def test_the_dispatcher_learns_at_once_that_an_upstream_leaves() -> None:
    fleet = RunningFleet(3)
    try:
        leaving = fleet.add('one', answer_leaving)
        fleet.add('two', answer)
        dispatcher = fleet.dispatcher()
        asker, other = (host for host in fleet.hosts if host is not dispatcher)
        for _ in range(20):
            if not leaving.requests:
                assert asker.call('safe').status == 200
        assert len(leaving.requests) == 1
        dispatcher.wait(lambda: 'one' not in dispatcher.usable(), 0.5)
        for _ in range(6):
            assert other.call('safe').status == 200
        assert len(leaving.requests) == 1
    finally:
        fleet.stop()


def decline_for(seconds: str) -> Callable[[ScriptedExchange], None]:
    """Return a script that turns requests away for some time."""

    def decline(exchange: ScriptedExchange) -> None:
        fields = exchange.headers(X_Not_Run='1', Retry_After=seconds)
        exchange.answer(503, b'', fields)

    return decline


@pytest.mark.parametrize('route', ['safe', 'unsafe', 'stream', 'once'])
def test_a_quiet_upstream_gets_no_request_until_its_time_is_over(
    route: str, router: RunningRouter
) -> None:
    quiet = router.add('one', decline_for('0.6'))
    assert router.call(route).status == 503
    busy = router.add('two', answer)
    for _ in range(8):
        assert router.call('safe').status == 200
    assert len(quiet.requests) == 1
    assert len(busy.requests) == 8
    quiet.script = answer
    busy.stop()
    gevent.sleep(0.6)
    router.wait(lambda: router.call('safe').status == 200)
    assert len(quiet.requests) > 1


@pytest.mark.parametrize('route', ['safe', 'unsafe'])
def test_callers_come_back_when_the_first_upstream_wants_requests(
    route: str, router: RunningRouter
) -> None:
    slow, soon = (
        router.add('one', decline_for('9')),
        router.add('two', decline_for('3')),
    )
    responses = [router.call(route) for _ in range(6)]
    waits = [float(response.headers['retry-after']) for response in responses]
    assert {response.status for response in responses} == {503}
    assert all(2.8 <= wait <= 3.8 for wait in waits)
    assert len(set(waits)) > 1
    assert len(slow.requests) == len(soon.requests) == 1


def test_a_broken_stream_does_not_move_to_a_quiet_upstream(
    router: RunningRouter,
) -> None:
    def break_off(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        exchange.event(1)
        exchange.close()

    quiet = router.add('one', decline_for('5'))
    router.call('safe')
    broken = router.add('two', break_off)
    router.call('stream')
    assert len(quiet.requests) == 1
    assert len(broken.requests) == 1


RETRY_AFTERS = [
    (503, b'2', 2.0),
    (503, b'0.25', 0.25),
    (503, b'0', None),
    (503, b'-1', None),
    (503, b'nan', None),
    (503, b'inf', None),
    (503, b'soon', None),
    (503, b'Wed, 21 Oct 2026 07:28:00 GMT', None),
    (200, b'2', None),
    (429, b'2', None),
]


@pytest.mark.parametrize(('status', 'value', 'seconds'), RETRY_AFTERS)
def test_retry_after_of_refusals(
    status: int, value: bytes, seconds: float | None
) -> None:
    head = open_header_codec().decode_answer(status, b'', [(b'Retry-After', value)])
    assert head.retry_after_s == seconds


def upstream(name: str, born: int = 1) -> Upstream:
    """Return an upstream."""
    return Upstream(name, born, 'work', Address('10.0.0.1', 80), 'a', 4)


PERIODS = [
    ('none', [], 0.0, set()),
    ('one', [('one', 2.0)], 1.0, {'one'}),
    ('one that is over', [('one', 2.0)], 2.0, set()),
    ('a shorter one changes nothing', [('one', 2.0), ('one', 0.5)], 1.0, {'one'}),
    ('a longer one extends it', [('one', 0.5), ('one', 2.0)], 1.0, {'one'}),
    ('two', [('one', 2.0), ('two', 0.5)], 1.0, {'one'}),
    ('one without end is bounded', [('one', 1e12)], MAX_QUIET_S, set()),
]


@pytest.mark.parametrize(
    ('name', 'starts', 'after_s', 'names'), PERIODS, ids=[row[0] for row in PERIODS]
)
def test_quiet_periods(
    name: str, starts: list[tuple[str, float]], after_s: float, names: set[str]
) -> None:
    clock = ManualClock()
    periods = QuietPeriods(clock)
    for one, seconds in starts:
        periods.start(upstream(one), seconds)
    clock.advance(after_s)
    assert periods.names([upstream('one'), upstream('two')]) == names


def test_a_new_start_of_an_upstream_is_not_quiet() -> None:
    periods = QuietPeriods(ManualClock())
    periods.start(upstream('one'), 5.0)
    assert periods.names([upstream('one', born=2)]) == set()
    assert periods.shortest_s([upstream('one'), upstream('one', 2)]) == 0.0
