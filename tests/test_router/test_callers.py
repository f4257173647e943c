"""Tests of the server for callers: framing, limits and the graceful stop."""

from __future__ import annotations

import gc
import random
from typing import TYPE_CHECKING

import gevent
import pytest
from gevent import socket
from routers import KEY, RunningRouter, configuration

from rosemaryseam.router.callerconnection import CallerConnection
from rosemaryseam.router.documentcodec import CONFIGURATION_KEY

if TYPE_CHECKING:
    from rosemaryseam.standins.scripted import ScriptedExchange

HEAD = (
    'POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n'
    f'X-Api-Key: {KEY}\r\nX-Patience-Ms: 2000\r\n'
)


def answer(exchange: ScriptedExchange) -> None:
    """Answer with the body of the request."""
    exchange.answer(200, b'answer:' + exchange.request.body)


def send_and_receive(running: RunningRouter, data: bytes, wait_s: float = 1.0) -> bytes:
    """Send bytes and return the data received before a close or the timeout."""
    sock = socket.create_connection(tuple(running.cfg.callers))
    received = b''
    try:
        sock.sendall(data)
        with gevent.Timeout(wait_s, False):
            while chunk := sock.recv(65_536):
                received += chunk
    except OSError:
        pass
    finally:
        sock.close()
    return received


