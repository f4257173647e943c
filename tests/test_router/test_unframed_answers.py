"""Tests answers that end with their connection, while requests are still written."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
import pytest
from gevent import socket

from rosemaryseam.common.calleraccount import Stage
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.router.faults import BrokenError
from rosemaryseam.router.headercodec import open_header_codec
from rosemaryseam.router.upstreamconnection import UpstreamConnection
from rosemaryseam.standins.scripted import ScriptedUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from routers import Response, RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange

LINGER_0_S = b'\x01\0\0\0\0\0\0\0'
UPLOAD = b'u' * 4_000_000
SIGNED = b'X-Request-Id: %s\r\nX-Upstream-Signature: s\r\n'
EVENT = b'id: %d\ndata: x\n\n'
LAST_EVENT = 8
CALLS = 3  # of each case, as the order of two greenlets decides


def events(first: int, last: int) -> bytes:
    """Return complete events with these numbers."""
    return b''.join(EVENT % number for number in range(first, last + 1))


class EarlyUpstream(ScriptedUpstream):
    """Answers once the head of a request has arrived, and reads no further.

    :param body: part of the body that is sent
    :param media_type: type of the body
    :param end: ends the connection
    """

    def __init__(self, body: bytes, media_type: str, end: Callable[[Any], None]):
        super().__init__(lambda exchange: None)
        self.runs = 0
        self._body = body
        self._media_type = media_type.encode()
        self._end = end

    def _serve(self, sock: Any, _: object) -> None:
        data = b''
        while b'\r\n\r\n' not in data:
            part = sock.recv(1000)
            if not part:
                return
            data += part
        self.runs += 1
        names = dict(line.split(b': ') for line in data.split(b'\r\n') if b': ' in line)
        sock.sendall(
            b'HTTP/1.1 200 OK\r\n'
            + SIGNED % names[b'X-Request-Id']
            + b'Content-Type: %s\r\n\r\n' % self._media_type
            + self._body
        )
        self._end(sock)


def reset(sock: Any) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0_S)
    sock.close()


def reset_later(sock: Any) -> None:
    gevent.sleep(0.1)
    reset(sock)


def end_and_reset(sock: Any) -> None:
    sock.shutdown(socket.SHUT_WR)
    gevent.sleep(0.1)
    reset(sock)


def end_and_read_on(sock: Any) -> None:
    sock.shutdown(socket.SHUT_WR)
    while sock.recv(65_536):
        pass
    sock.close()


class Early(NamedTuple):
    """How an upstream answers an upload early, and whether the answer is whole."""

    name: str
    end: Callable[[Any], None]
    whole: bool = False


EARLY = [
    Early('reset', reset),
    Early('reset later', reset_later),
    Early('ended, then reset', end_and_reset),
    Early('ended, then read to its end', end_and_read_on, whole=True),
]


def check_ends(response: Response, early: Early, body: bytes) -> None:
    if early.whole:
        assert (response.status, response.body) == (200, body)
        assert response.complete
    else:
        assert not (response.status == 200 and response.complete), response


# Guards against a part of an answer that its caller gets as a complete one: the
# upstream answers an upload at once without a length, sends a part and resets the
# connection while the upload is still being written (MIXED, issue 51).
@pytest.mark.parametrize('early', EARLY, ids=lambda early: early.name)
@pytest.mark.parametrize('route', ['safe', 'unsafe'])
def test_answer_to_an_unfinished_upload_is_whole_only_at_its_end(
    router: RunningRouter, route: str, early: Early
) -> None:
    router.upstreams['one'] = EarlyUpstream(b'part', 'text/plain', early.end)
    router.register('one')
    router.wait(lambda: 'one' in router.usable())
    for _ in range(CALLS):
        check_ends(router.call(route, body=UPLOAD), early, b'part')


# Guards against streams that end as complete before their last event, as the error of
# the connection was lost (ORDER, issue 51).
@pytest.mark.parametrize('early', EARLY, ids=lambda early: early.name)
@pytest.mark.parametrize('route', ['single', 'once'])
def test_stream_for_an_unfinished_prompt_is_whole_only_at_its_end(
    router: RunningRouter, route: str, early: Early
) -> None:
    body = events(1, 4)
    router.upstreams['one'] = EarlyUpstream(body, 'text/event-stream', early.end)
    router.register('one')
    router.wait(lambda: 'one' in router.usable())
    for _ in range(CALLS):
        check_ends(router.call(route, body=UPLOAD), early, body)


class OneTimeErrorSocket:
    """A socket that reports a reset once, to whoever calls first."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self.is_reset = False
        self._error: OSError | None = ConnectionResetError('reset')

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def _raise_once(self) -> None:
        error, self._error = self._error, None
        if error is not None:
            raise error

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self.is_reset:
            return self._sock.recv(size, flags)
        self._raise_once()
        return b''

    def sendall(self, data: bytes) -> None:
        while not self.is_reset:
            gevent.sleep(0.01)
        self._raise_once()
        raise BrokenPipeError


