"""Tests that broken answers are transport errors and that nothing is sent twice."""

from __future__ import annotations

from typing import Any

import gevent
import pytest
from gevent.server import StreamServer

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.exchange import TRANSPORT_ERRORS, call, open_exchange

HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

VERSIONS = ['HTTP/2.0', 'HTTP/0.9', 'RTSP/1.0', 'ICE/1.0']


@pytest.fixture
def broken_server(request: pytest.FixtureRequest) -> Any:
    def serve(sock: Any, _address: Any) -> None:
        sock.recv(65_536)
        sock.sendall(request.param)
        sock.close()

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    yield Address('127.0.0.1', server.server_port)
    server.stop()


BROKEN = [b'', b'HTTP/1.1 2', b'not HTTP\r\n\r\n', HEAD, HEAD + b'5\r\nab']


@pytest.mark.parametrize('broken_server', BROKEN, indirect=True)
def test_broken_answer_is_a_transport_error(broken_server: Address) -> None:
    with (
        open_exchange(broken_server, 1.0, 1.0) as exchange,
        pytest.raises(TRANSPORT_ERRORS),
    ):
        exchange.connect()
        exchange.send('GET', '/').read()


@pytest.mark.parametrize('broken_server', BROKEN, indirect=True)
def test_call_reports_a_broken_answer_as_oserror(broken_server: Address) -> None:
    with pytest.raises(OSError, match='127'):
        call(broken_server, 'GET', '/', timeout_s=1.0)


ANSWER = b'HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 2\r\n\r\nok'
BEHIND = [
    ('an answer', b'HTTP/1.1 500 No\r\nB: 2\r\nContent-Length: 5\r\n\r\nother'),
    ('an unframed answer', b'HTTP/1.1 404 No\r\nB: 2\r\n\r\nother'),
    ('half a head', b'HTTP/1.1 500 No\r\nB: 2\r\n'),
    ('no HTTP', b'\0\0other'),
]


# Guards against an answer with the head of another one, or with its body, as more bytes
# came behind it (MIXED, issue 51).
@pytest.mark.parametrize(
    'broken_server', [ANSWER + b for _, b in BEHIND], indirect=True
)
def test_bytes_behind_an_answer_do_not_belong_to_it(broken_server: Address) -> None:
    answer = call(broken_server, 'GET', '/', timeout_s=1.0)
    assert (answer.status, answer.body) == (200, b'ok')
    assert dict(answer.headers) == {'A': '1', 'Content-Length': '2'}


BODY = b'Content-Length: 2\r\n\r\nok'
INVALID_HEADS = [
    *(
        (f'status {status}', b'HTTP/1.1 %s OK\r\n' % status.encode() + BODY)
        for status in ('000', '001', '099', '20', '2000', '600', '999', '-20')
    ),
    *((version, b'%s 200 OK\r\n' % version.encode() + BODY) for version in VERSIONS),
    *(
        (f'name {name!r}', b'HTTP/1.1 200 OK\r\n%s: v\r\n' % name + BODY)
        for name in (
            b'X A',
            b'X-A ',
            b' X-A',
            b'X\x01A',
            b'X\x7fA',
            b'X\0A',
            b'',
            b'X\tA',
        )
    ),
    ('a length behind a blank', b'HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok'),
    ('two lengths', b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n' + BODY),
    ('a control byte', b'HTTP/1.1 200 OK\r\nX-A: a\x01b\r\n' + BODY),
    ('a control byte in the reason', b'HTTP/1.1 200 O\x01K\r\n' + BODY),
    ('another coding', b'HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok'),
]
FOLLOWING = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'


# Guards against an answer with an invalid head that is taken for one, or skipped as if
# it were informational (issue 51).
@pytest.mark.parametrize('following', [b'', FOLLOWING], ids=['alone', 'and another'])
@pytest.mark.parametrize(
    ('name', 'head'), INVALID_HEADS, ids=[row[0] for row in INVALID_HEADS]
)
def test_answer_with_an_invalid_head_is_none(
    name: str, head: bytes, following: bytes
) -> None:
    def serve(sock: Any, _: object) -> None:
        sock.recv(65_536)
        sock.sendall(head + following)
        sock.close()

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    try:
        with pytest.raises(OSError, match='127'):
            call(Address('127.0.0.1', server.server_port), 'GET', '/', timeout_s=1.0)
    finally:
        server.stop()


EARLY = b'HTTP/1.1 103 Early Hints\r\n\r\n'
PLAIN = b'HTTP/1.1 200 OK\r\n'
SIZED = PLAIN + b'Content-Length: 4\r\n\r\n'
IN_PARTS = [
    ('a length', [EARLY, SIZED + b'ab', b'cd']),
    ('chunks', [EARLY, HEAD + b'2\r\nab\r\n', b'2\r\ncd\r\n0\r\n\r\n']),
    ('neither', [EARLY, PLAIN + b'\r\nab', b'cd']),
    ('both heads at once', [EARLY + SIZED + b'ab', b'cd']),
]


# Guards against a body that ends with the bytes that came with its head, as an
# informational answer came first (MIXED, issue 51).
@pytest.mark.parametrize(('name', 'parts'), IN_PARTS, ids=[row[0] for row in IN_PARTS])
def test_body_is_whole_after_an_informational_answer(
    name: str, parts: list[bytes]
) -> None:
    def serve(sock: Any, _: object) -> None:
        sock.recv(65_536)
        for part in parts:
            sock.sendall(part)
            gevent.sleep(0.05)
        sock.close()

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    try:
        address = Address('127.0.0.1', server.server_port)
        answer = call(address, 'GET', '/', timeout_s=1.0)
    finally:
        server.stop()
    assert (answer.status, answer.body) == (200, b'abcd')


def test_put_is_sent_once() -> None:
    """The HTTP library resends a PUT on a closed connection; an exchange must not."""
    seen = []

    def serve(sock: Any, _address: Any) -> None:
        seen.append(sock.recv(65_536))
        sock.close()

    server = StreamServer(('127.0.0.1', 0), serve)
    server.start()
    address = Address('127.0.0.1', server.server_port)
    with pytest.raises(OSError, match='127'):
        call(address, 'PUT', '/', b'value', timeout_s=1.0)
    server.stop()
    assert len(seen) == 1
