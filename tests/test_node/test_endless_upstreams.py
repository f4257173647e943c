"""Tests upstreams that send bytes without end: they fill no node."""

from __future__ import annotations

import itertools
import json
from typing import TYPE_CHECKING, Any

import crowds
import gevent
import pytest
from crowds import Crowd, ProcessWatch, RunningCrowd

from catalogues import KEYS
from rosemaryseam.standins.scripted import ScriptedUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.standins.scripted import ScriptedExchange

MEMORY_BYTES = 150_000_000  # of the host, as for crowds of callers
CALLERS = 40
PLAY_S = 4.0
KEY_LINE = f'Authorization: Bearer {KEYS["market"]}\r\n'.encode()
HEAD = b'HTTP/1.1 200 OK\r\n'
STREAM = HEAD + b'Content-Type: text/event-stream\r\n\r\n'
CHUNK = b'data: {"object": "c", "choices": [{"delta": {"content": "%s"}}]}\n\n'

ENDLESS = [
    ('an event', STREAM + b'data: ', b'a' * 8192),
    ('events', STREAM, CHUNK % (b'a' * 8192)),
    ('fields of an event', STREAM + b'data: {"choices": [', b'{"index": 1},' * 600),
    ('headers', HEAD, b'X-A: a\r\n' * 1000),
    ('a header', HEAD + b'X-A: ', b'a' * 8192),
    ('informational answers', b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 400),
    ('a failure', STREAM.replace(b'200', b'500'), b'a' * 8192),
]


def request(streamed: bool) -> bytes:
    """Return a request to the engines."""
    message = {'role': 'user', 'content': 'hi'}
    body = json.dumps({'model': 'small', 'stream': streamed, 'messages': [message]})
    head = b'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n' + KEY_LINE
    return head + b'Content-Length: %d\r\n\r\n' % len(body) + body.encode()


# Guards against a node that keeps all that upstreams send without end, and runs out of
# memory with the requests of others (LOST, issue 51).
@pytest.mark.parametrize('streamed', [True, False], ids=['streamed', 'whole'])
@pytest.mark.parametrize(
    ('name', 'first', 'again'), ENDLESS, ids=[row[0] for row in ENDLESS]
)
def test_endless_answers_stay_within_the_memory_of_the_host(
    name: str,
    first: bytes,
    again: bytes,
    streamed: bool,
    own_fleet: Callable[..., Any],
) -> None:
    def send_without_end(exchange: ScriptedExchange) -> None:
        for data in itertools.chain([first], itertools.repeat(again)):
            exchange.send_raw(data)
            gevent.sleep(0)

    upstream = ScriptedUpstream(send_without_end)

    def use_upstream(catalogue: dict[str, Any]) -> None:
        for entry in catalogue['upstreams']:
            if entry['pool'] == 'models':
                entry['address'] = str(upstream.address)

    fleet = own_fleet(
        nodes=1, engines=1, apps=1, concurrent=100, edit_catalogue=use_upstream
    )
    ip, port = fleet.nodes['host-1']['listen'].split(':')
    process = fleet.processes['host-1'].process
    watch = ProcessWatch(process.pid)
    crowd = Crowd(CALLERS, crowds.once(request(streamed)), reads=False)
    running = RunningCrowd(crowd, (ip, int(port)))
    gevent.sleep(PLAY_S)
    head = b'POST /apps/desk/book HTTP/1.1\r\nHost: h\r\n' + KEY_LINE
    head += b'Connection: close\r\nContent-Length: 2\r\n\r\nhi'
    answer = crowds.ask((ip, int(port)), head)
    running.stop()
    watch.stop()
    upstream.stop()
    assert process.poll() is None
    assert upstream.requests
    assert watch.most_bytes < MEMORY_BYTES
    assert answer.startswith(b'HTTP/1.1 200'), answer[:200]
