"""Tests whether streams that break off are told apart from complete ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from gevent import socket
from routers import KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from routers import RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange

FRAMINGS = ['close', 'chunked', 'length']
EVENT = 'id: {0}\ndata: x\n\n'
EVENTS = 4


def events(first: int, last: int) -> bytes:
    """Return complete events with these numbers."""
    return ''.join(EVENT.format(i) for i in range(first, last + 1)).encode()


def write_stream(exchange: ScriptedExchange, framing: str, body: bytes) -> None:
    """Answer with a body and close the connection in order.

    :param framing: how the end of the body is marked
    """
    fields = exchange.headers(Content_Type='text/event-stream; charset=utf-8')
    if framing == 'chunked':
        fields['Transfer-Encoding'] = 'chunked'
        body = f'{len(body):x}\r\n'.encode() + body + b'\r\n0\r\n\r\n'
    elif framing == 'length':
        fields['Content-Length'] = str(len(body))
    exchange.start(200, fields)
    exchange.send_raw(body)
    exchange.close()


def breaking_off(
    framing: str, body: bytes
) -> tuple[Callable[[ScriptedExchange], None], list[int]]:
    """Return a script whose first stream breaks off, and the numbers it resumed at."""
    resumed_after: list[int] = []

    def script(exchange: ScriptedExchange) -> None:
        resumed_after.append(int(exchange.request.headers.get('last-event-id', '0')))
        if len(resumed_after) == 1:
            write_stream(exchange, framing, body)
        else:
            write_stream(exchange, framing, events(resumed_after[-1] + 1, EVENTS))

    return script, resumed_after


CUT = events(1, 2) + b'id: 3\nda'

# Each body ends inside its third event.
BROKEN_OFF = [
    ('in-a-field-name', events(1, 2) + b'i'),
    ('in-a-value', events(1, 2) + b'id: 3\ndata: ha'),
    ('after-a-line', events(1, 2) + b'id: 3\ndata: half\n'),
    ('in-a-line-end', events(1, 2) + b'id: 3\r\ndata: half\r'),
]


# Guards against truncated streams that reach callers as complete answers (ORDER).
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize(
    'body', [row[1] for row in BROKEN_OFF], ids=[row[0] for row in BROKEN_OFF]
)
def test_stream_that_ends_inside_an_event_is_seen_as_incomplete(
    router: RunningRouter, framing: str, body: bytes
) -> None:
    router.add('one', lambda exchange: write_stream(exchange, framing, body))
    response = router.call('once')
    assert response.events() == [1, 2]
    assert not response.complete


# Guards against truncated streams that reach callers as complete answers (ORDER).
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize(
    'body', [row[1] for row in BROKEN_OFF], ids=[row[0] for row in BROKEN_OFF]
)
def test_stream_that_ends_inside_an_event_is_resumed(
    router: RunningRouter, framing: str, body: bytes
) -> None:
    script, resumed_after = breaking_off(framing, body)
    router.add('one', script)
    router.add('two', script)
    response = router.call('stream')
    assert response.events() == [1, 2, 3, 4]
    assert response.body == events(1, EVENTS)
    assert response.complete
    assert resumed_after == [0, 2]


# Guards against a crash before the first event that looks like an empty stream.
@pytest.mark.parametrize(
    ('route', 'status', 'seen', 'runs'),
    [('stream', 200, [1, 2, 3, 4], [0, 0]), ('once', 502, [], [0])],
)
def test_connection_that_closes_before_the_first_event_is_no_answer(
    router: RunningRouter, route: str, status: int, seen: list[int], runs: list[int]
) -> None:
    script, resumed_after = breaking_off('close', b'')
    router.add('one', script)
    router.add('two', script)
    response = router.call(route)
    assert (response.status, response.events()) == (status, seen)
    assert resumed_after == runs


# Guards against resumed streams that don't fit the length their first part stated, and
# against chunks whose end no upstream stated (ORDER, issue 51).
@pytest.mark.parametrize(
    ('framing', 'complete'), [('chunked', True), ('length', True), ('close', False)]
)
def test_stream_with_a_length_is_resumed_after_a_cut(
    router: RunningRouter, framing: str, complete: bool
) -> None:
    def cut(exchange: ScriptedExchange) -> None:
        fields = exchange.headers(Content_Type='text/event-stream')
        fields['Content-Length'] = str(len(events(1, EVENTS)) - 1)
        exchange.start(200, fields)
        exchange.send_raw(events(1, 2))
        exchange.close()

    def script(exchange: ScriptedExchange) -> None:
        if 'last-event-id' in exchange.request.headers:
            write_stream(exchange, framing, events(3, EVENTS))
        else:
            cut(exchange)

    router.add('one', script)
    router.add('two', script)
    response = router.call('stream')
    assert response.body == events(1, EVENTS)
    assert response.complete is complete


# Guards against streams that end as complete too early, as the upstream that was to go
# on ended its answer without an event (ORDER).
@pytest.mark.parametrize('framing', ['chunked', 'length'])
def test_stream_that_does_not_go_on_is_seen_as_incomplete(
    router: RunningRouter, framing: str
) -> None:
    def script(exchange: ScriptedExchange) -> None:
        resumed = 'last-event-id' in exchange.request.headers
        write_stream(exchange, framing if resumed else 'close', b'' if resumed else CUT)

    router.add('one', script)
    router.add('two', script)
    response = router.call('stream')
    assert response.events() == [1, 2]
    assert not response.complete


# Guards against callers that cannot learn that they have the whole of a cut stream.
@pytest.mark.parametrize('framing', ['chunked', 'length'])
def test_caller_that_takes_a_whole_stream_up_gets_its_end(
    router: RunningRouter, framing: str
) -> None:
    router.add('one', lambda exchange: write_stream(exchange, framing, b''))
    response = router.call('stream', headers={'Last-Event-Id': '4'})
    assert (response.status, response.body, response.complete) == (200, b'', True)


COMPLETE = [
    ('as-usual', events(1, EVENTS)),
    ('with-a-blank-line-more', events(1, EVENTS) + b'\n'),
    ('with-a-comment', events(1, EVENTS) + b': end\n'),
    ('with-crlf', events(1, EVENTS).replace(b'\n', b'\r\n')),
    ('with-cr', events(1, EVENTS).replace(b'\n', b'\r')),
    ('with-mixed-line-ends', events(1, EVENTS).replace(b'\n\n', b'\n\r\n')),
]


@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize(
    'body', [row[1] for row in COMPLETE], ids=[row[0] for row in COMPLETE]
)
def test_complete_stream_is_relayed_unchanged(
    router: RunningRouter, framing: str, body: bytes
) -> None:
    one = router.add('one', lambda exchange: write_stream(exchange, framing, body))
    response = router.call('once')
    assert response.body == body
    assert response.complete
    assert len(one.requests) == 1


@pytest.mark.parametrize('framing', FRAMINGS)
def test_answer_that_is_no_event_stream_has_no_event_to_end_in(
    router: RunningRouter, framing: str
) -> None:
    def answer(exchange: ScriptedExchange) -> None:
        fields = exchange.headers(Content_Type='application/json')
        body = b'{"text":"x"}'
        if framing == 'length':
            fields['Content-Length'] = str(len(body))
        elif framing == 'chunked':
            fields['Transfer-Encoding'] = 'chunked'
            body = f'{len(body):x}\r\n'.encode() + body + b'\r\n0\r\n\r\n'
        exchange.start(200, fields)
        exchange.send_raw(body)
        exchange.close()

    router.add('one', answer)
    response = router.call('once')
    assert (response.body, response.complete) == (b'{"text":"x"}', True)


def read_as_http10_caller(router: RunningRouter) -> tuple[bytes, bool]:
    """Send a request as HTTP/1.0; return the answer and whether it ended in order."""
    sock = socket.create_connection(tuple(router.cfg.callers))
    lines = [
        'POST /once/thing HTTP/1.0',
        'Host: h.example',
        'X-Request-Id: old-caller',
        'X-Patience-Ms: 3000',
        f'X-Api-Key: {KEY}',
        'Content-Length: 0',
    ]
    sock.sendall('\r\n'.join([*lines, '', '']).encode())
    data = b''
    try:
        while part := sock.recv(65_536):
            data += part
    except ConnectionResetError:
        return data, False
    finally:
        sock.close()
    return data, True


# Guards against answers without a framing of their own that are cut and look complete.
@pytest.mark.parametrize(
    ('body', 'in_order'),
    [(events(1, EVENTS), True), (events(1, 2) + b'id: 3', False)],
    ids=['complete', 'broken-off'],
)
def test_broken_off_answer_is_reset_if_only_its_connection_ends_it(
    router: RunningRouter, body: bytes, in_order: bool
) -> None:
    router.add('one', lambda exchange: write_stream(exchange, 'close', body))
    answer, ended_in_order = read_as_http10_caller(router)
    assert ended_in_order is in_order
    if in_order:
        assert answer.endswith(body)
