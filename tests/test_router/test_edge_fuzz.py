"""Fuzz tests of the server for callers with malformed and smuggled requests.

Each seed generates valid requests, corrupts some of them, and sends them in pieces on
connections that are reused where the router allows it. No upstream may receive a
smuggled request, a body that was not sent, or a header reserved for the router.
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

    from rosemaryseam.standins.scripted import ScriptedExchange

SEEDS = range(12)
REQUESTS_PER_SEED = 60
ANSWER_TIMEOUT_S = 2.0
SMUGGLED_ID = 'smuggled'
OWN_NAMES = {'x-workspace': 'north', 'x-api-key': None}


class ValidRequest(NamedTuple):
    """A valid request, before any corruption."""

    request_id: str
    target: str
    body: bytes
    raw: bytes


def random_request(rng: random.Random, number: int) -> ValidRequest:
    """Return a valid request with random content."""
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
        framed = encode_chunked(rng, body)
        head.append('Transfer-Encoding: chunked')
    raw = '\r\n'.join(head).encode() + b'\r\n\r\n' + framed
    return ValidRequest(request_id, target, body, raw)


def encode_chunked(rng: random.Random, body: bytes) -> bytes:
    """Return a body in chunked transfer encoding with random chunk sizes."""
    parts = []
    while body:
        size = rng.randint(1, len(body))
        parts.append(f'{size:x}\r\n'.encode() + body[:size] + b'\r\n')
        body = body[size:]
    return b''.join([*parts, b'0\r\n\r\n'])


def smuggled_request() -> bytes:
    """Return a request that is hidden in the body of another one."""
    head = (
        f'POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {SMUGGLED_ID}\r\n'
    )
    return head.encode() + f'X-Api-Key: {KEY}\r\nContent-Length: 0\r\n\r\n'.encode()


def adding_header(line: bytes) -> Callable[[random.Random, bytes], bytes]:
    """Return a corruption that adds a header line."""

    def change(rng: random.Random, raw: bytes) -> bytes:
        head, _, body = raw.partition(b'\r\n\r\n')
        return head + b'\r\n' + line + b'\r\n\r\n' + body

    return change


def flip_byte(rng: random.Random, raw: bytes) -> bytes:
    """Replace a random byte of the head."""
    end = raw.index(b'\r\n\r\n')
    index = rng.randrange(end)
    return raw[:index] + rng.randbytes(1) + raw[index + 1 :]


def truncate(rng: random.Random, raw: bytes) -> bytes:
    """Remove a random number of bytes from the end."""
    return raw[: rng.randrange(1, len(raw))]


def reframe(raw: bytes, *framing: bytes) -> bytes:
    """Return the head of a request with its framing headers replaced."""
    head, _, _ = raw.partition(b'\r\n\r\n')
    names = (b'content-length', b'transfer-encoding')
    lines = [line for line in head.split(b'\r\n') if not line.lower().startswith(names)]
    return b'\r\n'.join([*lines, *framing]) + b'\r\n\r\n'


def smuggle_by_two_lengths(rng: random.Random, raw: bytes) -> bytes:
    """Hide a request in a body with two conflicting lengths."""
    lengths = [
        f'Content-Length: {len(smuggled_request())}'.encode(),
        b'Content-Length: 0',
    ]
    rng.shuffle(lengths)
    return reframe(raw, *lengths) + smuggled_request()


def smuggle_in_chunks(rng: random.Random, raw: bytes) -> bytes:
    """Hide a request after the last chunk of a body that also has a length."""
    body = b'0\r\n\r\n' + smuggled_request()
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


def use_bare_line_feeds(rng: random.Random, raw: bytes) -> bytes:
    """Replace the line ends of the head by line feeds only."""
    head, _, body = raw.partition(b'\r\n\r\n')
    return head.replace(b'\r\n', b'\n') + b'\n\n' + body


CORRUPTIONS = [
    flip_byte,
    truncate,
    smuggle_by_two_lengths,
    smuggle_in_chunks,
    use_bare_line_feeds,
    adding_header(b'X-Workspace: south'),
    adding_header(b'X-Upstream-Id: other'),
    adding_header(b'X-Urgency: 0'),
    adding_header(b'X-Api-Key: other'),
    adding_header(b' folded: into the header before'),
    adding_header(b'Host: other.example'),
    adding_header(b'X-Long: ' + b'x' * 40_000),
    adding_header(b'X-Patience-Ms: nan'),
    adding_header(b'Connection: X-Request-Id, X-Workspace'),
    adding_header(b'Expect: 100-continue'),
    lambda rng, raw: rng.randbytes(200),
    lambda rng, raw: b'\r\n\r\n' + raw,
]


@pytest.fixture(scope='module')
def host() -> Iterator[RunningRouter]:
    """Yield a router with one upstream that answers with the body of the request."""
    running = RunningRouter()
    running.start()
    running.add('one', lambda exchange: exchange.answer(200, exchange.request.body))
    yield running
    running.stop()


class FuzzClient:
    """A client that sends arbitrary bytes and reads the statuses of the answers."""

    def __init__(self, host: RunningRouter) -> None:
        self._address = tuple(host.cfg.callers)
        self._sock: socket.socket | None = None

    def send(self, rng: random.Random, data: bytes) -> list[int]:
        """Send bytes in pieces; return the statuses of the answers."""
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
        with gevent.Timeout(ANSWER_TIMEOUT_S, False):
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
        """Shut down the sending side of the connection."""
        if self._sock is not None:
            self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def check_received_requests(
    received: list[ScriptedExchange], sent: dict[str, ValidRequest]
) -> None:
    """Check that upstreams received only requests that were sent, unaltered."""
    for seen in received:
        assert seen.headers.get('x-request-id') != SMUGGLED_ID
        assert seen.headers['x-upstream-id'] == 'one'
        assert seen.headers.get('x-workspace') == 'north'
        assert 'x-api-key' not in seen.headers
        original = sent.get(seen.headers.get('x-request-id', ''))
        if original is None:
            continue  # the corruption changed the request id or the name of its header
        if seen.target == original.target and smuggled_request() not in seen.body:
            assert seen.body == original.body


@pytest.mark.parametrize('seed', SEEDS)
def test_corrupted_requests_do_not_reach_upstreams_altered(
    seed: int, host: RunningRouter
) -> None:
    rng = random.Random(seed)
    upstream = host.upstreams['one']
    upstream.requests.clear()
    client = FuzzClient(host)
    sent: dict[str, ValidRequest] = {}
    answered = 0
    for number in range(REQUESTS_PER_SEED):
        request = random_request(rng, number)
        sent[request.request_id] = request
        if rng.random() < 0.5:
            statuses = client.send(rng, request.raw)
            answered += statuses[-1:] == [200]
        else:
            raw = rng.choice(CORRUPTIONS)(rng, request.raw)
            with gevent.Timeout(0.15, False):
                client.send(rng, raw)
            client.close()
    client.close()
    check_received_requests(upstream.requests, sent)
    assert host.router.metrics.value('internal_errors') == 0
    assert answered >= REQUESTS_PER_SEED // 4
    assert host.call('safe').status == 200
    host.wait(lambda: host.router.callers.account.reserved_bytes == 0)
