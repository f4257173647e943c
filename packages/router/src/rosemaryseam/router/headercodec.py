"""Encodes and decodes HTTP heads with configurable header names."""

from __future__ import annotations

import math
from http import HTTPStatus
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.router.codec import BadRequestError, HttpCodec, RequestHead
from rosemaryseam.router.requests import (
    AnswerHead,
    CallerRequest,
    Framing,
    Prompt,
    PromptPart,
    RawHeaders,
    StatedLoad,
)

if TYPE_CHECKING:
    from rosemaryseam.router.requests import UpstreamCall

MAX_TIMEOUT_MS = 86_400_000
MAX_TOKEN_DIGITS = 9  # of a number of tokens
MAX_RETRY_AFTER_S = 3600.0  # longer pauses are cut
MAX_STATED_RATE = 1e9  # larger stated rates are nonsense
MAX_LOAD_BYTES = 200  # of a stated load that are read
MAX_STATED_COUNT = 1_000_000  # larger stated counts are nonsense
MAX_WORK_PERCENT = 10_000.0  # larger stated work times are nonsense
MISDIRECTED_REQUEST = 421  # the address belongs to another upstream now

CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)


class HeaderNames(NamedTuple):
    """The name of the header that holds each value.

    Callers send these, and the router forwards them: ``request_id``, ``model``,
    ``token_counts`` (prompt tokens and maximum output tokens), ``prompt_parts``
    (DIGEST:TOKENS, ...), ``length_hint`` (expected output tokens), ``last_event_id``
    and ``resumed_id`` (the request that brought the first event of a stream). Callers
    send ``api_key``, which isn't forwarded, and ``timeout_ms``, which the router
    replaces by the time left. The router also sets ``workspace``, ``upstream_id``,
    ``urgency`` and ``fetch_from``. Upstreams send ``signature``, ``not_run``, ``load``
    (running, waiting, slots, and optionally the work time in percent), ``leaving`` (1
    if they stop soon), ``request_limit`` (requests per second from all hosts) and
    ``brittle`` (rejections per second above which they crash). ``reserved`` are further
    headers that are dropped when callers send them.
    """

    request_id: str
    model: str
    token_counts: str
    prompt_parts: str
    length_hint: str
    last_event_id: str
    resumed_id: str
    api_key: str
    timeout_ms: str
    workspace: str
    upstream_id: str
    urgency: str
    fetch_from: str
    signature: str
    not_run: str
    load: str
    leaving: str
    request_limit: str
    brittle: str
    reserved: tuple[str, ...] = ()


DEFAULT_HEADER_NAMES = HeaderNames(
    request_id='X-Request-Id',
    model='X-Model',
    token_counts='X-Token-Counts',
    prompt_parts='X-Prompt-Parts',
    length_hint='X-Expected-Tokens',
    last_event_id='Last-Event-Id',
    resumed_id='X-Resumed-Request-Id',
    api_key='X-Api-Key',
    timeout_ms='X-Patience-Ms',
    workspace='X-Workspace',
    upstream_id='X-Upstream-Id',
    urgency='X-Urgency',
    fetch_from='X-Fetch-Cache-From',
    signature='X-Upstream-Signature',
    not_run='X-Not-Run',
    load='X-Upstream-Load',
    leaving='X-Upstream-Leaving',
    request_limit='X-Upstream-Request-Limit',
    brittle='X-Upstream-Brittle',
)


