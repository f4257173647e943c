"""Tests that crowds of misbehaving callers end, fill or stop no router process.

Each starts a router on a host with little memory, lets a crowd do one thing and asks
for one ordinary request while the crowd is still there. The crowds and the limits are
those that ended or stopped routers that counted only the bytes of bodies.
"""

from __future__ import annotations

import json
import os
import signal
from typing import TYPE_CHECKING, Any, NamedTuple

import crowds
import gevent
import pytest
from crowds import Crowd, ProcessWatch, RunningCrowd
from environment import FRONT_PORT, READY_PORT, RouterProcess
from gevent import socket
from storeserver import StoreServer

from fleet import wait_until
from rosemaryseam.platform.headers import HEADER_NAMES
from rosemaryseam.platform.settings import METRICS_PORT
from rosemaryseam.platform.state import CONFIGURATION_KEY, REGISTRY_PREFIX
from rosemaryseam.standins.scripted import ScriptedUpstream

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable, Iterator

    from rosemaryseam.standins.scripted import ScriptedExchange

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
SEND_TIMEOUT_S = 20.0  # for a crowd to send what the process takes
SETTLE_S = 1.0  # for what was sent last to be handled
MAX_BODY_BYTES = 4_194_304  # the limits of the platform's configurations
MAX_HEAD_BYTES = 16_384
MAX_DISCARDED_BYTES = 16_777_216  # of what a refused caller sends on
WORK_S = 0.5  # of an upstream for a request
KINDS = {'endless': 'stream', 'unsafe': 'unsafe'}  # of routes that are not safe
SLOW_WORK_S = 8.0
LARGE_ANSWER_BYTES = 8_000_000
ENDLESS_BYTES = 950_000  # of an event
FAILURE_BYTES = 250_000  # of the body of a failure
IP = f'127.78.{os.getpid() % 250 + 1}.1'

HEAD = (
    b'POST /plain/x HTTP/1.1\r\nHost: crowd.example\r\n'
    b'Rosemaryseam-Attempt-Id: a1\r\nX-Api-Key: key-north\r\n'
)
PATIENT = HEAD + b'Rosemaryseam-Deadline-Ms: 60000\r\n'
UNKNOWN_KEY = HEAD.replace(b'key-north', b'key-none')
UNKNOWN_ROUTE = HEAD.replace(b'/plain/', b'/none/')
SLOW = HEAD.replace(b'/plain/', b'/slow/')
LARGE = HEAD.replace(b'/plain/', b'/large/')
ENDLESS = HEAD.replace(b'/plain/', b'/endless/')
FAILING = HEAD.replace(b'/plain/', b'/failing/')
ORDINARY = HEAD + b'Connection: close\r\nContent-Length: 4\r\n\r\nbody'


class Host(NamedTuple):
    """A router with its store and upstream."""

    process: RouterProcess
    store: StoreServer
    upstream: ScriptedUpstream

    @property
    def address(self) -> tuple[str, int]:
        """Where callers connect."""
        return (self.process.ip, FRONT_PORT)


class Case(NamedTuple):
    """A crowd and the limits of the host that it calls."""

    name: str
    limits: dict[str, int]
    crowd: Crowd


def case(name: str, memory_mb: int, crowd: Crowd, **limits: int) -> Case:
    """Return a case with the memory of the host in MB."""
    return Case(name, {'memoryMb': memory_mb, **limits}, crowd)


