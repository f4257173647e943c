"""Tests answers of upstreams whose heads are none."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from routers import RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange

STATUS_LINE = b'HTTP/1.1 200 OK'
STREAM = b'Content-Type: text/event-stream'
BODY = b'id: 1\ndata: x\n\n'
LENGTH = b'Content-Length: %d' % len(BODY)
BAD_NAMES = [
    b'X A',
    b'X-A ',
    b' X-A',
    b'X\x01A',
    b'X\x7fA',
    b'X\0A',
    b'',
    b'X\tA',
    b'X\xe9',
]
BAD_STATUSES = ['000', '001', '099', '20', '2000', '600', '999', '-20', '2x0', '']
BAD_VERSIONS = ['HTTP/2.0', 'HTTP/0.9', 'HTTP/1', 'HTTP/1.2', 'RTSP/1.0', 'http/1.1']

HEADS: list[tuple[str, bytes, list[bytes]]] = [
    *(
        (f'status {status}', b'HTTP/1.1 %s OK' % status.encode(), [LENGTH])
        for status in BAD_STATUSES
    ),
    *(
        (f'{version}', b'%s 200 OK' % version.encode(), [LENGTH])
        for version in BAD_VERSIONS
    ),
    *((f'name {name!r}', STATUS_LINE, [name + b': v', LENGTH]) for name in BAD_NAMES),
    *(
        (f'last name {name!r}', STATUS_LINE, [LENGTH, name + b': v'])
        for name in BAD_NAMES
    ),
    ('no colon', STATUS_LINE, [b'X-A', LENGTH]),
    ('a control byte in a value', STATUS_LINE, [b'X-A: a\x01b', LENGTH]),
    ('a NUL in a value', STATUS_LINE, [b'X-A: a\0b', LENGTH]),
    ('a CR in a value', STATUS_LINE, [b'X-A: a\rb', LENGTH]),
    ('a length behind a blank', STATUS_LINE, [b'Content-Length : 1', LENGTH]),
    ('two lengths', STATUS_LINE, [b'Content-Length: 1', LENGTH]),
    ('another coding', STATUS_LINE, [b'Transfer-Encoding: gzip']),
    ('a control byte in the reason', b'HTTP/1.1 200 O\x01K', [LENGTH]),
]


# Guards against answers with an invalid head that their callers get as answers, or with
# a body that is not the upstream's (issue 51).
@pytest.mark.parametrize('route', ['safe', 'unsafe', 'stream', 'once'])
@pytest.mark.parametrize(
    ('name', 'status_line', 'fields'), HEADS, ids=[row[0] for row in HEADS]
)
def test_answer_with_an_invalid_head_is_a_failure(
    router: RunningRouter,
    name: str,
    status_line: bytes,
    fields: list[bytes],
    route: str,
) -> None:
    def script(exchange: ScriptedExchange) -> None:
        own = [f'{key}: {value}'.encode() for key, value in exchange.headers().items()]
        lines = [status_line, *own, STREAM, *fields, b'', b'']
        exchange.send_raw(b'\r\n'.join(lines) + BODY)
        exchange.close()

    router.add('one', script)
    response = router.call(route)
    assert (response.status, response.complete) == (502, True)
    assert BODY not in response.body


def test_head_with_bare_line_ends_is_apart_from_its_body(router: RunningRouter) -> None:
    body = b'\x00\x01\r\x7f'

    def script(exchange: ScriptedExchange) -> None:
        own = [f'{key}: {value}'.encode() for key, value in exchange.headers().items()]
        head = b'\n'.join([STATUS_LINE, *own, b'Content-Length: 4', b'', b''])
        exchange.send_raw(head + body)

    router.add('one', script)
    response = router.call('safe')
    assert (response.status, response.body) == (200, body)