BAD_REQUESTS = [
    ('two lengths', HEAD + 'Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!'),
    (
        'a length and chunks',
        HEAD + 'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    ),
    ('a negative length', HEAD + 'Content-Length: -1\r\n\r\n'),
    ('a space before the colon', HEAD + 'Content-Length : 4\r\n\r\nbody'),
    ('two hosts', HEAD + 'Host: other.example\r\nContent-Length: 0\r\n\r\n'),
    ('no host', HEAD.replace('Host: h.example\r\n', '') + 'Content-Length: 0\r\n\r\n'),
    ('two keys', HEAD + 'X-Api-Key: other\r\nContent-Length: 0\r\n\r\n'),
    ('no request at all', 'hello\r\n\r\n'),
]


@pytest.mark.parametrize(
    ('name', 'data'), BAD_REQUESTS, ids=[row[0] for row in BAD_REQUESTS]
)
def test_ambiguous_request_is_refused(
    router: RunningRouter, name: str, data: str
) -> None:
    upstream = router.add('one', answer)
    received = send_and_receive(router, data.encode())
    assert received.startswith(b'HTTP/1.1 400')
    assert not upstream.requests


def test_unknown_transfer_encoding_is_refused(router: RunningRouter) -> None:
    upstream = router.add('one', answer)
    received = send_and_receive(
        router, (HEAD + 'Transfer-Encoding: gzip\r\n\r\n').encode()
    )
    assert received.startswith(b'HTTP/1.1 501')
    assert not upstream.requests


def test_request_inside_a_body_is_not_forwarded_separately(
    router: RunningRouter,
) -> None:
    upstream = router.add('one', answer)
    inner = HEAD + 'Content-Length: 0\r\n\r\n'
    data = HEAD + f'Content-Length: {len(inner)}\r\n\r\n' + inner
    send_and_receive(router, data.encode())
    assert [seen.body.decode() for seen in upstream.requests] == [inner]


def test_chunked_body_is_forwarded_with_content_length(router: RunningRouter) -> None:
    upstream = router.add('one', answer)
    data = HEAD + 'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
    received = send_and_receive(router, data.encode())
    assert received.endswith(b'answer:abcde')
    assert upstream.requests[0].headers['content-length'] == '5'
    assert 'transfer-encoding' not in upstream.requests[0].headers


def test_pipelined_requests_are_answered_in_order(router: RunningRouter) -> None:
    upstream = router.add('one', answer)
    data = ''.join(
        HEAD.replace('r1', name) + f'Content-Length: 1\r\n\r\n{name[-1]}'
        for name in ('r1', 'r2', 'r3')
    )
    received = send_and_receive(router, data.encode())
    assert received.count(b'HTTP/1.1 200') == 3
    assert [seen.body for seen in upstream.requests] == [b'1', b'2', b'3']


BOUNDS = [
    ('a long head', {'head_bytes': 512}, HEAD + f'X-Long: {"x" * 600}\r\n\r\n', b'431'),
    ('a long body', {'body_bytes': 4}, HEAD + 'Content-Length: 5\r\n\r\nbody!', b'413'),
    ('a slow body', {'idle_s': 0.2}, HEAD + 'Content-Length: 5\r\n\r\nbo', b'408'),
    ('a slow head', {'head_s': 0.2}, HEAD, b''),
    ('no request', {'idle_s': 0.2}, '', b''),
]


@pytest.mark.parametrize(
    ('name', 'limits', 'data', 'status'), BOUNDS, ids=[row[0] for row in BOUNDS]
)
def test_caller_limits_are_enforced(
    router: RunningRouter, name: str, limits: dict, data: str, status: bytes
) -> None:
    router.add('one', answer)
    router.store.put(CONFIGURATION_KEY, configuration(2, limits=limits))
    router.wait(lambda: router.router.feed.table.version == 2)
    started = gevent.get_hub().loop.now()
    received = send_and_receive(router, data.encode(), 3.0)
    assert received.split(b' ')[1:2] == ([status] if status else [])
    assert gevent.get_hub().loop.now() - started < 2.5


UNSENT = 'Content-Length: 1000000\r\n'
REFUSED_BY_HEAD = [
    ('an unknown key', HEAD.replace(KEY, 'other'), b'401'),
    ('an unknown route', HEAD.replace('/unsafe/', '/none/'), b'404'),
    ('a long body', HEAD + 'Content-Length: 9000000\r\n', b'413'),
    ('a very long body', HEAD + f'Content-Length: {"9" * 18}\r\n', b'413'),
    ('a deadline that is none', HEAD + 'X-Patience-Ms: soon\r\n', b'400'),
]


@pytest.mark.parametrize('expects', ['', 'Expect: 100-continue\r\n'])
@pytest.mark.parametrize(
    ('name', 'head', 'status'), REFUSED_BY_HEAD, ids=[row[0] for row in REFUSED_BY_HEAD]
)
def test_request_is_refused_before_its_body_is_sent(
    router: RunningRouter, name: str, head: str, status: bytes, expects: str
) -> None:
    upstream = router.add('one', answer)
    length = '' if 'Content-Length' in head else UNSENT
    received = send_and_receive(router, f'{head}{length}{expects}\r\n'.encode(), 3.0)
    assert received.split(b' ')[1:2] == [status]
    assert b'Connection: close' in received
    assert not upstream.requests


def test_awaited_body_is_served(router: RunningRouter) -> None:
    """A caller that waits for the word to send its body gets it and its answer."""
    router.add('one', answer)
    with router.connection() as conn:
        head = HEAD + 'Expect: 100-continue\r\nContent-Length: 4\r\n\r\n'
        conn.sock.sendall(head.encode())
        assert conn.sock.recv(1000).startswith(b'HTTP/1.1 100')
        conn.sock.sendall(b'body')
        assert b'answer:body' in conn.sock.recv(1000)


def test_unfinished_body_is_refused_at_its_deadline(router: RunningRouter) -> None:
    """A byte now and then doesn't keep a request beyond the time that it has."""
    upstream = router.add('one', answer)
    head = HEAD.replace('2000', '300') + 'Content-Length: 1000\r\n\r\n'
    with router.connection() as conn:
        conn.sock.sendall(head.encode())
        dripping = gevent.spawn(_drip, conn.sock)
        response = conn.read()
        dripping.kill()
    assert response.status == 408
    assert not upstream.requests


def _drip(sock: socket.socket) -> None:
    while True:
        sock.sendall(b'x')
        gevent.sleep(0.05)


def test_small_refused_request_leaves_the_connection_open(
    router: RunningRouter,
) -> None:
    router.add('one', answer)
    with router.connection() as conn:
        head = HEAD.replace(KEY, 'other') + 'Content-Length: 4\r\n\r\n'
        conn.sock.sendall(head.encode())
        gevent.sleep(0.05)
        conn.sock.sendall(b'body')
        assert conn.sock.recv(1000).startswith(b'HTTP/1.1 401')
        assert conn.call('unsafe').status == 200


def test_caller_far_ahead_of_its_answer_is_answered_and_closed(
    router: RunningRouter,
) -> None:
    """Bytes that don't fit are not kept; the answer in progress is complete."""

    def answer_late(exchange: ScriptedExchange) -> None:
        gevent.sleep(0.4)
        answer(exchange)

    upstream = router.add('one', answer_late)
    request = HEAD + 'Content-Length: 1\r\n\r\n1'
    further = (HEAD + 'Content-Length: 200000\r\n\r\n').encode() + bytes(200_000)
    received = send_and_receive(router, request.encode() + further, 3.0)
    assert received.endswith(b'answer:1')
    assert b'Connection: close' in received
    assert len(upstream.requests) == 1


def test_nothing_is_read_as_a_request_after_bytes_were_discarded(
    router: RunningRouter,
) -> None:
    """A stream that has begun can't announce the close; the bytes are not aligned."""

    def stream(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        exchange.event(1)
        gevent.sleep(0.4)
        exchange.event(2)
        exchange.end_stream()

    upstream = router.add('one', stream)
    head = HEAD.replace('/unsafe/', '/once/')
    hidden = (HEAD.replace('r1', 'r2') + 'Content-Length: 0\r\n\r\n').encode()
    with router.connection() as conn:
        conn.sock.sendall((head + 'Content-Length: 0\r\n\r\n').encode())
        received = conn.sock.recv(1000)
        further = (HEAD + 'Content-Length: 200000\r\n\r\n').encode()
        conn.sock.sendall(further + bytes(200_000))
        gevent.sleep(0.6)
        conn.sock.sendall(hidden)
        with gevent.Timeout(3.0, False):
            while data := conn.sock.recv(65_536):
                received += data
    assert received.count(b'HTTP/1.1') == 1
    assert received.endswith(b'0\r\n\r\n')
    assert [seen.headers['x-request-id'] for seen in upstream.requests] == ['r1']


def test_memory_of_callers_is_released(router: RunningRouter) -> None:
    router.add('one', answer)
    account = router.router.callers.account
    for body in (b'', b'x' * 3_000_000):
        assert router.call('unsafe', body=body).body == b'answer:' + body
    router.wait(lambda: account.reserved_bytes == 0)


@pytest.mark.parametrize(
    'data',
    ['', HEAD, HEAD + 'Content-Length: 9\r\n\r\nbody', 'hello\r\n\r\n'],
    ids=['silent', 'an unfinished head', 'an unfinished body', 'refused'],
)
def test_closed_connections_are_freed_without_garbage_collection(
    data: str, router: RunningRouter
) -> None:
    """Guards against connections that the collector frees long after their end."""
    gc.collect()
    gc.disable()
    try:
        for _ in range(5):
            send_and_receive(router, data.encode(), 0.1)
        gevent.sleep(0.1)
        assert not any(isinstance(one, CallerConnection) for one in gc.get_objects())
    finally:
        gc.enable()


def test_unread_answer_is_not_buffered_without_limit(router: RunningRouter) -> None:
    sent = []

    def flood(exchange: ScriptedExchange) -> None:
        exchange.start_stream()
        for number in range(1, 5000):
            exchange.event(number, 'x' * 10_000)
            sent.append(number)

    router.add('one', flood)
    sock = socket.create_connection(tuple(router.cfg.callers))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    data = HEAD.replace('/unsafe/', '/once/') + 'Content-Length: 0\r\n\r\n'
    sock.sendall(data.encode())
    gevent.sleep(1.0)
    sock.close()
    assert len(sent) < 4000


def test_corrupted_requests_are_not_forwarded_unauthenticated(
    router: RunningRouter,
) -> None:
    upstream = router.add('one', answer)
    rng = random.Random(20261204)
    valid = HEAD.encode() + b'Content-Length: 4\r\n\r\nbody'
    for _ in range(150):
        data = bytearray(valid)
        for _ in range(rng.randint(1, 6)):
            position = rng.randrange(len(data))
            data[position : position + rng.randint(0, 3)] = rng.randbytes(
                rng.randint(0, 3)
            )
        send_and_receive(router, bytes(data), 0.02)
    assert all(seen.headers.get('x-workspace') == 'north' for seen in upstream.requests)
    assert all('x-api-key' not in seen.headers for seen in upstream.requests)
    assert router.call('unsafe').status == 200


# The graceful stop.


def answer_slowly(exchange: ScriptedExchange) -> None:
    """Answer after half a second."""
    gevent.sleep(0.5)
    answer(exchange)


def test_graceful_stop_completes_running_requests_and_closes_connections() -> None:
    running = RunningRouter(grace_s=4.0)
    running.start()
    running.add('one', answer_slowly)
    with running.connection() as idle, running.connection() as busy:
        assert idle.call('safe').status == 200
        call = gevent.spawn(busy.call, 'safe')
        gevent.sleep(0.1)
        running.router.request_stop()
        stop = gevent.spawn(running.router.wait)
        response = call.get(timeout=3.0)
        assert (response.status, response.complete) == (200, True)
        assert response.headers['connection'] == 'close'
        assert running.router.not_ready() == 'stopping'
        assert idle.call('safe').headers['connection'] == 'close'
        stop.join(timeout=4.0)
        assert stop.ready()
    running.stop()


def test_request_that_may_outlive_the_process_is_refused_while_draining() -> None:
    running = RunningRouter(grace_s=6.0)
    running.start()
    upstream = running.add('one', answer)
    holder = gevent.spawn(running.call, 'stream')
    gevent.sleep(0.1)
    running.router.request_stop()
    stop = gevent.spawn(running.router.wait)
    gevent.sleep(2.75)
    response = running.call('long', patience_ms=15_000)
    served = running.call('safe')
    stop.join(timeout=5.0)
    running.stop()
    holder.join(timeout=1.0)
    assert response.status == 503
    assert response.headers['connection'] == 'close'
    assert float(response.headers['retry-after']) < 1.0
    assert served.status in (0, 200)
    assert not [seen for seen in upstream.requests if '/long/' in seen.target]
