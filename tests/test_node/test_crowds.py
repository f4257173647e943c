"""Tests that crowds of misbehaving callers end, fill or stop no node process.

Each lets a crowd do one thing at a node and asks for one ordinary request while the
crowd is still there.
"""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING, Any, NamedTuple

import crowds
import gevent
import pytest
from crowds import Crowd, ProcessWatch, RunningCrowd

from catalogues import KEYS
from rosemaryseam.standins.scripted import ScriptedUpstream

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.standins.scripted import ScriptedExchange

MEMORY_BYTES = 150_000_000  # of the host
DESCRIPTORS = 400  # that the node may open
MAX_BODY_BYTES = 4_000_000  # the default of the settings
MAX_DISCARDED_BYTES = 16_777_216  # of what a refused caller sends on
MAX_FLOOD_BYTES = 40_000_000  # of a caller whose answer may be lost by a reset
SEND_TIMEOUT_S = 20.0  # for a crowd to send what the process takes
WORK_S = 0.3  # of an upstream for a request
LARGE_ANSWER_BYTES = 6_000_000
SETTLE_S = 1.0  # for what was sent last to be handled
BOUNDS = {
    'connections': 300,
    'idle_connection_s': 600.0,
    'head_s': 600.0,
    'body_s': 600.0,
}

KEY_LINE = f'Authorization: Bearer {KEYS["market"]}\r\n'.encode()
APP = b'POST /apps/desk/book HTTP/1.1\r\nHost: h\r\n' + KEY_LINE
CHAT = b'POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n' + KEY_LINE
UNKNOWN_KEY = b'POST /apps/desk/book HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer x\r\n'
UNKNOWN_PATH = CHAT.replace(b'/v1/chat/completions', b'/none')
PROMPT = json.dumps(
    {'model': 'small', 'max_tokens': 2, 'messages': [{'role': 'user', 'content': 'hi'}]}
).encode()
ORDINARY = CHAT + b'Connection: close\r\nContent-Length: %d\r\n\r\n' % len(PROMPT)
ORDINARY += PROMPT