class HeaderCodec(HttpCodec):
    """Translates between HTTP heads and the router's types.

    :param names: names of the headers
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._request_id = _field_key(names.request_id)
        self._timeout = _field_key(names.timeout_ms)
        self._api_key = _field_key(names.api_key)
        self._last_event_id = _field_key(names.last_event_id)
        self._resumed_id = _field_key(names.resumed_id)
        # These are forwarded even when the caller's Connection header names them.
        self._always_forwarded = {
            b'host',
            *(
                _field_key(name)
                for name in (
                    names.request_id,
                    names.model,
                    names.token_counts,
                    names.prompt_parts,
                    names.length_hint,
                    names.last_event_id,
                    names.resumed_id,
                )
            ),
        }
        self._not_forwarded = CONNECTION_HEADERS | {
            _field_key(name)
            for name in (
                names.timeout_ms,
                names.api_key,
                names.workspace,
                names.upstream_id,
                names.urgency,
                names.fetch_from,
                names.signature,
                names.not_run,
                names.load,
                names.leaving,
                names.request_limit,
                names.brittle,
                *names.reserved,
            )
        }

    def decode_request(
        self, head: RequestHead, body: bytes | memoryview, arrived: float
    ) -> CallerRequest:
        """Read a caller's request."""
        fields = {name.lower(): value for name, value in head.headers}
        target = head.target.decode('latin-1')
        return CallerRequest(
            id=fields.get(self._request_id, b'').decode('latin-1'),
            method=head.method,
            target=head.target,
            host=_host(fields.get(b'host', b'')),
            path=target.partition('?')[0],
            headers=self._forwarded_headers(head.headers),
            body=body,
            api_key=self._decode_key(head.headers),
            timeout_s=_decode_timeout(fields.get(self._timeout)),
            prompt=self._decode_prompt(fields),
            arrived=arrived,
            resume_after=fields.get(self._last_event_id),
            resumed_id=_decode_text(fields.get(self._resumed_id)),
        )

    def encode_call(self, call: UpstreamCall) -> RawHeaders:
        """Return the headers of a request to an upstream."""
        names = self._names
        request = call.request
        headers = [
            (name, value)
            for name, value in request.headers
            if call.resume_after is None or name.lower() != self._last_event_id
        ]
        timeout_ms = max(1, int(call.expires_in_s * 1000))
        _append(headers, names.timeout_ms, str(timeout_ms))
        _append(headers, names.upstream_id, call.upstream_id)
        if call.workspace is not None:
            _append(headers, names.workspace, call.workspace)
        if call.urgency is not None:
            _append(headers, names.urgency, str(call.urgency))
        if call.fetch_from is not None:
            _append(headers, names.fetch_from, str(call.fetch_from))
        if call.resume_after is not None:
            headers.append((names.last_event_id.encode(), call.resume_after))
        if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
            _append(headers, 'Content-Length', str(len(request.body)))
        return headers

    def decode_answer(
        self, status: int, reason: bytes, headers: RawHeaders
    ) -> AnswerHead:
        """Read the head of an upstream's answer."""
        fields = {name.lower(): value for name, value in headers}
        echoed = fields.get(self._request_id)
        not_run = _field_key(self._names.not_run) in fields
        return AnswerHead(
            status=status,
            reason=reason,
            headers=headers,
            request_id=None if echoed is None else echoed.decode('latin-1'),
            signed=bool(fields.get(_field_key(self._names.signature))),
            declined=not_run or status == MISDIRECTED_REQUEST,
            encoded=b'content-encoding' in fields,
            closes_connection=b'close' in fields.get(b'connection', b'').lower(),
            keep_alive_timeout_s=_decode_keep_alive(fields.get(b'keep-alive')),
            load=_decode_load(fields.get(_field_key(self._names.load))),
            leaving=fields.get(_field_key(self._names.leaving), b'').strip() == b'1',
            retry_after_s=_decode_retry_after(status, fields.get(b'retry-after')),
            request_limit=_decode_rate(
                fields.get(_field_key(self._names.request_limit))
            ),
            brittle=_decode_rate(fields.get(_field_key(self._names.brittle))),
            framing=_decode_framing(fields),
            media_type=fields.get(b'content-type', b'').split(b';')[0].strip().lower(),
        )

    def _forwarded_headers(self, headers: RawHeaders) -> RawHeaders:
        """Return the headers to forward to upstreams, host first."""
        named = connection_options(headers) - self._always_forwarded
        dropped = self._not_forwarded | named
        kept = [entry for entry in headers if entry[0].lower() not in dropped]
        return sorted(kept, key=lambda entry: entry[0].lower() != b'host')

    def _decode_key(self, headers: RawHeaders) -> str | None:
        keys = [value for name, value in headers if name.lower() == self._api_key]
        if len(keys) > 1:
            raise BadRequestError('more than one API key')
        return keys[0].strip().decode('latin-1') if keys else None

    def _decode_prompt(self, fields: dict[bytes, bytes]) -> Prompt | None:
        names = self._names
        counts = fields.get(_field_key(names.token_counts))
        if counts is None:
            return None
        try:
            prompt_tokens, max_output = map(_decode_tokens, counts.split(b','))
            parts = _decode_parts(fields.get(_field_key(names.prompt_parts), b''))
        except ValueError:
            raise BadRequestError('unreadable token counts or prompt parts') from None
        model = fields.get(_field_key(names.model), b'').decode('latin-1')
        hint = _decode_hint(fields.get(_field_key(names.length_hint)))
        expected = min(hint, max_output) if hint else max_output
        return Prompt(model, parts, prompt_tokens, max_output, expected)


