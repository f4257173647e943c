"""Tests whether each complete request ends with an answer or a refusal."""

from __future__ import annotations

import socket as std_socket
import time
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent import socket
from gevent.hub import get_hub
from routers import (
    KEY,
    ROUTES,
    HttpCaller,
    RunningFleet,
    RunningRouter,
    configuration,
)

from rosemaryseam.router.documentcodec import CONFIGURATION_KEY

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.standins.scripted import ScriptedExchange

REQUEST = (
    f'POST /safe/thing HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: {KEY}\r\n'
    'Content-Length: 4\r\n\r\nbody'
).encode()
HALF = len(REQUEST) // 2
END_S = 3.0  # in which an answer must have ended


def answer(exchange: ScriptedExchange) -> None:
    """Answer at once."""
    exchange.answer(200, b'done')


def read_status(sock: socket.socket) -> bytes:
    """Return the status of the next answer, empty if the connection ended."""
    data = b''
    with gevent.Timeout(END_S, False):
        try:
            while b'done' not in data and (part := sock.recv(65_536)):
                data += part
        except OSError:
            pass
    return data[9:12]


def put_routes(running: RunningRouter, routes: dict, **changes: object) -> None:
    """Write a configuration with these routes, before the router starts."""
    entries = [
        {'name': name, 'host': 'h.example', 'prefix': f'/{name}/', **fields}
        | {'services': [{'service': 'work'}]}
        for name, fields in routes.items()
    ]
    running.store.put(CONFIGURATION_KEY, configuration(2, routes=entries, **changes))


# Connections at the moment at which the router closes the idle ones.


def kept(running: RunningRouter) -> HttpCaller:
    """Return a connection on which a request was answered."""
    conn = HttpCaller(running.cfg.callers)
    assert conn.call('safe').status == 200
    return conn


def new(running: RunningRouter) -> HttpCaller:
    """Return a connection on which nothing was sent."""
    conn = HttpCaller(running.cfg.callers)
    running.wait(lambda: running.router.callers.open_connections == 1)
    return conn


UNREAD = [
    ('kept-connection', kept, 0),
    ('new-connection', new, 0),
    ('rest-of-a-head', kept, HALF),
]


# Guards against connections closed as idle with a complete request still unread.
@pytest.mark.parametrize(
    ('connect', 'sent_before'),
    [row[1:] for row in UNREAD],
    ids=[row[0] for row in UNREAD],
)
def test_a_request_that_arrives_as_idle_connections_close_is_answered(
    router: RunningRouter,
    connect: Callable[[RunningRouter], HttpCaller],
    sent_before: int,
) -> None:
    router.add('one', answer)
    conn = connect(router)
    conn.sock.sendall(REQUEST[:sent_before])
    gevent.sleep(0.05)
    conn.sock.sendall(REQUEST[sent_before:])  # the router gets no turn to read this
    router.router.callers.begin_drain()
    router.router.callers.close_idle()
    assert read_status(conn.sock) == b'200'
    conn.close()


# Guards against idle connections that a stop leaves open.
def test_connections_without_bytes_close_as_idle(router: RunningRouter) -> None:
    router.add('one', answer)
    conn = kept(router)
    router.router.callers.close_idle()
    assert read_status(conn.sock) == b''
    router.wait(lambda: not router.router.callers.open_connections)


# The time for a stop, how long a stream takes that began before, and the answer to a
# request whose time limit of 1 s ends before the stop, or may not.
LAST = [(4.0, 2.3, b'200'), (2.0, 1.2, b'503')]


