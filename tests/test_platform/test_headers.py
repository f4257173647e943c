"""Tests of decoding and encoding the platform's headers."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

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
    ('negative token counts', (b'Rosemaryseam-Token-Counts', b'-5,80')),
    ('huge token counts', (b'Rosemaryseam-Token-Counts', b'99999999999,80')),
    ('token counts of many digits', (b'Rosemaryseam-Token-Counts', b'9' * 5000)),
    ('huge part', (b'Rosemaryseam-Prompt-Prefix', b'5c1e:99999999999')),
    ('negative part', (b'Rosemaryseam-Prompt-Prefix', b'5c1e:-1')),
    ('deadline that is no number', (b'Rosemaryseam-Deadline-Ms', b'nan')),
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


HINTS = [(b'33', 33), (b'900', 80), (b'-3', 80), (b'many', 80), (b'9' * 5000, 80)]


# Guards against requests that are refused for an estimate that cannot be read.
@pytest.mark.parametrize(('hint', 'expected'), HINTS)
def test_an_odd_length_hint_costs_the_hint_alone(hint: bytes, expected: int) -> None:
    request = decode([(b'Rosemaryseam-Length-Hint', hint)])
    assert request.prompt.expected_output_tokens == expected


NUMBERS = st.sampled_from(
    [b'', b'0', b'-0', b'nan', b'inf', b'-1', b'1e400', b'1e308', b'9' * 5000, b'1_0']
    + [b'\xb2', b'3,0,8', b'3,0,8,1e400', b'1, 2 ,3,nan', b'timeout=', b'12', b'4.5']
    + [b'timeout=' + b'9' * 400, b'a:1,b:2', b'a:,:1,::', b'a' * 3000]
)
ANSWER_NAMES = [
    HEADER_NAMES.request_id,
    HEADER_NAMES.load,
    HEADER_NAMES.leaving,
    HEADER_NAMES.request_limit,
    HEADER_NAMES.brittle,
    HEADER_NAMES.not_run,
    'Retry-After',
    'Keep-Alive',
    'Connection',
    'Content-Type',
    'Content-Length',
]
REQUEST_NAMES = [
    HEADER_NAMES.token_counts,
    HEADER_NAMES.prompt_parts,
    HEADER_NAMES.length_hint,
    HEADER_NAMES.timeout_ms,
    HEADER_NAMES.last_event_id,
    HEADER_NAMES.resumed_id,
    'Host',
    'Connection',
]


def fields(names: list[str]) -> st.SearchStrategy[list[tuple[bytes, bytes]]]:
    """Return a strategy for headers with odd and random values."""
    name = st.sampled_from([name.encode() for name in names])
    value = NUMBERS | st.binary(max_size=30)
    return st.lists(st.tuples(name, value), max_size=12)


# Guards against answers that fail requests, or numbers that break later work.
@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.sampled_from([200, 429, 503, 421]), fields(ANSWER_NAMES))
def test_any_head_of_an_answer_is_decoded(
    status: int, headers: list[tuple[bytes, bytes]]
) -> None:
    head = CODEC.decode_answer(status, b'', headers)
    for value in (head.request_limit, head.brittle, head.retry_after_s):
        assert value is None or 0 <= value <= 1e9
    assert head.load is None or all(0 <= (one or 0) <= 1e6 for one in head.load)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(fields(REQUEST_NAMES))
def test_any_head_of_a_request_is_decoded_or_refused(
    headers: list[tuple[bytes, bytes]],
) -> None:
    try:
        request = decode(headers)
    except BadRequestError:
        return
    prompt = request.prompt
    counts = [prompt.prompt_tokens, prompt.max_output_tokens]
    counts += [prompt.expected_output_tokens, *(part.tokens for part in prompt.parts)]
    assert all(0 <= count < 2**32 for count in counts)  # as sent to other hosts
    CODEC.encode_call(UpstreamCall(request, 'i-7', None, 2.5, None, None, None))
