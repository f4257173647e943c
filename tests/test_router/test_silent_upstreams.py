"""Tests answers of upstreams that fall silent for a moment and then go on."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING, Any

import gevent
import pytest
from routers import RunningRouter, configuration

from rosemaryseam.policy.retrybudget import RetryBudgetLimits
from rosemaryseam.router.documentcodec import CONFIGURATION_KEY, UPSTREAM_PREFIX
from rosemaryseam.router.routes import EngineProfile

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from routers import Response

    from rosemaryseam.standins.scripted import ScriptedExchange

EVENTS = 4
BEFORE_SILENCE = 2  # events
SILENCE_S = 1.6
TAKEOVER_S = 0.4  # by then a replaced upstream must stop to work on a request
EVENT_DELAY_S = 0.12  # from the upstream to the caller
NO_RETRIES = RetryBudgetLimits(0.0, 0.0, 10.0)
_OWN_PARTS = itertools.count(0x2000)


@pytest.fixture
def start_router() -> Iterator[Callable[..., RunningRouter]]:
    """Return a function that starts a router whose upstreams are engines."""
    started = []

    def start(**changes: Any) -> RunningRouter:
        running = RunningRouter(**changes)
        started.append(running)
        running.start()
        use_engines(running)
        return running

    yield start
    for running in started:
        running.stop()


def use_engines(router: RunningRouter) -> None:
    """Make the upstreams of the router's table engines."""
    services = router.router.feed.table.services
    engine = EngineProfile(16, 100_000, 1, shares_cache=False)
    services['work'] = services['work']._replace(engine=engine)


def call(router: RunningRouter, route: str) -> Response:
    """Send a request with a prompt to an engine."""
    return router.call(
        route,
        headers={
            'X-Prompt-Parts': f'a:50,{next(_OWN_PARTS):x}:50',
            'X-Token-Counts': '100,10',
        },
        patience_ms=8000,
    )


def falling_silent(exchange: ScriptedExchange) -> None:
    """Answer with a stream that pauses after some events."""
    exchange.start_stream()
    for number in range(1, EVENTS + 1):
        if number == BEFORE_SILENCE + 1:
            gevent.sleep(SILENCE_S)
        exchange.event(number)
    exchange.end_stream()


def resume(exchange: ScriptedExchange) -> None:
    """Answer with the events after those that the caller has."""
    start = int(exchange.request.headers.get('last-event-id', '0'))
    exchange.start_stream()
    for number in range(start + 1, EVENTS + 1):
        exchange.event(number)
    exchange.end_stream()


def stay_silent(exchange: ScriptedExchange) -> None:
    """Answer nothing until the router leaves."""
    exchange.wait_for_caller_close(10.0)


def break_off(exchange: ScriptedExchange) -> None:
    """Close the connection instead of an answer."""
    exchange.close()


OTHER_UPSTREAMS = [
    ('no-other-upstream', None),
    ('the-other-declines', lambda exchange: exchange.decline()),
    ('the-other-fails', lambda exchange: exchange.answer(500)),
    ('the-other-breaks-off', break_off),
    ('the-other-is-silent-too', stay_silent),
]


# Guards against answers that end as a sound upstream was silent for a moment (LOST).
@pytest.mark.parametrize(
    'other',
    [row[1] for row in OTHER_UPSTREAMS],
    ids=[row[0] for row in OTHER_UPSTREAMS],
)
def test_answer_goes_on_after_a_silence_if_no_other_upstream_takes_over(
    start_router: Callable[..., RunningRouter],
    other: Callable[[ScriptedExchange], None] | None,
) -> None:
    router = start_router()
    router.add('one', falling_silent)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    if other is not None:
        router.add('two', other)
    response = sent.get(timeout=8.0)
    assert response.events() == [1, 2, 3, 4]
    assert response.complete
    assert len(router.upstreams['one'].requests) == 1


# Guards against answers that end because an upstream that takes no connections was to
# go on with them (LOST).
def test_answer_goes_on_after_a_silence_if_the_other_upstream_is_down(
    start_router: Callable[..., RunningRouter],
) -> None:
    router = start_router()
    router.add('one', falling_silent)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    router.add('two', resume).stop()
    response = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)


# Guards against answers that end after a silence as no retry is allowed (LOST).
@pytest.mark.parametrize(
    ('settings', 'max_runs'),
    [({'retry_budget_limits': NO_RETRIES}, 2), ({}, 1)],
    ids=['no-retry-budget', 'one-run'],
)
def test_answer_goes_on_after_a_silence_if_no_retry_is_allowed(
    start_router: Callable[..., RunningRouter],
    settings: dict[str, Any],
    max_runs: int,
) -> None:
    router = start_router(**settings)
    routes = router.router.feed.table.routes
    for route in routes:
        if route.name == 'long':
            changed = route._replace(max_runs=max_runs)
            router.router.feed.table._by_host[route.host][route.prefix] = changed
    router.add('one', falling_silent)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    two = router.add('two', resume)
    response = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)
    assert not two.requests


CHANGES = [
    ('key-revoked', {'workspaces': [{'name': 'north', 'keys': ['another']}]}),
    ('route-removed', {'routes': []}),
    ('service-removed', {'services': []}),
]