# Guards against a process that exits with a complete request still unread.
@pytest.mark.parametrize('connection', ['in-the-accept-queue', 'kept-connection'])
@pytest.mark.parametrize(('grace_s', 'stream_s', 'status'), LAST)
def test_a_request_that_arrives_as_the_process_ends_is_answered(
    monkeypatch: pytest.MonkeyPatch,
    grace_s: float,
    stream_s: float,
    status: bytes,
    connection: str,
) -> None:
    def outlive_the_idle(exchange: ScriptedExchange) -> None:
        if '/long/' not in exchange.request.target:
            answer(exchange)
            return
        exchange.start_stream()
        exchange.event(1)  # before the stop, so that its head doesn't announce it
        gevent.sleep(stream_s)
        exchange.end_stream()

    running = RunningRouter(grace_s=grace_s)
    running.start()
    running.add('one', outlive_the_idle)
    conn = HttpCaller(running.cfg.callers)
    first = gevent.spawn(conn.call, 'long')
    gevent.sleep(0.1)
    late: list[std_socket.socket] = []
    callers = running.router.callers
    stop_accepting = callers.stop_accepting

    def stop_beside_a_request() -> None:
        if connection == 'in-the-accept-queue':
            late.append(std_socket.create_connection(tuple(running.cfg.callers)))
            late[0].sendall(REQUEST)
        else:
            conn.sock.sendall(REQUEST)
        stop_accepting()

    monkeypatch.setattr(callers, 'stop_accepting', stop_beside_a_request)

    def run_process() -> None:
        running.router.wait()
        running.router.kill()

    running.router.request_stop()
    process = gevent.spawn(run_process)
    response = first.get(timeout=END_S)
    assert (response.complete, response.headers.get('connection')) == (True, None)
    process.get(timeout=END_S)
    sock = socket.socket(fileno=late[0].detach()) if late else conn.sock
    assert read_status(sock) == status
    sock.close()
    running.stop()


# Guards against a stop that cuts requests off without telling their callers.
@pytest.mark.parametrize('route', ['long', 'unsafe-long'])
def test_a_request_without_an_answer_at_the_cutoff_is_refused(route: str) -> None:
    running = RunningRouter(grace_s=2.0)
    extra = {'unsafe-long': {'repeat': 'never', 'max_runs': 1, 'timeout_s': 15.0}}
    put_routes(running, {**ROUTES, **extra})
    running.start()
    running.add('one', lambda _: gevent.sleep(8.0))
    call = gevent.spawn(running.call, route, patience_ms=10_000)
    running.wait(lambda: running.router.callers.busy_connections == 1)

    def run_process() -> None:
        running.router.wait()
        running.router.kill()

    running.router.request_stop()
    began = time.monotonic()
    process = gevent.spawn(run_process)
    response = call.get(timeout=END_S)
    process.get(timeout=END_S)
    assert (response.status, response.complete) == (504, True)
    assert response.headers['connection'] == 'close'
    assert time.monotonic() - began < running.cfg.grace_s
    running.stop()