CASES = [
    case('whole bodies', 150, Crowd(60, crowds.whole(HEAD, MAX_BODY_BYTES))),
    case('small chunks', 150, Crowd(20, crowds.small_chunks(HEAD, 120_000))),
    case('unfinished', 100, Crowd(60, crowds.unfinished(PATIENT, MAX_BODY_BYTES))),
    case(
        'unfinished chunks',
        100,
        Crowd(60, crowds.unfinished_chunks(PATIENT, MAX_BODY_BYTES)),
    ),
    case('dripped', 100, Crowd(60, crowds.dripped(PATIENT, MAX_BODY_BYTES))),
    case(
        'returning',
        100,
        Crowd(60, crowds.unfinished(PATIENT, MAX_BODY_BYTES), returns=True),
    ),
    case(
        'returning flood',
        100,
        Crowd(30, crowds.flood(HEAD, 1_000_000_000), returns=True),
    ),
    case(
        'all connections, returning',
        150,
        Crowd(80, crowds.silent, returns=True),
        maxFds=450,
    ),
    case('announced flood', 100, Crowd(30, crowds.flood(HEAD, 1_000_000_000))),
    case('chunked flood', 100, Crowd(30, crowds.flood(HEAD, None))),
    case(
        'flood without reading',
        100,
        Crowd(30, crowds.flood(HEAD, 1_000_000_000), reads=False),
    ),
    case('unknown key', 100, Crowd(60, crowds.unfinished(UNKNOWN_KEY, MAX_BODY_BYTES))),
    case(
        'small headers',
        100,
        Crowd(
            300,
            crowds.small_headers(HEAD, MAX_HEAD_BYTES, b'Content-Length: 9\r\n\r\n'),
        ),
    ),
    case(
        'unfinished heads',
        100,
        Crowd(1200, crowds.small_headers(HEAD, MAX_HEAD_BYTES, b'')),
        maxFds=2000,
    ),
    case(
        'trailers without end',
        100,
        Crowd(60, crowds.endless_framing(HEAD, b'0\r\n', b'a: b\r\n')),
    ),
    case(
        'long chunk extensions',
        100,
        Crowd(
            60,
            crowds.endless_framing(HEAD, b'', b'1;' + b'e' * 8000 + b'\r\nx\r\n'),
        ),
    ),
    case(
        'more bodies than fit, returning',
        75,
        Crowd(1500, crowds.unfinished(PATIENT, 60_000), returns=True),
        maxFds=4100,
    ),
    case(
        'more heads than fit, returning',
        75,
        Crowd(1500, crowds.small_headers(HEAD, MAX_HEAD_BYTES, b''), returns=True),
        maxFds=4100,
    ),
    case('silent', 88, Crowd(1500, crowds.silent), maxFds=4100),
    case(
        'pipelined',
        100,
        Crowd(400, crowds.pipelined(SLOW + b'Content-Length: 0\r\n\r\n', 600_000)),
    ),
    case(
        'unread answers',
        100,
        Crowd(100, crowds.once(LARGE + b'Content-Length: 0\r\n\r\n'), reads=False),
    ),
    case(
        'events without end',
        100,
        Crowd(60, crowds.once(ENDLESS + b'Content-Length: 0\r\n\r\n')),
    ),
    case(
        'long failures',
        100,
        Crowd(200, crowds.once(FAILING + b'Content-Length: 0\r\n\r\n')),
    ),
    case('all connections', 150, Crowd(80, crowds.silent), maxFds=450),
    case(
        'all connections with requests',
        150,
        Crowd(80, crowds.unfinished(PATIENT, 1000)),
        maxFds=450,
    ),
    case(
        'many requests',
        100,
        Crowd(800, crowds.once(SLOW + b'Content-Length: 4\r\n\r\nbody')),
        maxFds=1400,
    ),
]


@pytest.fixture
def start(tmp_path: pathlib.Path) -> Iterator[Callable[..., Host]]:
    """Return a function that starts a router with limits of its host."""
    hosts: list[Host] = []

    def start_host(limits: dict[str, int]) -> Host:
        store = StoreServer()
        upstream = ScriptedUpstream(_answer)
        store.store.put(CONFIGURATION_KEY, _configuration())
        store.store.put(REGISTRY_PREFIX + 'u1', _registration(upstream))
        process = RouterProcess('r0', IP, tuple(store.address), tmp_path, **limits)
        hosts.append(Host(process, store, upstream))
        process.start()
        wait_until(lambda: _serves(process.ip), 'router ready', START_TIMEOUT_S)
        return hosts[-1]

    yield start_host
    for host in hosts:
        host.process.stop()
        host.upstream.stop()
        host.store.stop()


@pytest.mark.parametrize('one', CASES, ids=[one.name for one in CASES])
def test_crowd_stays_within_the_memory_of_the_host(
    one: Case, start: Callable[..., Host]
) -> None:
    host = start(one.limits)
    answer, watch, _ = _play(host, one.crowd)
    assert host.process.is_running()
    assert watch.most_bytes < one.limits['memoryMb'] * 1_000_000
    assert watch.most_descriptors < one.limits.get('maxFds', 1000)
    assert answer.startswith(b'HTTP/1.1 200'), answer[:200]


REFUSED = [
    ('a long body', crowds.flood(HEAD, 1_000_000_000), {413}),
    ('long chunks', crowds.flood(HEAD, None), {413}),
    ('an unknown key', crowds.flood(UNKNOWN_KEY, 4_000_000), {401}),
    ('an unknown route', crowds.flood(UNKNOWN_ROUTE, 4_000_000), {404}),
    ('an unreadable head', crowds.flood(b'POST\r\n\r\n', 4_000_000), {400}),
]


@pytest.mark.parametrize(
    ('name', 'script', 'statuses'), REFUSED, ids=[row[0] for row in REFUSED]
)
def test_refused_sender_sees_its_answer_and_is_closed(
    name: str,
    script: Callable[..., Any],
    statuses: set[int],
    start: Callable[..., Host],
) -> None:
    host = start({'memoryMb': 150})
    answer, _, outcomes = _play(host, Crowd(5, script))
    assert answer.startswith(b'HTTP/1.1 200')
    assert {one.status for one in outcomes} == statuses
    assert all(one.closed for one in outcomes)
    assert all(one.sent_after_answer < MAX_DISCARDED_BYTES for one in outcomes)


