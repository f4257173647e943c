"""Tests of decoding and encoding the platform's headers."""

from __future__ import annotations

import pytest

from rosemaryseam.common.addresses import Address
from rosemaryseam.platform.headers import HEADER_NAMES
from rosemaryseam.router.codec import BadRequestError, RequestHead
from rosemaryseam.router.headercodec import open_header_codec
from rosemaryseam.router.requests import PromptPart, UpstreamCall

CODEC = open_header_codec(HEADER_NAMES)
HEADERS = [
    (b'Host', b'Shop.example:8080'),
    (b'Rosemaryseam-Attempt-Id', b'9c41'),
    (b'Last-Event-Id', b'12'),
    (b'Rosemaryseam-Model', b'm'),
    (b'Rosemaryseam-Token-Counts', b'1460,80'),
    (b'Rosemaryseam-Prompt-Prefix', b'5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
    (b'Rosemaryseam-Length-Hint', b'33'),
    (b'Rosemaryseam-Deadline-Ms', b'5000'),
    (b'X-Api-Key', b'secret'),
    (b'X-Other', b'kept'),
]
FORGED = [
    b'Rosemaryseam-Tenant',
    b'Rosemaryseam-Expect-Instance',
    b'Rosemaryseam-Urgency-Class',
    b'Rosemaryseam-Hold',
    b'Rosemaryseam-Pin-Ms',
    b'Rosemaryseam-Kv-Backup',
    b'Kv-From',
    b'Kv-Fetch',
    b'ROSEMARYSEAM-TENANT',
]


def decode(extra: list[tuple[bytes, bytes]] | None = None) -> object:
    """Decode a request with further headers and return it."""
    head = RequestHead(b'POST', b'/a/b?c=1', HEADERS + (extra or []))
    return CODEC.decode_request(head, b'body', 1.0)


def call(**changes: object) -> dict[bytes, bytes]:
    """Return the headers of a request to an upstream."""
    entry = UpstreamCall(decode(), 'i-7', 'north', 2.5, 3, None, None)
    return dict(CODEC.encode_call(entry._replace(**changes)))


def test_request_is_decoded() -> None:
    request = decode()
    assert request.id == '9c41'
    assert (request.host, request.path) == ('shop.example', '/a/b')
    assert request.timeout_s == 5.0
    assert request.api_key == 'secret'
    assert request.prompt.parts[0] == PromptPart('5c1e07a2', 800)
    assert request.prompt.prompt_tokens == 1460
    assert request.prompt.expected_output_tokens == 33
    assert request.prompt.last_shared_digest == '91bd3f06'
    assert request.prompt.unshared_tokens == 250


def test_request_to_upstream_is_encoded() -> None:
    headers = call()
    assert headers[b'Host'] == b'Shop.example:8080'
    assert headers[b'Rosemaryseam-Attempt-Id'] == b'9c41'
    assert headers[b'Rosemaryseam-Deadline-Ms'] == b'2500'
    assert headers[b'Rosemaryseam-Expect-Instance'] == b'i-7'
    assert headers[b'Rosemaryseam-Tenant'] == b'north'
    assert headers[b'Rosemaryseam-Urgency-Class'] == b'3'
    assert headers[b'Last-Event-Id'] == b'12'
    assert headers[b'X-Other'] == b'kept'
    assert b'X-Api-Key' not in headers
    assert headers[b'Content-Length'] == b'4'


def test_resumed_request_has_one_last_event_id() -> None:
    request = UpstreamCall(decode(), 'i-7', None, 2.5, None, b'40', None)
    headers = CODEC.encode_call(request)
    values = [value for name, value in headers if name.lower() == b'last-event-id']
    assert values == [b'40']


def test_cache_fetch_header_holds_the_source_address() -> None:
    headers = call(fetch_from=Address('10.0.0.1', 80))
    assert headers[b'Kv-Fetch'] == b'10.0.0.1:80'


@pytest.mark.parametrize('name', FORGED)
def test_router_headers_from_callers_are_dropped(name: bytes) -> None:
    request = decode([(name, b'forged')])
    assert all(value != b'forged' for _, value in request.headers)


CONNECTION_HEADERS = [
    (b'Connection', b'X-Other, close'),
    (b'Keep-Alive', b'5'),
    (b'TE', b'x'),
]


def test_connection_headers_are_dropped() -> None:
    names = {name.lower() for name, _ in decode(CONNECTION_HEADERS).headers}
    assert not names & {b'connection', b'keep-alive', b'te', b'x-other'}


END_TO_END = [
    b'Rosemaryseam-Attempt-Id',
    b'Rosemaryseam-Model',
    b'Rosemaryseam-Token-Counts',
    b'Rosemaryseam-Prompt-Prefix',
    b'Host',
]


@pytest.mark.parametrize('name', END_TO_END)
def test_connection_header_cannot_remove_end_to_end_headers(name: bytes) -> None:
    headers = decode([(b'Connection', name)]).headers
    assert name.lower() in {key.lower() for key, _ in headers}


INVALID_HEADERS = [
    ('two API keys', (b'x-api-key', b'other')),
    ('deadline not a number', (b'Rosemaryseam-Deadline-Ms', b'soon')),
    ('deadline of zero', (b'Rosemaryseam-Deadline-Ms', b'0')),
    ('infinite deadline', (b'Rosemaryseam-Deadline-Ms', b'inf')),
    ('token counts not numbers', (b'Rosemaryseam-Token-Counts', b'many')),
    ('prompt parts without token counts', (b'Rosemaryseam-Prompt-Prefix', b'5c1e')),
]


@pytest.mark.parametrize(
    ('name', 'header'), INVALID_HEADERS, ids=[row[0] for row in INVALID_HEADERS]
)
def test_invalid_header_is_rejected(name: str, header: tuple[bytes, bytes]) -> None:
    with pytest.raises(BadRequestError):
        decode([header])


ANSWERS = [
    ('whole', 200, [(b'Rosemaryseam-Server-Stamp', b's')], (True, False, False)),
    ('unsigned', 200, [], (False, False, False)),
    ('shed', 503, [(b'Rosemaryseam-Not-Executed', b'1')], (False, True, False)),
    ('another upstream', 421, [], (False, True, False)),
    ('encoded', 200, [(b'Content-Encoding', b'gzip')], (False, False, True)),
]


@pytest.mark.parametrize(
    ('name', 'status', 'headers', 'expected'), ANSWERS, ids=[row[0] for row in ANSWERS]
)
def test_answer_is_decoded(
    name: str, status: int, headers: list, expected: tuple[bool, bool, bool]
) -> None:
    head = CODEC.decode_answer(status, b'', headers)
    assert (head.signed, head.declined, head.encoded) == expected


KEEP_ALIVE_HEADERS = [
    ([(b'Keep-Alive', b'timeout=5')], 5.0, False),
    ([(b'Keep-Alive', b'timeout=7, max=3')], 7.0, False),
    ([(b'Keep-Alive', b'soon')], None, False),
    ([(b'Connection', b'Close')], None, True),
    ([], None, False),
]


@pytest.mark.parametrize(('headers', 'idle_s', 'closes'), KEEP_ALIVE_HEADERS)
def test_keep_alive_timeout_is_decoded(
    headers: list, idle_s: float | None, closes: bool
) -> None:
    head = CODEC.decode_answer(200, b'', headers)
    assert (head.keep_alive_timeout_s, head.closes_connection) == (idle_s, closes)


def test_upstream_load_is_decoded() -> None:
    head = CODEC.decode_answer(200, b'', [(b'Rosemaryseam-Server-Load', b'3,0,8')])
    assert head.load == (3, 0, 8, None)