# Time limits that end at the same place.


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Yield three hosts without upstreams."""
    hosts = RunningFleet(3)
    yield hosts
    hosts.stop()


# Guards against waits that take the request's own time limit for theirs.
@pytest.mark.parametrize('patience_ms', [10, 35])
def test_a_request_that_expires_while_a_dispatcher_is_silent_is_refused(
    fleet: RunningFleet, monkeypatch: pytest.MonkeyPatch, patience_ms: int
) -> None:
    def work_on(exchange: ScriptedExchange) -> None:
        gevent.sleep(1.0)
        answer(exchange)

    fleet.add('one', work_on)
    dispatcher = fleet.dispatcher()
    host = next(host for host in fleet.hosts if host is not dispatcher)
    monkeypatch.setattr(host.router.peers, '_transmit', lambda *_: None)
    began = time.monotonic()
    response = host.call('unsafe', patience_ms=patience_ms)
    assert (response.status, response.complete) == (503, True)
    assert time.monotonic() - began < 0.5


# Guards against answers broken off by a limit that only serves a retry elsewhere.
@pytest.mark.parametrize(
    ('path', 'streamed', 'repeat'),
    [
        ('bytes', False, 'whole'),
        ('bytes', False, 'resume'),
        ('events', True, 'whole'),
    ],
    ids=['long-answer', 'long-answer-with-resume', 'stream-that-cannot-resume'],
)
def test_an_answer_that_cannot_go_on_elsewhere_is_not_given_up(
    path: str, streamed: bool, repeat: str
) -> None:
    part = b'x' * 300_000 if path == 'bytes' else b'data: x\n\n'

    def script(exchange: ScriptedExchange) -> None:
        if path not in exchange.request.target:
            answer(exchange)
            return
        media_type = 'text/event-stream' if streamed else 'text/plain'
        fields = exchange.headers(Content_Type=media_type)
        exchange.start(200, {**fields, 'Content-Length': str(4 * len(part))})
        for _ in range(4):
            exchange.send_raw(part)
            gevent.sleep(0.5)

    safe = {**ROUTES['safe'], 'timeout_s': 5.0, 'target_s': 0.2}
    safe.update(streamed=streamed, repeat=repeat)
    running = RunningRouter()
    put_routes(running, {**ROUTES, 'safe': safe})
    running.start()
    running.add('one', script)
    with running.connection() as conn:
        for _ in range(25):  # the limit is derived from earlier answers
            assert conn.call('safe').status == 200
        response = conn.call('safe', path=path)
    assert (response.status, response.complete) == (200, True)
    assert len(response.body) == 4 * len(part)
    running.stop()


# Guards against connections closed with a request that came just in time.
@pytest.mark.parametrize(
    ('sent_before', 'limits'),
    [(0, {'idle_s': 0.4}), (HALF, {'head_s': 0.4})],
    ids=['idle', 'head'],
)
def test_a_request_that_arrives_as_a_time_limit_ends_is_answered(
    sent_before: int, limits: dict[str, float]
) -> None:
    running = RunningRouter()
    put_routes(running, ROUTES, limits=limits)
    running.start()
    running.add('one', answer)
    conn = kept(running)
    conn.sock.sendall(REQUEST[:sent_before])
    # The work of one turn of the event loop outlasts the time limit.
    timers = [get_hub().loop.timer(after_s) for after_s in (0.1, 0.3)]
    timers[0].start(time.sleep, 0.5)
    timers[1].start(conn.sock.sendall, REQUEST[sent_before:])
    assert read_status(conn.sock) == b'200'
    for timer in timers:
        timer.close()
    conn.close()
    running.stop()


# A router that had no turn while its engines worked on.

ENGINE = {'batch_slots': 4, 'cache_tokens': 1000}
PROMPT = {'X-Token-Counts': '30,10', 'X-Prompt-Parts': 'aa:20,bb:10'}


# Guards against pauses of the router that count as silence of its engines.
@pytest.mark.parametrize(
    ('events_before', 'pause_s'),
    [(0, 4.0), (2, 1.3)],
    ids=['before-the-first-event', 'between-events'],
)
def test_a_stream_whose_events_arrived_during_a_pause_is_not_given_up(
    events_before: int, pause_s: float
) -> None:
    def script(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        for number in range(1, events_before + 1):
            exchange.event(number)
            gevent.sleep(0.1)
        exchange.event(events_before + 1)
        time.sleep(pause_s)  # nothing in this process gets a turn
        exchange.event(events_before + 2)
        exchange.end_stream()

    running = RunningRouter()
    services = [{'name': 'work', 'engine': ENGINE}]
    put_routes(running, ROUTES, services=services)
    running.start()
    running.add('one', script)
    response = running.call('long', headers=PROMPT, patience_ms=15_000)
    assert (response.status, response.complete) == (200, True)
    assert response.events() == list(range(1, events_before + 3))
    assert len(running.upstreams['one'].requests) == 1
    running.stop()


# Guards against pauses of a caller that count as silence of the engine.
def test_a_stream_to_a_caller_that_reads_late_is_not_given_up() -> None:
    count, size = 1500, 8000

    def script(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        for number in range(1, count + 1):
            exchange.event(number, 'x' * size)
        exchange.end_stream()

    running = RunningRouter()
    put_routes(running, ROUTES, services=[{'name': 'work', 'engine': ENGINE}])
    running.start()
    running.add('one', script)
    conn = HttpCaller(running.cfg.callers)
    call = gevent.spawn(conn.call, 'long', headers=PROMPT, patience_ms=15_000)
    read, conn.read = conn.read, lambda: (gevent.sleep(1.5), read())[1]
    response = call.get(timeout=8.0)
    assert (response.status, response.complete) == (200, True)
    assert response.events() == list(range(1, count + 1))
    assert len(running.upstreams['one'].requests) == 1
    conn.close()
    running.stop()