@pytest.mark.parametrize('parts', [1, 12], ids=['at once', 'slowly'])
def test_largest_request_is_served_in_calm(
    parts: int, start: Callable[..., Host]
) -> None:
    host = start({'memoryMb': 88})
    head = PATIENT + b'Content-Length: %d\r\n\r\n' % MAX_BODY_BYTES
    script = crowds.slowly(head + bytes(MAX_BODY_BYTES), parts)
    running = RunningCrowd(Crowd(1, script), host.address)
    running.wait_sent(SEND_TIMEOUT_S)
    gevent.sleep(SETTLE_S + WORK_S)
    running.stop()
    assert [one.status for one in running.outcomes] == [200]
    assert [len(seen.body) for seen in host.upstream.requests] == [MAX_BODY_BYTES]


@pytest.mark.parametrize('route', ['plain', 'unsafe'])
def test_refused_request_has_not_run(route: str, start: Callable[..., Host]) -> None:
    """A request that was refused as not run never reaches an upstream."""
    host = start({'memoryMb': 100})
    running = {}
    for number in range(60):
        head = HEAD.replace(b'a1', b'n%d' % number).replace(b'plain', route.encode())
        crowd = Crowd(1, crowds.whole(head, MAX_BODY_BYTES))
        running[f'n{number}'] = RunningCrowd(crowd, host.address)
    for one in running.values():
        one.wait_sent(SEND_TIMEOUT_S)
    gevent.sleep(SETTLE_S + WORK_S)
    statuses = {name: one.outcomes[0].status for name, one in running.items()}
    for one in running.values():
        one.stop()
    id_field = HEADER_NAMES.request_id.lower()
    ran = [seen.headers[id_field] for seen in host.upstream.requests]
    refused = {name for name, status in statuses.items() if status in (408, 429, 503)}
    assert refused
    assert not refused & set(ran)
    assert len(ran) == len(set(ran))
    assert 200 in statuses.values()


def test_requests_close_no_more_connections_than_they_need(
    start: Callable[..., Host],
) -> None:
    """Guards against requests that close all other connections and are refused."""
    host = start({'memoryMb': 150, 'maxFds': 450})
    silent = RunningCrowd(Crowd(45, crowds.silent), host.address)
    gevent.sleep(SETTLE_S)
    requests = crowds.once(SLOW + b'Content-Length: 4\r\n\r\nbody')
    running = RunningCrowd(Crowd(5, requests), host.address)
    gevent.sleep(SLOW_WORK_S + SETTLE_S)
    running.stop()
    silent.stop()
    assert [one.status for one in running.outcomes] == [200] * 5
    assert sum(one.closed for one in silent.outcomes) <= 2 * 5


@pytest.mark.parametrize(
    ('limits', 'crowd'),
    [
        (
            {'memoryMb': 75, 'maxFds': 4100},
            Crowd(1500, crowds.unfinished(PATIENT, 60_000), returns=True),
        ),
        (
            {'memoryMb': 150, 'maxFds': 450},
            Crowd(300, crowds.silent, returns=True),
        ),
        (
            {'memoryMb': 100, 'maxFds': 1400},
            Crowd(800, crowds.once(SLOW + b'Content-Length: 0\r\n\r\n'), returns=True),
        ),
    ],
    ids=['bodies', 'silent', 'requests'],
)
def test_process_stops_beside_a_crowd(
    limits: dict[str, int], crowd: Crowd, start: Callable[..., Host]
) -> None:
    """Guards against callers that return faster than a stop lets them go."""
    host = start(limits)
    running = RunningCrowd(crowd, host.address)
    gevent.sleep(SETTLE_S)
    host.process.signal(signal.SIGTERM)
    try:
        wait_until(lambda: not host.process.is_running(), 'stopped', STOP_TIMEOUT_S)
    finally:
        running.stop()


def test_addresses_of_operators_hold_little(start: Callable[..., Host]) -> None:
    """Connections to the readiness and metrics addresses are bounded too."""
    host = start({'memoryMb': 100, 'maxFds': 1000})
    watch = ProcessWatch(host.process.process.pid)
    bodies = Crowd(30, crowds.flood(b'POST /x HTTP/1.1\r\nHost: h\r\n', 10**9))
    heads = Crowd(40, crowds.long_headers(b'GET /x HTTP/1.1\r\n', 90, 60_000))
    silent = Crowd(600, crowds.silent)
    running = [
        RunningCrowd(crowd, (IP, port))
        for port in (READY_PORT, METRICS_PORT)
        for crowd in (bodies, heads, silent)
    ]
    for crowd in running:
        crowd.wait_sent(5.0)
    gevent.sleep(SETTLE_S)
    ready = crowds.ask((IP, READY_PORT), b'GET /-/ready HTTP/1.0\r\n\r\n')
    answer = crowds.ask(host.address, ORDINARY)
    watch.stop()
    for crowd in running:
        crowd.stop()
    assert host.process.is_running()
    assert watch.most_bytes < 100_000_000
    assert watch.most_descriptors < 1000
    assert ready.startswith(b'HTTP/1.1 200'), ready[:200]
    assert answer.startswith(b'HTTP/1.1 200'), answer[:200]


