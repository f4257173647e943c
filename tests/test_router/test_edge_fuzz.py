"""Bytes that no sound caller sends: nothing of them reaches an upstream changed.

Each seed draws requests, spoils some of them, and sends them in pieces on connections
that are reused where the router allows it.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, NamedTuple

import gevent
import h11
import pytest
from gevent import socket
from routers import KEY, RunningRouter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.standins.scripted import Turn

SEEDS = range(12)
REQUESTS = 60
ANSWER_S = 2.0
SMUGGLED = 'smuggled'
OWN_NAMES = {'x-workspace': 'north', 'x-api-key': None}


class Sent(NamedTuple):
    """A request before it was spoilt."""

    request_id: str
    target: str
    body: bytes
    raw: bytes


def draw(rng: random.Random, number: int) -> Sent:
    """Return a sound request."""
    request_id = f'fuzz-{number}'
    target = f'/safe/{rng.randrange(1000)}?q={rng.randrange(10)}'
    body = rng.randbytes(rng.choice([0, 1, 10, 3000]))
    head = [
        f'POST {target} HTTP/1.1',
        'Host: h.example',
        f'X-Request-Id: {request_id}',
        f'X-Api-Key: {KEY}',
        'X-Patience-Ms: 1500',
    ]
    if rng.random() < 0.5:
        framed = body
        head.append(f'Content-Length: {len(body)}')
    else:
        framed = chunked(rng, body)
        head.append('Transfer-Encoding: chunked')
    raw = '\r\n'.join(head).encode() + b'\r\n\r\n' + framed
    return Sent(request_id, target, body, raw)


def chunked(rng: random.Random, body: bytes) -> bytes:
    """Return a body in chunks."""
    parts = []
    while body:
        size = rng.randint(1, len(body))
        parts.append(f'{size:x}\r\n'.encode() + body[:size] + b'\r\n')
        body = body[size:]
    return b''.join([*parts, b'0\r\n\r\n'])


def inner() -> bytes:
    """Return a request to hide inside another one."""
    head = f'POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {SMUGGLED}\r\n'
    return head.encode() + f'X-Api-Key: {KEY}\r\nContent-Length: 0\r\n\r\n'.encode()


def add_header(line: bytes) -> Callable[[random.Random, bytes], bytes]:
    """Return a change that adds a header."""

    def change(rng: random.Random, raw: bytes) -> bytes:
        head, _, body = raw.partition(b'\r\n\r\n')
        return head + b'\r\n' + line + b'\r\n\r\n' + body

    return change


def flip_byte(rng: random.Random, raw: bytes) -> bytes:
    """Change one byte of the head."""
    end = raw.index(b'\r\n\r\n')
    index = rng.randrange(end)
    return raw[:index] + rng.randbytes(1) + raw[index + 1 :]


def cut_short(rng: random.Random, raw: bytes) -> bytes:
    """Leave the end out."""
    return raw[: rng.randrange(1, len(raw))]


def reframe(raw: bytes, *framing: bytes) -> bytes:
    """Return a head with other framing headers."""
    head, _, _ = raw.partition(b'\r\n\r\n')
    names = (b'content-length', b'transfer-encoding')
    lines = [line for line in head.split(b'\r\n') if not line.lower().startswith(names)]
    return b'\r\n'.join([*lines, *framing]) + b'\r\n\r\n'


def smuggle(rng: random.Random, raw: bytes) -> bytes:
    """Hide a request in a body that has two lengths."""
    lengths = [f'Content-Length: {len(inner())}'.encode(), b'Content-Length: 0']
    rng.shuffle(lengths)
    return reframe(raw, *lengths) + inner()


def smuggle_in_chunks(rng: random.Random, raw: bytes) -> bytes:
    """Hide a request behind the last chunk of a body that also has a length."""
    body = b'0\r\n\r\n' + inner()
    framing = [
        f'Content-Length: {len(body)}'.encode(),
        rng.choice(
            [
                b'Transfer-Encoding: chunked',
                b'Transfer-Encoding : chunked',
                b'Transfer-Encoding: identity, chunked',
                b'Transfer-Encoding:\x0bchunked',
                b'X-Before: 1\r\n Transfer-Encoding: chunked',
            ]
        ),
    ]
    rng.shuffle(framing)
    return reframe(raw, *framing) + body


def bare_line_ends(rng: random.Random, raw: bytes) -> bytes:
    """Write the head without carriage returns."""
    head, _, body = raw.partition(b'\r\n\r\n')
    return head.replace(b'\r\n', b'\n') + b'\n\n' + body


SPOILERS = [
    flip_byte,
    cut_short,
    smuggle,
    smuggle_in_chunks,
    bare_line_ends,
    add_header(b'X-Workspace: south'),
    add_header(b'X-Upstream-Id: other'),
    add_header(b'X-Urgency: 0'),
    add_header(b'X-Api-Key: other'),
    add_header(b' folded: into the header before'),
    add_header(b'Host: other.example'),
    add_header(b'X-Long: ' + b'x' * 40_000),
    add_header(b'X-Patience-Ms: nan'),
    add_header(b'Connection: X-Request-Id, X-Workspace'),
    add_header(b'Expect: 100-continue'),
    lambda rng, raw: rng.randbytes(200),
    lambda rng, raw: b'\r\n\r\n' + raw,
]


@pytest.fixture(scope='module')
def host() -> Iterator[RunningRouter]:
    """A router with one upstream that answers with the request's body."""
    running = RunningRouter()
    running.start()
    running.add('one', lambda turn: turn.answer(200, turn.seen.body))
    yield running
    running.stop()