def connection_options(headers: RawHeaders) -> set[bytes]:
    """Return the header names that a message's Connection headers list.

    :param headers: headers of the message
    """
    return {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    }


def _field_key(name: str) -> bytes:
    return name.lower().encode()


def _append(headers: RawHeaders, name: str, value: str) -> None:
    headers.append((name.encode(), value.encode()))


def _host(value: bytes) -> str:
    """Return the host without its port, in lower case."""
    host = value.decode('latin-1').lower()
    name, separator, port = host.rpartition(':')
    return name if separator and port.isdigit() else host


def _decode_text(value: bytes | None) -> str | None:
    return None if value is None else value.strip().decode('latin-1')


def _decode_timeout(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        timeout_ms = float(value)
    except ValueError:
        raise BadRequestError('the deadline is no number') from None
    if not 0 < timeout_ms < MAX_TIMEOUT_MS:
        raise BadRequestError('the deadline is out of range')
    return timeout_ms / 1000


def _decode_tokens(value: bytes) -> int:
    """Return a number of tokens.

    :raises ValueError: it is no number, negative or too large
    """
    digits = value.strip()
    if not digits.isdigit() or len(digits) > MAX_TOKEN_DIGITS:
        raise ValueError('not a number of tokens')
    return int(digits)


def _decode_hint(value: bytes | None) -> int | None:
    """Return a hint of a number of tokens; nonsense is ignored."""
    try:
        return _decode_tokens(value or b'')
    except ValueError:
        return None


def _decode_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(b','):
        if entry.strip():
            digest, _, tokens = entry.partition(b':')
            parts.append(
                PromptPart(digest.strip().decode('latin-1'), _decode_tokens(tokens))
            )
    return tuple(parts)


def _decode_keep_alive(value: bytes | None) -> float | None:
    for token in (value or b'').split(b','):
        name, _, seconds = token.strip().partition(b'=')
        if name.lower() == b'timeout' and seconds.strip().isdigit():
            return float(seconds)
    return None


def _decode_load(value: bytes | None) -> StatedLoad | None:
    """Return an upstream's stated load; further figures and nonsense are ignored."""
    parts = [part.strip() for part in (value or b'')[:MAX_LOAD_BYTES].split(b',')]
    if len(parts) < 3 or not all(part.isdigit() for part in parts[:3]):
        return None
    running, waiting, slots = (int(part) for part in parts[:3])
    if max(running, waiting, slots) > MAX_STATED_COUNT:
        return None
    percent = _decode_work_percent(parts[3]) if len(parts) > 3 else None
    return StatedLoad(running, waiting, slots, percent)


def _decode_work_percent(value: bytes) -> float | None:
    try:
        percent = float(value)
    except ValueError:
        return None
    return percent if 0 < percent <= MAX_WORK_PERCENT else None


def _decode_framing(fields: dict[bytes, bytes]) -> Framing:
    if b'transfer-encoding' in fields:
        return Framing.CHUNKED
    return Framing.LENGTH if b'content-length' in fields else Framing.CLOSE


def _decode_retry_after(status: int, value: bytes | None) -> float | None:
    """Return the seconds of a refusal's Retry-After; dates and nonsense are ignored."""
    if status != HTTPStatus.SERVICE_UNAVAILABLE or value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not 0 < seconds < math.inf:
        return None
    return min(seconds, MAX_RETRY_AFTER_S)


def _decode_rate(value: bytes | None) -> float | None:
    """Return a number per second that an upstream states; nonsense is ignored."""
    try:
        limit = float(value or b'')
    except ValueError:
        return None
    return limit if 0 <= limit <= MAX_STATED_RATE else None


def open_header_codec(names: HeaderNames = DEFAULT_HEADER_NAMES) -> HttpCodec:
    """Return a codec for a deployment's header names.

    :param names: names of the headers; the project's own by default
    """
    return HeaderCodec(names)
