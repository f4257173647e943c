"""Tests answers that end early or are none, at the node's front."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
import pytest
from fleets import start_fleet
from gevent import socket

from catalogues import KEYS
from rosemaryseam.standins.scripted import ScriptedUpstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.standins.scripted import ScriptedExchange

ROUTES = ['availability', 'book']  # idempotent, and not
REQUEST = b'POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n'
PROMPT = b'{"model": "small", "stream": true, "messages": [{"role": "user"}]}'
TIMEOUT_S = 20.0
LARGE_BYTES = 3_900_000
PLAIN = b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
SIZED = PLAIN + b'Content-Length: 10\r\n\r\n'
CHUNKED = PLAIN + b'Transfer-Encoding: chunked\r\n\r\n'
EARLY = b'HTTP/1.1 103 Early Hints\r\n\r\n'


class Front:
    """A node with one app runner and one engine, which run the scripts of a test."""

    def __init__(self, folder: Any) -> None:
        self.upstream = ScriptedUpstream(lambda exchange: exchange.answer(200))
        self.engine = ScriptedUpstream(lambda exchange: exchange.answer(200))
        self._fleet = start_fleet(
            folder, nodes=1, engines=1, apps=1, edit_catalogue=self._use_upstream
        )

    def _use_upstream(self, catalogue: dict[str, Any]) -> None:
        for entry in catalogue['upstreams']:
            upstream = self.upstream if entry['pool'] == 'desk' else self.engine
            entry['address'] = str(upstream.address)

    def stop(self) -> None:
        """Stop the node and its upstreams."""
        self.upstream.stop()
        self.engine.stop()
        self._fleet.stop()

    def ask(
        self, route: str, size: int = 2, connection: str = 'close'
    ) -> tuple[bytes, bytes]:
        """Return the head and the body of an answer whose connection was not reset.

        :param route: last part of the path
        :param size: size of the request's body in bytes
        :param connection: what the caller asks for its connection
        """
        path = f'/apps/desk/{route}' if route in ROUTES else route
        head = REQUEST % (path.encode(), KEYS['market'].encode())
        head += b'Connection: %s\r\n' % connection.encode()
        head += b'Content-Length: %d\r\n\r\n' % size
        ip, port = self._fleet.nodes['host-1']['listen'].split(':')
        answer = b''
        with gevent.Timeout(TIMEOUT_S), socket.create_connection((ip, port)) as sock:
            sock.sendall(head + (PROMPT if size == len(PROMPT) else bytes(size)))
            while part := sock.recv(65_536):
                answer += part
        return answer.partition(b'\r\n\r\n')[::2]


@pytest.fixture(scope='module')
def front(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Front]:
    """Yield a node with a scripted app runner."""
    running = Front(tmp_path_factory.mktemp('ended'))
    yield running
    running.stop()


def asked(front: Front) -> int:
    """Return how many calls the engine got, without reads of its load."""
    return sum(request.target != '/metrics' for request in front.engine.requests)


def send(*parts: bytes, reset: bool = False) -> Callable[[ScriptedExchange], None]:
    """Return a script that writes an answer in parts and closes or resets."""

    def script(exchange: ScriptedExchange) -> None:
        for part in parts:
            exchange.send_raw(part)
            gevent.sleep(0.02)
        exchange.reset() if reset else exchange.close()

    return script


CUT = [
    ('short of its length', send(SIZED, b'12345')),
    ('short of its length, reset', send(SIZED, b'12345', reset=True)),
    ('without the last chunk', send(CHUNKED, b'5\r\n12345\r\n')),
    ('without a length, reset', send(PLAIN + b'\r\n', b'12345', reset=True)),
    ('early hints, then short', send(EARLY, SIZED + b'12345')),
    ('broken chunks', send(CHUNKED, b'5\r\n123456\r\n0\r\n\r\n')),
    ('bad chunk size', send(CHUNKED, b'x\r\n123456\r\n0\r\n\r\n')),
    ('two lengths', send(SIZED.replace(b'\r\n\r\n', b'\r\nContent-Length: 5\r\n\r\n'))),
    ('a blank in a name', send(b'HTTP/1.1 200 OK\r\nX A: b\r\n\r\n')),
    ('a control byte', send(b'HTTP/1.1 200 OK\r\nX\x01A: b\r\n\r\n')),
    *(
        (status, send(PLAIN.replace(b'200', status.encode()) + b'\r\n' + SIZED + b'x'))
        for status in ('000', '001', '600', '999')
    ),
]


# Guards against a part of an answer, or an invalid one, taken for a complete answer.
@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize(('name', 'script'), CUT, ids=[row[0] for row in CUT])
def test_no_part_is_an_answer(
    name: str, script: Callable[[ScriptedExchange], None], route: str, front: Front
) -> None:
    front.upstream.script = script
    head, body = front.ask(route)
    assert head.startswith((b'HTTP/1.1 502', b'HTTP/1.1 503', b'HTTP/1.1 504')), head
    assert b'12345' not in body


# Guards against the part of an answer that came while the request was being written.
@pytest.mark.parametrize('route', ROUTES)
@pytest.mark.parametrize('delay_s', [0.0, 0.02, 0.15])
def test_early_answer_to_a_large_request_is_none(
    delay_s: float, route: str, front: Front, monkeypatch: pytest.MonkeyPatch
) -> None:
    def serve(sock: Any, _: object) -> None:
        sock.recv(4096)
        sock.sendall(PLAIN + b'\r\n12345')
        gevent.sleep(delay_s)
        sock.close()  # with bytes unread, which resets it

    monkeypatch.setattr(front.upstream, '_serve', serve)
    front.upstream.stop()
    front.upstream.restart()
    try:
        head, body = front.ask(route, LARGE_BYTES)
    finally:
        monkeypatch.undo()
        front.upstream.stop()
        front.upstream.restart()
    assert b' 200 ' not in head[:20], head
    assert b'12345' not in body


# Guards against a length that only the node states, for an answer that may be a part.
@pytest.mark.parametrize('route', ROUTES)
def test_answer_without_a_length_ends_with_the_connection(
    route: str, front: Front
) -> None:
    front.upstream.script = send(PLAIN + b'\r\n', b'12345')
    head, body = front.ask(route, connection='keep-alive')
    assert head.startswith(b'HTTP/1.1 200')
    assert b'content-length' not in head.lower()
    assert b'transfer-encoding' not in head.lower()
    assert b'connection: close' in head.lower()
    assert body == b'12345'


# Guards against the part of an answer that came before its app runner ended, as the
# kernel closes the connections of a process in order.
@pytest.mark.parametrize('route', ROUTES)
def test_app_runner_that_ends_with_its_answer(route: str, front: Front) -> None:
    def script(exchange: ScriptedExchange) -> None:
        exchange.send_raw(PLAIN + b'\r\n12345')
        gevent.sleep(0.02)
        front.upstream.stop()

    front.upstream.script = script
    try:
        head, body = front.ask(route)
    finally:
        front.upstream.restart()
    assert b' 200 ' not in head[:20], head
    assert b'12345' not in body


# Guards against an error, or a second end, behind a stream whose end was marked.
@pytest.mark.parametrize('reset', [False, True])
def test_stream_that_breaks_off_behind_its_end_is_complete(
    reset: bool, front: Front
) -> None:
    events = b'data: {}\n\ndata: [DONE]\n\n'
    chunk = b'%x\r\n%s\r\n' % (len(events), events)
    front.engine.script = send(CHUNKED + chunk, reset=reset)
    before = asked(front)
    head, body = front.ask('/v1/chat/completions', len(PROMPT))
    assert head.startswith(b'HTTP/1.1 200')
    assert body.count(b'data: ') == 2
    assert body.endswith(b'\r\n0\r\n\r\n')
    assert asked(front) == before + 1
