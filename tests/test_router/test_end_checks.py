"""Tests what is taken for the end of an answer that does not mark its end itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest

from rosemaryseam.router.faults import NotSentError

if TYPE_CHECKING:
    from routers import RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange

EVENT = b'id: %d\ndata: x\n\n'


def events(first: int, last: int) -> bytes:
    """Return complete events with these numbers."""
    return b''.join(EVENT % number for number in range(first, last + 1))


# Guards against a crash that passes for an end, as the upstream had started again, and
# against an end that passes for a crash, as it was leaving before.
@pytest.mark.parametrize('leaving', [False, True], ids=['crashed', 'had left'])
@pytest.mark.parametrize('route', ['unsafe', 'once'])
def test_end_of_an_answer_whose_upstream_has_started_again(
    router: RunningRouter, route: str, leaving: bool
) -> None:
    def script(exchange: ScriptedExchange) -> None:
        exchange.start(200, exchange.headers(Content_Type='text/event-stream'))
        exchange.send_raw(events(1, 4))
        (old,) = router.router.registry.all()
        if leaving:
            router.register('one', leaving=True)
            router.wait(lambda: not router.usable())
        router.register('one', born=2)
        router.wait(lambda: router.router.registry.is_succeeded(old))
        exchange.close()

    router.add('one', script)
    response = router.call(route)
    assert (response.status == 200 and response.complete) is leaving


# Guards against a stream that ends as complete after one of its events, as the upstream
# that was to go on with it only repeated one (ORDER).
def test_stream_that_goes_on_with_old_events_is_seen_as_incomplete(
    router: RunningRouter,
) -> None:
    def script(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        if 'last-event-id' in exchange.request.headers:
            exchange.event(2)
            exchange.end_stream()
        else:
            exchange.event(1)
            exchange.event(2)
            exchange.close()

    router.add('one', script)
    router.add('two', script)
    response = router.call('stream')
    assert response.events() == [1, 2]
    assert not response.complete


BODYLESS = [('HEAD', 200), ('POST', 204), ('POST', 304)]


# Guards against whole answers without a body that fail as their upstream has closed its
# listener, and against a new connection for each.
@pytest.mark.parametrize('listens', [True, False], ids=['listens', 'no listener'])
@pytest.mark.parametrize(('method', 'status'), BODYLESS)
def test_answer_without_a_body_ends_with_its_head(
    router: RunningRouter, method: str, status: int, listens: bool
) -> None:
    def script(exchange: ScriptedExchange) -> None:
        if not listens:
            one._server.close()
        exchange.start(status, exchange.headers())

    one = router.add('one', script)
    assert router.call('unsafe', method=method).status == status
    assert one.connections == 1


# Guards against a whole answer that is lost as the check of its end took too long.
@pytest.mark.parametrize(
    ('route', 'body'), [('safe', b'whole'), ('once', events(1, 4))]
)
def test_whole_answer_is_passed_on_before_its_deadline(
    router: RunningRouter, route: str, body: bytes
) -> None:
    def connect(*_: object) -> None:
        gevent.sleep(0.3)
        raise NotSentError('timed out')

    def script(exchange: ScriptedExchange) -> None:
        router.router.paths.connect_socket = connect
        exchange.start(200, exchange.headers(Content_Type='text/event-stream'))
        exchange.send_raw(body)
        exchange.close()

    router.add('one', script)
    response = router.call(route, patience_ms=200)
    assert (response.status, response.body, response.complete) == (200, body, True)


# Guards against a crash that passes for an end, as the process still accepted a
# connection while it ended.
def test_stream_of_a_process_that_is_still_ending_is_no_complete_one(
    router: RunningRouter,
) -> None:
    def script(exchange: ScriptedExchange) -> None:
        exchange.start(200, exchange.headers(Content_Type='text/event-stream'))
        exchange.send_raw(events(1, 4))
        exchange.close()
        gevent.spawn_later(0.02, one.stop)

    one = router.add('one', script)
    response = router.call('once')
    assert response.body == events(1, 4)
    assert not response.complete


# Guards against whole answers that fail as the path to their upstream refuses new
# connections, while open ones live on.
@pytest.mark.parametrize('route', ['unsafe', 'once'])
def test_refused_connection_beside_an_open_one_is_no_crash(
    router: RunningRouter, route: str
) -> None:
    def refuse(*_: object) -> None:
        raise NotSentError('refused') from ConnectionRefusedError()

    def script(exchange: ScriptedExchange) -> None:
        if len(upstream.requests) <= 2:
            exchange.answer(200, b'whole')
            gevent.sleep(0.1)  # so that two connections are opened
            return
        router.router.paths.connect_socket = refuse
        exchange.start(200, exchange.headers(Content_Type='text/event-stream'))
        exchange.send_raw(events(1, 4))
        exchange.close()

    upstream = router.add('one', script)
    calls = [gevent.spawn(router.call, 'safe') for _ in range(2)]
    gevent.joinall(calls)
    response = router.call(route)
    assert (response.status, response.complete) == (200, True)
    assert response.body == events(1, 4)