# Guards against answers that end after a silence beside a configuration change (LOST).
@pytest.mark.parametrize(
    'changes', [row[1] for row in CHANGES], ids=[row[0] for row in CHANGES]
)
def test_answer_goes_on_after_a_silence_beside_a_change(
    start_router: Callable[..., RunningRouter], changes: dict[str, Any]
) -> None:
    router = start_router()
    router.add('one', falling_silent)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    router.add('two', resume)
    router.store.put(CONFIGURATION_KEY, configuration(2, **changes))
    router.wait(lambda: router.router.feed.table.version == 2)
    response = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)


def test_another_upstream_takes_over_from_one_that_stays_silent(
    start_router: Callable[..., RunningRouter],
) -> None:
    router = start_router()
    left_at: list[float] = []
    begun_at: list[float] = []

    def stop_midway(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        for number in range(1, BEFORE_SILENCE + 1):
            exchange.event(number)
        if exchange.wait_for_caller_close(8.0):
            left_at.append(router.clock.monotonic())

    def go_on(exchange: ScriptedExchange) -> None:
        begun_at.append(router.clock.monotonic())
        resume(exchange)

    router.add('one', stop_midway)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    two = router.add('two', go_on)
    response = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)
    assert [one.headers['last-event-id'] for one in two.requests] == ['2']
    router.wait(lambda: bool(left_at))
    assert left_at[0] - begun_at[0] < TAKEOVER_S


def test_silent_upstream_that_goes_on_keeps_its_answer(
    start_router: Callable[..., RunningRouter],
) -> None:
    router = start_router()
    router.add('one', falling_silent)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    left: list[bool] = []

    def wait(exchange: ScriptedExchange) -> None:
        left.append(exchange.wait_for_caller_close(3.0))

    router.add('two', wait)
    response = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)
    router.wait(lambda: left == [True])


# Guards against answers that are waited for although their upstream has crashed.
@pytest.mark.parametrize(
    ('route', 'seen', 'complete'),
    [('long', [1, 2, 3, 4], True), ('once', [1, 2], False)],
)
def test_silent_upstream_that_started_again_ends_its_requests(
    start_router: Callable[..., RunningRouter],
    route: str,
    seen: list[int],
    complete: bool,
) -> None:
    router = start_router()

    def answer(exchange: ScriptedExchange) -> None:
        if 'last-event-id' in exchange.request.headers:
            resume(exchange)
            return
        exchange.start_stream()
        for number in range(1, BEFORE_SILENCE + 1):
            exchange.event(number)
        exchange.wait_for_caller_close(10.0)

    one = router.add('one', answer)
    sent = gevent.spawn(call, router, route)
    router.wait(lambda: len(one.requests) == 1)
    router.store.delete(UPSTREAM_PREFIX + 'one')
    router.store.put(UPSTREAM_PREFIX + 'again', one.registry_entry('work', born=2))
    response = sent.get(timeout=1.8)
    assert (response.events(), response.complete) == (seen, complete)


def drip(exchange: ScriptedExchange, seconds: float) -> None:
    """Send comment lines, which belong to no event yet."""
    for _ in range(round(seconds / 0.1)):
        gevent.sleep(0.1)
        exchange.chunk(b':\n')


# Guards against a stream that ends as the upstream that was to go on with it answers
# that it can't (LOST).
@pytest.mark.parametrize('status', [404, 400, 410])
def test_answer_goes_on_after_a_silence_if_the_other_upstream_refuses_to_resume(
    start_router: Callable[..., RunningRouter], status: int
) -> None:
    router = start_router()
    router.add('one', falling_silent)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    router.add('two', lambda exchange: exchange.answer(status, b'no such stream'))
    response = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)


# Guards against an upstream that is given up for one that has sent no event yet (LOST).
def test_answer_goes_on_after_a_silence_if_the_other_breaks_off_before_an_event(
    start_router: Callable[..., RunningRouter],
) -> None:
    def break_off_after_a_comment(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        exchange.chunk(b':\n')
        gevent.sleep(0.1)
        exchange.close()

    router = start_router()
    router.add('one', falling_silent)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    router.add('two', break_off_after_a_comment)
    response = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)


# Guards against events that wait for the end of an attempt to replace their upstream.
def test_event_after_a_drip_of_bytes_is_not_held_back_by_an_attempt_to_take_over(
    start_router: Callable[..., RunningRouter],
) -> None:
    router = start_router()
    made_at: list[float] = []
    clock = router.clock

    def go_on_after_comments(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        for number in range(1, BEFORE_SILENCE + 1):
            exchange.event(number)
        drip(exchange, SILENCE_S)
        made_at.append(clock.monotonic())
        for number in range(BEFORE_SILENCE + 1, EVENTS + 1):
            exchange.event(number)
        exchange.end_stream()

    router.add('one', go_on_after_comments)
    sent = gevent.spawn(lambda: (call(router, 'long'), clock.monotonic()))
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    router.add('two', stay_silent)
    response, ended_at = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)
    assert ended_at - made_at[0] < EVENT_DELAY_S