class Edge:
    """A caller that is not always sound."""

    def __init__(self, host: RunningRouter) -> None:
        self._address = tuple(host.cfg.callers)
        self._sock: socket.socket | None = None

    def send(self, rng: random.Random, data: bytes) -> list[int]:
        """Send bytes in pieces and return the statuses that come back."""
        if self._sock is None:
            self._sock = socket.create_connection(self._address)
        try:
            while data:
                size = rng.choice([1, 7, 100, 10_000])
                self._sock.sendall(data[:size])
                data = data[size:]
                if rng.random() < 0.05:
                    gevent.sleep(0.001)
        except OSError:
            self.close()
            return []
        return self._read()

    def _read(self) -> list[int]:
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method='GET', target='/', headers=[('Host', 'x')]))
        http.send(h11.EndOfMessage())
        statuses: list[int] = []
        with gevent.Timeout(ANSWER_S, False):
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    try:
                        http.receive_data(self._sock.recv(65_536))
                    except OSError:
                        break
                elif isinstance(event, h11.Response):
                    statuses.append(event.status_code)
                elif isinstance(event, h11.EndOfMessage):
                    if http.their_state is h11.DONE:
                        return statuses
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    break
        self.close()
        return statuses

    def half_close(self) -> None:
        """Tell the router that nothing more comes."""
        if self._sock is not None:
            self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Drop the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def check_arrivals(turns: list[Turn], sent: dict[str, Sent]) -> None:
    """Check that upstreams got only what was sent, as it was sent."""
    for seen in turns:
        assert seen.headers.get('x-request-id') != SMUGGLED
        assert seen.headers['x-upstream-id'] == 'one'
        assert seen.headers.get('x-workspace') == 'north'
        assert 'x-api-key' not in seen.headers
        original = sent.get(seen.headers.get('x-request-id', ''))
        if original is None:
            continue  # a byte of the id itself, or of its header's name, was changed
        if seen.target == original.target and inner() not in seen.body:
            assert seen.body == original.body


@pytest.mark.parametrize('seed', SEEDS)
def test_spoilt_requests_reach_nobody(seed: int, host: RunningRouter) -> None:
    rng = random.Random(seed)
    upstream = host.upstreams['one']
    upstream.requests.clear()
    edge = Edge(host)
    sent: dict[str, Sent] = {}
    answered = 0
    for number in range(REQUESTS):
        request = draw(rng, number)
        sent[request.request_id] = request
        if rng.random() < 0.5:
            statuses = edge.send(rng, request.raw)
            answered += statuses[-1:] == [200]
        else:
            raw = rng.choice(SPOILERS)(rng, request.raw)
            with gevent.Timeout(0.15, False):
                edge.send(rng, raw)
            edge.close()
    edge.close()
    check_arrivals(upstream.requests, sent)
    assert host.router.metrics.value('internal_errors') == 0
    assert answered >= REQUESTS // 4
    assert host.call('safe').status == 200
    host.wait(lambda: host.router.callers.body_memory.reserved_bytes == 0)