def test_one_address_of_operators_does_not_fill_another(
    start: Callable[..., Host],
) -> None:
    """Connections that wait at one address don't yield for those at another.

    The oldest of all connections belong to the metrics address; closing them makes no
    room at the readiness address.
    """
    host = start({'memoryMb': 100, 'maxFds': 1000})
    crowd = Crowd(500, crowds.silent)
    running = [RunningCrowd(crowd, (IP, METRICS_PORT))]
    gevent.sleep(SETTLE_S)
    running.append(RunningCrowd(crowd, (IP, READY_PORT)))
    gevent.sleep(SETTLE_S)
    ready = crowds.ask((IP, READY_PORT), b'GET /-/ready HTTP/1.0\r\n\r\n')
    for one in running:
        one.stop()
    assert host.process.is_running()
    assert ready.startswith(b'HTTP/1.1 200'), ready[:200]


def _play(host: Host, crowd: Crowd) -> tuple[bytes, ProcessWatch, list[Any]]:
    """Let a crowd send, ask an ordinary request beside it, and return what was seen."""
    watch = ProcessWatch(host.process.process.pid)
    running = RunningCrowd(crowd, host.address)
    try:
        running.wait_sent(SEND_TIMEOUT_S)
        gevent.sleep(SETTLE_S)
        answer = crowds.ask(host.address, ORDINARY)
        gevent.sleep(SETTLE_S)
    finally:
        running.stop()
        watch.stop()
    return answer, watch, running.outcomes


def _answer(exchange: ScriptedExchange) -> None:
    """Answer as an upstream of the platform, after some work."""
    target = exchange.request.target
    request_id = exchange.request.headers[HEADER_NAMES.request_id.lower()]
    head = {HEADER_NAMES.request_id: request_id, HEADER_NAMES.signature: 'signed'}
    if target.startswith('/endless/'):
        exchange.start_stream(**head)
        for _ in range(ENDLESS_BYTES // crowds.PART_BYTES):
            exchange.chunk(b'x' * crowds.PART_BYTES)
        gevent.sleep(SLOW_WORK_S)
        return
    if target.startswith('/failing/'):
        exchange.start(500, {**head, 'Content-Length': str(FAILURE_BYTES + 1)})
        exchange.send_raw(bytes(FAILURE_BYTES))
        gevent.sleep(SLOW_WORK_S)
        return
    gevent.sleep(SLOW_WORK_S if target.startswith('/slow/') else WORK_S)
    size = LARGE_ANSWER_BYTES if target.startswith('/large/') else 2
    exchange.answer(200, bytes(size), head)


def _serves(ip: str) -> bool:
    with socket.create_connection((ip, READY_PORT), timeout=1.0) as sock:
        sock.sendall(b'GET / HTTP/1.0\r\n\r\n')
        return b' 200 ' in sock.recv(100)


def _configuration() -> bytes:
    routes = [
        {
            'name': name,
            'host': 'crowd.example',
            'pathPrefix': f'/{name}/',
            'service': 'work',
            'kind': KINDS.get(name, 'safe'),
            'timeoutMs': 30_000,
            'targetLatencyMs': 500,
            'maxAttempts': 1,
            'priority': 0,
        }
        for name in ('plain', 'unsafe', 'slow', 'large', 'endless', 'failing')
    ]
    return json.dumps(
        {
            'version': 1,
            'routes': routes,
            'services': [{'name': 'work', 'healthPath': '/health', 'maxConns': 2000}],
            'tenants': [{'name': 'north', 'apiKeys': ['key-north']}],
            'limits': {
                'maxHeaderBytes': MAX_HEAD_BYTES,
                'maxBodyBytes': MAX_BODY_BYTES,
                'headerTimeoutMs': 600_000,
                'idleTimeoutMs': 600_000,
            },
        }
    ).encode()


def _registration(upstream: ScriptedUpstream) -> bytes:
    return json.dumps(
        {
            'service': 'work',
            'addr': str(upstream.address),
            'zone': 'a',
            'version': '1',
            'slots': 1000,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
            'born': 1,
        }
    ).encode()