def make_unread(conn: UpstreamConnection) -> None:
    conn.has_unread_bytes()


def let_write(_: UpstreamConnection) -> None:
    gevent.sleep(0.05)


# Guards against an error of a connection that is taken by a call which drops it.
@pytest.mark.parametrize('first', [make_unread, let_write], ids=['peek', 'write'])
def test_error_of_a_connection_reaches_the_reader_of_the_answer(
    first: Callable[[UpstreamConnection], None],
) -> None:
    near, far = socket.socketpair()
    sock = OneTimeErrorSocket(near)
    conn = UpstreamConnection(sock, open_header_codec(), SystemClock())
    conn.send(
        b'POST', b'/', [(b'Host', b'h'), (b'Content-Length', b'9999')], b'b' * 9999
    )
    far.sendall(b'HTTP/1.1 200 OK\r\n' + SIGNED % b'r1' + b'\r\npart')
    conn.read_head('r1')
    chunks = conn.chunks()
    assert next(chunks) == b'part'
    sock.is_reset = True
    far.sendall(b'x')  # the descriptor is readable after a reset
    if first is make_unread:
        conn._writer.kill()
    first(conn)
    with pytest.raises(BrokenError):
        list(chunks)


# Streams that end with their connection, although nothing else fails.


def unframed(last: int) -> Callable[[ScriptedExchange], None]:
    """Return a script that ends an unframed stream after an event, in order."""

    def script(exchange: ScriptedExchange) -> None:
        first = int(exchange.request.headers.get('last-event-id', '0')) + 1
        exchange.start(200, exchange.headers(Content_Type='text/event-stream'))
        exchange.send_raw(events(first, last if first == 1 else LAST_EVENT))
        exchange.close()

    return script


# Guards against streams that end as complete in chunks, as their upstream's connection
# closed in order after one of their events (ORDER, issue 51).
@pytest.mark.parametrize('route', ['stream', 'once'])
def test_end_of_a_stream_is_marked_as_its_upstream_marked_it(
    router: RunningRouter, route: str
) -> None:
    router.add('one', unframed(4))
    for _ in range(CALLS):
        response = router.call(route)
        assert response.body == events(1, 4)
        assert 'transfer-encoding' not in response.headers
        assert response.headers['connection'] == 'close'


# Guards against a crash whose connections close in order and look like an end.
@pytest.mark.parametrize(('route', 'is_resumed'), [('stream', True), ('once', False)])
def test_stream_of_a_crashed_upstream_is_no_complete_one(
    router: RunningRouter, route: str, is_resumed: bool
) -> None:
    def crash(exchange: ScriptedExchange) -> None:
        unframed(4)(exchange)
        one.stop()

    one = router.add('one', crash)
    if is_resumed:
        router.add('two', lambda exchange: None)
        router.upstreams['two'].script = unframed(LAST_EVENT)
        one.script = crash
        router.wait(lambda: len(router.usable()) == 2)
        one_first = {'one': False}
        while not one_first['one']:
            response = router.call(route)
            one_first['one'] = bool(one.requests)
    else:
        response = router.call(route)
    assert response.complete is is_resumed
    assert response.body == events(1, LAST_EVENT if is_resumed else 4)


# Guards against a part of an answer that becomes a whole one with a length, as its
# upstream's connection closed in order (MIXED, issue 51).
@pytest.mark.parametrize('route', ['safe', 'unsafe', 'public'])
def test_end_of_an_answer_is_marked_as_its_upstream_marked_it(
    router: RunningRouter, route: str
) -> None:
    def script(exchange: ScriptedExchange) -> None:
        exchange.start(200, exchange.headers())
        exchange.send_raw(b'part')
        exchange.close()

    router.add('one', script)
    for _ in range(CALLS):
        response = router.call(route)
        assert (response.body, response.complete) == (b'part', True)
        assert 'content-length' not in response.headers
        assert response.headers['connection'] == 'close'


# Guards against a process that is killed and whose end completes a part of an answer.
def test_connection_that_marks_an_end_is_reset_unless_the_answer_ended(
    router: RunningRouter,
) -> None:
    def script(exchange: ScriptedExchange) -> None:
        exchange.start(200, exchange.headers(Content_Type='text/event-stream'))
        exchange.send_raw(events(1, 4))
        gevent.sleep(5.0)

    router.add('one', script)
    calling = gevent.spawn(router.call, 'once')
    conns = router.router.callers._connections
    router.wait(lambda: any(conn.stage is Stage.RUNNING for conn in conns))
    gevent.sleep(0.1)
    for conn in conns:
        conn._sock.close()  # as the kernel does for a process that is killed
    response = calling.get(timeout=3.0)
    assert response.body == events(1, 4)
    assert not response.complete