# Guards against two upstreams that work on one request.
def test_silent_upstream_stops_soon_after_another_one_got_the_request(
    start_router: Callable[..., RunningRouter],
) -> None:
    router = start_router()
    left_at: list[float] = []
    begun_at: list[float] = []

    def stop_midway(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        exchange.event(1)
        if exchange.wait_for_caller_close(8.0):
            left_at.append(router.clock.monotonic())

    def go_on_later(exchange: ScriptedExchange) -> None:
        gevent.sleep(1.0)  # a request begins to run with its first token
        begun_at.append(router.clock.monotonic())
        resume(exchange)

    router.add('one', stop_midway)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    router.add('two', go_on_later)
    response = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)
    router.wait(lambda: bool(left_at))
    assert left_at[0] - begun_at[0] < TAKEOVER_S


# Guards against a pause of the router that is taken for a silence of its upstream.
def test_pause_of_the_router_is_no_silence_of_its_upstreams(
    start_router: Callable[..., RunningRouter],
) -> None:
    router = start_router()

    def pause_midway(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        exchange.event(1)
        gevent.sleep(0.2)
        # The rest arrives while the router, in the same process, gets no turn.
        for number in range(2, EVENTS + 1):
            exchange.event(number)
        time.sleep(1.3)
        gevent.sleep(0.3)
        exchange.end_stream()

    router.add('one', pause_midway)
    sent = gevent.spawn(call, router, 'long')
    router.wait(lambda: len(router.upstreams['one'].requests) == 1)
    two = router.add('two', resume)
    response = sent.get(timeout=8.0)
    assert (response.events(), response.complete) == ([1, 2, 3, 4], True)
    assert not two.requests
    books = router.router.tracker.dump()
    assert not books['one']['paused']


# Guards against upstreams that work on after a request ended amid an attempt to take
# over.
@pytest.mark.parametrize('patience_ms', [8000, 1500], ids=['caller-leaves', 'deadline'])
def test_both_upstreams_stop_when_a_request_ends_amid_an_attempt_to_take_over(
    start_router: Callable[..., RunningRouter], patience_ms: int
) -> None:
    router = start_router()
    left: dict[str, float] = {}

    def hang(name: str) -> Callable[[ScriptedExchange], None]:
        def script(exchange: ScriptedExchange) -> None:
            if name == 'one':
                exchange.start_stream()
                exchange.event(1)
            if exchange.wait_for_caller_close(8.0):
                left[name] = router.clock.monotonic()

        return script

    router.add('one', hang('one'))
    with router.connection() as conn:
        sent = gevent.spawn(
            conn.call,
            'long',
            headers={'X-Prompt-Parts': 'a:50,77:50', 'X-Token-Counts': '100,10'},
            patience_ms=patience_ms,
        )
        router.wait(lambda: len(router.upstreams['one'].requests) == 1)
        two = router.add('two', hang('two'))
        router.wait(lambda: len(two.requests) == 1)
        if patience_ms < 2000:
            sent.get(timeout=4.0)
        else:
            gevent.sleep(0.1)
            sent.kill()
    ended_at = router.clock.monotonic()
    router.wait(lambda: len(left) == 2)
    assert max(left.values()) - ended_at < 0.5
    books = router.router.tracker.dump()
    assert not any(entry['requests'] for entry in books.values())


# Guards against a caller that reads slowly being taken for a silence of the upstream.
def test_slow_caller_is_no_silence_of_its_upstream(
    start_router: Callable[..., RunningRouter],
) -> None:
    router = start_router()
    events = 160

    def send_much(exchange: ScriptedExchange) -> None:
        start = int(exchange.request.headers.get('last-event-id', '0'))
        exchange.start_stream()
        for number in range(start + 1, events + 1):
            exchange.event(number, 'x' * 120_000)
        exchange.end_stream()

    router.add('one', send_much)
    with router.connection() as conn:
        read, conn.read = conn.read, lambda: None  # type: ignore[method-assign]
        conn.call(
            'long',
            headers={'X-Prompt-Parts': 'a:50,78:50', 'X-Token-Counts': '100,10'},
            patience_ms=8000,
        )
        router.wait(lambda: len(router.upstreams['one'].requests) == 1)
        two = router.add('two', send_much)
        gevent.sleep(1.5)
        response = read()
    assert (len(response.events()), response.complete) == (events, True)
    assert not two.requests


# Guards against a retry budget that is overrun when an engine falls silent.
def test_callers_of_one_silent_upstream_share_the_retry_budget(
    start_router: Callable[..., RunningRouter],
) -> None:
    callers = 12
    router = start_router(retry_budget_limits=RetryBudgetLimits(0.0, 5.0, 10.0))

    def stop_midway(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        exchange.event(1)
        exchange.wait_for_caller_close(6.0)

    router.add('one', stop_midway)
    sent = [gevent.spawn(call, router, 'long') for _ in range(callers)]
    router.wait(lambda: len(router.upstreams['one'].requests) == callers)
    two = router.add('two', resume)
    gevent.sleep(2.5)
    gevent.killall(sent)
    assert 1 <= len(two.requests) <= 5
