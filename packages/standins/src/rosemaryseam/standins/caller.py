"""One caller's request: sent, sent again where that is safe, and verified."""

from __future__ import annotations

import hashlib
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

import gevent

from rosemaryseam.common.addresses import Address, parse_address
from rosemaryseam.common.errors import ResultCode
from rosemaryseam.common.exchange import TRANSPORT_ERRORS, open_exchange
from rosemaryseam.standins.content import answer_tokens

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.standins.scenario import Stream

CONNECT_S = 1.0
RETRY_PAUSE_S = 0.05
MAX_PAUSE_S = 2.0
EVENT_END = b'\n\n'
DATA = b'data: '
DONE = b'[DONE]'

WHOLE = 'whole'
SHED = 'shed'
UNKNOWN = 'unknown'
FAILED = 'failed'
INCOMPLETE = 'incomplete'
MIXED = 'mixed'

_SHED_CODES = frozenset({ResultCode.NO_CAPACITY, ResultCode.DEADLINE_EXCEEDED})


class Observation(NamedTuple):
    """What a caller saw.

    ``intended`` is monotonic; the other times are seconds after it. ``unanswered``
    tells whether some attempt ended without an answer that says what became of it.
    """

    stream: str
    number: int
    key: str
    intended: float
    outcome: str
    first_s: float | None
    end_s: float
    attempts: int
    tokens: int
    last_code: int
    unanswered: bool
    idempotency_key: str | None


class Exchanged(NamedTuple):
    """One attempt's end: an outcome, or ``None`` to try again after a pause."""

    outcome: str | None
    pause_s: float = RETRY_PAUSE_S
    code: int = 0


class Caller:
    """Sends one request until it has a final outcome or patience ends.

    :param nodes: in the order in which they are tried
    :param intended: when the request should leave, in monotonic seconds
    :param salt: makes idempotency keys differ between runs
    """

    def __init__(
        self,
        clock: Clock,
        nodes: list[str],
        stream: Stream,
        number: int,
        key: str,
        intended: float,
        patience_s: float,
        salt: str = '',
    ) -> None:
        self._clock = clock
        self._nodes = nodes
        self._stream = stream
        self._number = number
        self._key = key
        self._intended = intended
        self._patience_s = patience_s
        self._first_s: float | None = None
        self._partial = False
        self._unanswered = False
        self._tokens = 0
        self._body = self._build_body()
        self._idempotency_key: str | None = None
        if stream.idempotency_key:
            self._idempotency_key = f'{stream.name}-{salt}-{number}'

    def run(self) -> Observation:
        """Send the request and return what was seen."""
        attempts = 0
        exchanged = Exchanged(None)
        while exchanged.outcome is None:
            left = self._intended + self._patience_s - self._clock.monotonic()
            if left <= 0:
                outcome = INCOMPLETE if self._partial else FAILED
                exchanged = Exchanged(outcome, code=exchanged.code)
                break
            if attempts:
                gevent.sleep(exchanged.pause_s)
            node = parse_address(self._nodes[attempts % len(self._nodes)])
            attempts += 1
            exchanged = self._attempt(node, left)
        return Observation(
            self._stream.name,
            self._number,
            self._key,
            self._intended,
            exchanged.outcome,
            self._first_s,
            self._elapsed(),
            attempts,
            self._tokens,
            exchanged.code,
            self._unanswered,
            self._idempotency_key,
        )

    def _attempt(self, node: Address, left_s: float) -> Exchanged:
        try:
            with open_exchange(node, CONNECT_S, left_s) as exchange:
                exchange.connect()
                response = exchange.send(
                    self._stream.method, self._target(), self._body, self._headers()
                )
                if response.status_code != HTTPStatus.OK:
                    return self._refused(response)
                if self._stream.kind != 'app' and self._stream.streamed:
                    return self._read_stream(response)
                return self._read_whole(response)
        except ConnectionRefusedError:
            return Exchanged(None)
        except TRANSPORT_ERRORS:
            self._unanswered = True
            return Exchanged(None)

    def _read_stream(self, response: Any) -> Exchanged:
        text = ''
        self._tokens = 0
        expected = ''.join(answer_tokens(json.loads(self._body)))
        while event := response.readline(EVENT_END):
            data = event[len(DATA) :].strip()
            if data == DONE:
                return Exchanged(WHOLE if text == expected else INCOMPLETE)
            chunk = json.loads(data)
            if 'error' in chunk:
                return Exchanged(None, code=chunk['error'].get('result_code', 0))
            self._mark_first()
            piece = _chunk_text(chunk)
            text += piece
            self._tokens += bool(piece)
            if not expected.startswith(text):
                return Exchanged(MIXED)
        return Exchanged(None)

    def _read_whole(self, response: Any) -> Exchanged:
        answer = json.loads(response.read())
        self._mark_first()
        if self._stream.kind == 'app':
            digest = hashlib.sha256(self._body).hexdigest()
            return Exchanged(WHOLE if answer['digest'] == digest else MIXED)
        choice = answer['choices'][0]
        text = choice['message']['content'] if 'message' in choice else choice['text']
        expected = ''.join(answer_tokens(json.loads(self._body)))
        self._tokens = answer['usage']['completion_tokens']
        return Exchanged(WHOLE if text == expected else MIXED)

    def _refused(self, response: Any) -> Exchanged:
        try:
            error = json.loads(response.read()).get('error', {})
        except TRANSPORT_ERRORS:
            return Exchanged(None)
        code = error.get('result_code', 0)
        if code in _SHED_CODES:
            return Exchanged(SHED, code=code)
        if code == ResultCode.OUTCOME_UNKNOWN:
            return Exchanged(UNKNOWN, code=code)
        status = response.status_code
        final = status < HTTPStatus.INTERNAL_SERVER_ERROR
        if final and status != HTTPStatus.CONFLICT:
            return Exchanged(FAILED, code=code)
        pause_s = float(response.get('Retry-After') or RETRY_PAUSE_S)
        return Exchanged(None, min(MAX_PAUSE_S, pause_s), code)

    def _mark_first(self) -> None:
        self._partial = True
        if self._first_s is None:
            self._first_s = self._elapsed()

    def _elapsed(self) -> float:
        return self._clock.monotonic() - self._intended

    def _target(self) -> str:
        if self._stream.method == 'GET':
            return f'{self._stream.path}?number={self._number}'
        return self._stream.path

    def _headers(self) -> dict[str, str]:
        headers = {
            'Authorization': f'Bearer {self._key}',
            'Content-Type': 'application/json',
        }
        if self._idempotency_key is not None:
            headers['Idempotency-Key'] = self._idempotency_key
        if self._stream.request_class is not None:
            headers['X-Request-Class'] = self._stream.request_class
        return headers

    def _build_body(self) -> bytes:
        stream = self._stream
        if stream.method == 'GET':
            return b''
        words = f'{stream.name} {self._number} ' + 'word ' * stream.prompt_words
        body: dict[str, Any] = {'number': self._number, 'words': words}
        if stream.kind != 'app':
            body = {'model': stream.model, 'max_tokens': stream.max_tokens}
            body['min_tokens'] = stream.min_tokens
            body['stream'] = stream.streamed
        if stream.kind == 'chat':
            body['messages'] = [{'role': 'user', 'content': words}]
        elif stream.kind == 'text':
            body['prompt'] = words
        return json.dumps(body).encode()


def _chunk_text(chunk: dict[str, Any]) -> str:
    if not chunk['choices']:
        return ''
    choice = chunk['choices'][0]
    if 'delta' in choice:
        return choice['delta'].get('content') or ''
    return choice['text']