def nested_json(size: int) -> Callable[..., Any]:
    """Return a script that sends a prompt whose objects take most memory."""
    body = b'{"model": "small", "messages": [' + b'{"a":0},' * (size // 8) + b'0]}'
    return crowds.once(CHAT + b'Content-Length: %d\r\n\r\n' % len(body) + body)


class Case(NamedTuple):
    """A crowd at a node and the limits of its host."""

    name: str
    crowd: Crowd
    bounds: dict[str, int] = {}
    memory_bytes: int = MEMORY_BYTES
    descriptors: int = DESCRIPTORS


MANY = {'connections': 10_000, 'memory_bytes': 12_000_000}
CASES = [
    Case('whole bodies', Crowd(60, crowds.whole(APP, MAX_BODY_BYTES))),
    Case('small chunks', Crowd(20, crowds.small_chunks(APP, 1_000_000))),
    Case('unfinished', Crowd(60, crowds.unfinished(APP, MAX_BODY_BYTES))),
    Case('unfinished prompts', Crowd(60, crowds.unfinished(CHAT, MAX_BODY_BYTES))),
    Case('unfinished chunks', Crowd(60, crowds.unfinished_chunks(APP, MAX_BODY_BYTES))),
    Case('dripped', Crowd(60, crowds.dripped(APP, MAX_BODY_BYTES))),
    Case('returning', Crowd(60, crowds.unfinished(APP, MAX_BODY_BYTES), returns=True)),
    Case('silent, returning', Crowd(350, crowds.silent, returns=True)),
    Case('announced flood', Crowd(30, crowds.flood(APP, 1_000_000_000))),
    Case('chunked flood', Crowd(30, crowds.flood(APP, None))),
    Case('unknown key', Crowd(60, crowds.flood(UNKNOWN_KEY, 1_000_000_000))),
    Case('large prompts', Crowd(20, nested_json(1_000_000))),
    Case('long headers', Crowd(60, crowds.long_headers(APP, 90, 60_000))),
    Case('silent', Crowd(350, crowds.silent)),
    Case('unfinished heads', Crowd(350, crowds.once(APP))),
    Case('small requests', Crowd(350, crowds.unfinished(APP, 1000))),
    Case(
        'trailers without end',
        Crowd(60, crowds.endless_framing(APP, b'0\r\n', b'a: b\r\n')),
    ),
    Case(
        'long chunk extensions',
        Crowd(
            60,
            crowds.endless_framing(APP, b'', b'1;' + b'e' * 8000 + b'\r\nx\r\n'),
        ),
    ),
    Case(
        'more bodies than fit, returning',
        Crowd(1500, crowds.unfinished(APP, 60_000), returns=True),
        MANY,
    ),
    Case(
        'more heads than fit, returning',
        Crowd(1500, crowds.small_headers(APP, 30_000, b''), returns=True),
        MANY,
    ),
    Case(
        'more bodies than fit the default, returning',
        Crowd(3000, crowds.unfinished(APP, 60_000), returns=True),
        {'connections': 10_000},
        140_000_000,  # 64 MB are four fifths of what is above 60 MB
        1500,
    ),
    Case(
        'unread answers',
        Crowd(100, crowds.pipelined(ORDINARY, 600_000), reads=False),
    ),
]


@pytest.mark.parametrize('one', CASES, ids=[one.name for one in CASES])
def test_crowd_stays_within_the_memory_of_the_host(
    one: Case, own_fleet: Callable[..., Any]
) -> None:
    fleet = _start(own_fleet, one.bounds)
    answer, watch, _ = _play(fleet, one.crowd)
    assert fleet.processes['host-1'].process.poll() is None
    assert watch.most_bytes < one.memory_bytes
    assert watch.most_descriptors < one.descriptors
    assert answer.startswith(b'HTTP/1.1 200'), answer[:200]


REFUSED = [
    ('a long body', crowds.flood(APP, 1_000_000_000), {413}),
    ('long chunks', crowds.flood(APP, None), {413}),
    ('an unknown key', crowds.flood(UNKNOWN_KEY, 1_000_000_000), {401}),
    ('an unknown path', crowds.flood(UNKNOWN_PATH, 1_000_000_000), {404}),
]


@pytest.mark.parametrize(
    ('name', 'script', 'statuses'), REFUSED, ids=[row[0] for row in REFUSED]
)
def test_refused_sender_sees_its_answer_and_is_closed(
    name: str,
    script: Callable[..., Any],
    statuses: set[int],
    own_fleet: Callable[..., Any],
) -> None:
    fleet = _start(own_fleet)
    answer, _, outcomes = _play(fleet, Crowd(5, script))
    assert answer.startswith(b'HTTP/1.1 200')
    assert {one.status for one in outcomes} == statuses
    assert all(one.closed for one in outcomes)
    assert all(one.sent_after_answer < MAX_DISCARDED_BYTES for one in outcomes)
    assert all(one.sent_bytes < MAX_FLOOD_BYTES for one in outcomes)


CHUNKED = [
    (APP, hashlib.sha256(PROMPT).hexdigest().encode()),
    (CHAT, b'"finish_reason"'),
]


@pytest.mark.parametrize(('head', 'expected'), CHUNKED, ids=['app', 'chat'])
@pytest.mark.parametrize('size', [len(PROMPT), 7, 1])
def test_chunked_request_is_answered(
    head: bytes, expected: bytes, size: int, own_fleet: Callable[..., Any]
) -> None:
    """A body without a length reaches the upstream whole."""
    fleet = _start(own_fleet)
    parts = [PROMPT[at : at + size] for at in range(0, len(PROMPT), size)]
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    request = head + b'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
    answer = crowds.ask(_address(fleet), request + chunks + b'0\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 200'), answer[:300]
    assert expected in answer


@pytest.mark.parametrize('parts', [1, 12], ids=['at once', 'slowly'])
def test_largest_request_is_served_in_calm(
    parts: int, own_fleet: Callable[..., Any]
) -> None:
    fleet = _start(own_fleet)
    body = bytes(MAX_BODY_BYTES)
    head = APP + b'Content-Length: %d\r\n\r\n' % MAX_BODY_BYTES
    script = crowds.slowly(head + body, parts)
    running = RunningCrowd(Crowd(1, script), _address(fleet))
    running.wait_sent(SEND_TIMEOUT_S)
    gevent.sleep(SETTLE_S)
    running.stop()
    assert [one.status for one in running.outcomes] == [200]
    assert hashlib.sha256(body).hexdigest().encode() in running.outcomes[0].received


def test_large_answers_stay_within_the_memory_of_the_host(
    own_fleet: Callable[..., Any],
) -> None:
    """Callers that ask for large answers at once get some of them or an error."""

    def answer_at_length(exchange: ScriptedExchange) -> None:
        gevent.sleep(WORK_S)
        exchange.answer(200, bytes(LARGE_ANSWER_BYTES), {'Content-Type': 'text/plain'})

    upstream = ScriptedUpstream(answer_at_length)

    def use_upstream(catalogue: dict[str, Any]) -> None:
        for entry in catalogue['upstreams']:
            if entry['pool'] == 'desk':
                entry['address'] = str(upstream.address)

    fleet = own_fleet(
        nodes=1,
        engines=1,
        apps=1,
        concurrent=100,
        edit_catalogue=use_upstream,
        bounds=BOUNDS,
    )
    crowd = Crowd(40, crowds.once(APP + b'Content-Length: 2\r\n\r\nhi'), reads=False)
    answer, watch, _ = _play(fleet, crowd)
    upstream.stop()
    assert len(upstream.requests) == crowd.callers
    assert watch.most_bytes < MEMORY_BYTES
    assert answer.startswith(b'HTTP/1.1 200'), answer[:200]


def test_addresses_of_operators_hold_little(own_fleet: Callable[..., Any]) -> None:
    """Connections to the operators' address are bounded too."""
    fleet = _start(own_fleet)
    admin = _address(fleet, 'admin_listen')
    watch = _watch(fleet)
    running = [
        RunningCrowd(crowd, admin)
        for crowd in (
            Crowd(30, crowds.flood(b'POST /catalogue HTTP/1.1\r\nHost: h\r\n', 10**9)),
            Crowd(40, crowds.long_headers(b'GET /x HTTP/1.1\r\n', 90, 60_000)),
            Crowd(350, crowds.silent),
        )
    ]
    for crowd in running:
        crowd.wait_sent(5.0)
    gevent.sleep(SETTLE_S)
    healthy = crowds.ask(admin, b'GET /healthz HTTP/1.0\r\n\r\n')
    answer = crowds.ask(_address(fleet), ORDINARY)
    watch.stop()
    for crowd in running:
        crowd.stop()
    assert watch.most_bytes < MEMORY_BYTES
    assert watch.most_descriptors < DESCRIPTORS
    assert b' 200 ' in healthy[:20], healthy[:200]
    assert answer.startswith(b'HTTP/1.1 200'), answer[:200]


def _start(own_fleet: Callable[..., Any], bounds: dict[str, int] | None = None) -> Any:
    return own_fleet(nodes=1, engines=1, apps=1, bounds=BOUNDS | (bounds or {}))


def _play(fleet: Any, crowd: Crowd) -> tuple[bytes, ProcessWatch, list[Any]]:
    """Let a crowd send, ask an ordinary request beside it, and return what was seen."""
    address = _address(fleet)
    watch = _watch(fleet)
    running = RunningCrowd(crowd, address)
    try:
        running.wait_sent(SEND_TIMEOUT_S)
        gevent.sleep(SETTLE_S)
        answer = crowds.ask(address, ORDINARY)
        gevent.sleep(SETTLE_S)
    finally:
        running.stop()
        watch.stop()
    return answer, watch, running.outcomes


def _watch(fleet: Any) -> ProcessWatch:
    return ProcessWatch(fleet.processes['host-1'].process.pid)


def _address(fleet: Any, key: str = 'listen') -> tuple[str, int]:
    ip, port = fleet.nodes['host-1'][key].split(':')
    return ip, int(port)
