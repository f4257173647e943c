"""Sends one request of a caller, retries it where this is safe, and verifies it."""

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

CONNECT_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0
EVENT_END = b'\n\n'
DATA_PREFIX = b'data: '
DONE_DATA = b'[DONE]'

WHOLE = 'whole'
SHED = 'shed'
UNKNOWN = 'unknown'
FAILED = 'failed'
INCOMPLETE = 'incomplete'
MIXED = 'mixed'

_SHED_CODES = frozenset({ResultCode.NO_CAPACITY, ResultCode.DEADLINE_EXCEEDED})


class Observation(NamedTuple):
    """The result of one request as its caller observed it.

    ``intended`` is the planned send time in monotonic seconds; the other times are
    seconds after it. ``unanswered`` tells whether an attempt ended without an answer
    that states its outcome.
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


class AttemptResult(NamedTuple):
    """The outcome of one attempt, or ``None`` to retry after a delay."""

    outcome: str | None
    retry_delay_s: float = RETRY_DELAY_S
    code: int = 0


class Caller:
    """Sends one request until it has a final outcome or its patience ends.

    :param clock: clock of the process
    :param nodes: addresses of the nodes, in the order in which they are tried
    :param stream: stream of the request
    :param number: number of the request in its stream
    :param key: API key of the workspace
    :param intended: planned send time in monotonic seconds
    :param patience_s: seconds after the planned send time at which retries end
    :param salt: text that makes idempotency keys differ between runs
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
        self._answer_began = False
        self._unanswered = False
        self._tokens = 0
        self._body = self._build_body()
        self._idempotency_key: str | None = None
        if stream.idempotency_key:
            self._idempotency_key = f'{stream.name}-{salt}-{number}'

    def run(self) -> Observation:
        """Send the request and return its observed result."""
        attempts = 0
        result = AttemptResult(None)
        while result.outcome is None:
            remaining_s = self._intended + self._patience_s - self._clock.monotonic()
            if remaining_s <= 0:
                outcome = INCOMPLETE if self._answer_began else FAILED
                result = AttemptResult(outcome, code=result.code)
                break
            if attempts:
                gevent.sleep(result.retry_delay_s)
            node = parse_address(self._nodes[attempts % len(self._nodes)])
            attempts += 1
            result = self._attempt(node, remaining_s)
        return Observation(
            self._stream.name,
            self._number,
            self._key,
            self._intended,
            result.outcome,
            self._first_s,
            self._elapsed_s(),
            attempts,
            self._tokens,
            result.code,
            self._unanswered,
            self._idempotency_key,
        )

    def _attempt(self, node: Address, remaining_s: float) -> AttemptResult:
        try:
            with open_exchange(node, CONNECT_TIMEOUT_S, remaining_s) as exchange:
                exchange.connect()
                response = exchange.send(
                    self._stream.method, self._target(), self._body, self._headers()
                )
                if response.status_code != HTTPStatus.OK:
                    return self._read_error(response)
                if self._stream.kind != 'app' and self._stream.streamed:
                    return self._read_stream(response)
                return self._read_whole_answer(response)
        except ConnectionRefusedError:
            return AttemptResult(None)
        except TRANSPORT_ERRORS:
            self._unanswered = True
            return AttemptResult(None)

    def _read_stream(self, response: Any) -> AttemptResult:
        text = ''
        self._tokens = 0
        expected = ''.join(answer_tokens(json.loads(self._body)))
        while event := response.readline(EVENT_END):
            data = event[len(DATA_PREFIX) :].strip()
            if data == DONE_DATA:
                return AttemptResult(WHOLE if text == expected else INCOMPLETE)
            chunk = json.loads(data)
            if 'error' in chunk:
                return AttemptResult(None, code=chunk['error'].get('result_code', 0))
            self._record_output()
            piece = _chunk_text(chunk)
            text += piece
            self._tokens += bool(piece)
            if not expected.startswith(text):
                return AttemptResult(MIXED)
        return AttemptResult(None)

    def _read_whole_answer(self, response: Any) -> AttemptResult:
        answer = json.loads(response.read())
        self._record_output()
        if self._stream.kind == 'app':
            digest = hashlib.sha256(self._body).hexdigest()
            return AttemptResult(WHOLE if answer['digest'] == digest else MIXED)
        choice = answer['choices'][0]
        text = choice['message']['content'] if 'message' in choice else choice['text']
        expected = ''.join(answer_tokens(json.loads(self._body)))
        self._tokens = answer['usage']['completion_tokens']
        return AttemptResult(WHOLE if text == expected else MIXED)

    def _read_error(self, response: Any) -> AttemptResult:
        try:
            error = json.loads(response.read()).get('error', {})
        except TRANSPORT_ERRORS:
            return AttemptResult(None)
        code = error.get('result_code', 0)
        if code in _SHED_CODES:
            return AttemptResult(SHED, code=code)
        if code == ResultCode.OUTCOME_UNKNOWN:
            return AttemptResult(UNKNOWN, code=code)
        status = response.status_code
        final = status < HTTPStatus.INTERNAL_SERVER_ERROR
        if final and status != HTTPStatus.CONFLICT:
            return AttemptResult(FAILED, code=code)
        retry_delay_s = float(response.get('Retry-After') or RETRY_DELAY_S)
        return AttemptResult(None, min(MAX_RETRY_DELAY_S, retry_delay_s), code)

    def _record_output(self) -> None:
        self._answer_began = True
        if self._first_s is None:
            self._first_s = self._elapsed_s()

    def _elapsed_s(self) -> float:
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
