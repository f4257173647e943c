"""Forwards requests to app runners, at most once for non-idempotent classes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.answerhead import is_framed
from rosemaryseam.common.callerwatch import watch_caller
from rosemaryseam.common.errors import RequestError, ResultCode, UpstreamError
from rosemaryseam.common.requestholder import HOLDER_KEY, SOCKET_KEY, UNFRAMED_KEY
from rosemaryseam.node.gateway.admission import (
    Admission,
    authenticate,
    find_app_pool,
    find_request_class,
    read_body,
    require_catalogue,
)
from rosemaryseam.node.gateway.calls import (
    COMPLETED_OUTCOME,
    UNUSED_OUTCOME,
    PreparedRequest,
)

if TYPE_CHECKING:
    import socket

    import falcon

    from rosemaryseam.node.claims import Claim, ClaimRegistry
    from rosemaryseam.node.gateway.calls import CallRunner, GrantedCall
    from rosemaryseam.node.gateway.requestids import RequestIdGenerator
    from rosemaryseam.node.replica import ReplicaTask
    from rosemaryseam.node.settings import Bounds

IDEMPOTENCY_HEADER = 'Idempotency-Key'
MAX_ANSWER_BYTES = 64_000_000
MAX_IDEMPOTENCY_KEY_LENGTH = 255
RETRYABLE_STATUSES = frozenset({429, 500, 502, 503, 504})

_NOT_FORWARDED_HEADERS = frozenset(
    {
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


class AppAnswer(NamedTuple):
    """The complete answer of an app runner."""

    status: int
    headers: tuple[tuple[str, str], ...]
    content: bytes


class AppResource:
    """Falcon sink for ``/apps/<pool>/<path>``.

    :param replica: holds the catalogue in force
    :param runner: acquires grants and sends requests to upstreams
    :param claims: claims idempotency keys
    :param bounds: limits on the size of bodies and the time to read them
    :param ids: generates request ids
    """

    def __init__(
        self,
        replica: ReplicaTask,
        runner: CallRunner,
        claims: ClaimRegistry,
        bounds: Bounds,
        ids: RequestIdGenerator,
    ) -> None:
        self._replica = replica
        self._runner = runner
        self._claims = claims
        self._bounds = bounds
        self._ids = ids

    def __call__(
        self, req: falcon.Request, resp: falcon.Response, pool: str, path: str
    ) -> None:
        """Forward a request to an app runner and return its complete answer."""
        request = self._admit(req, pool, path)
        resp.set_header('X-Request-Id', request.request_id)
        if request.admission.request_class.idempotent:
            with watch_caller(req.env.get(SOCKET_KEY)):
                answer = self._run_idempotent(request)
        else:
            answer = self._run_at_most_once(request, req)
        _write_answer(req, resp, answer)

    def _admit(self, req: falcon.Request, pool: str, path: str) -> PreparedRequest:
        arrived = self._runner.clock.monotonic()
        catalogue = require_catalogue(self._replica)
        workspace = authenticate(req, catalogue)
        request_class = find_request_class(req, catalogue, workspace, None)
        admission = Admission(workspace, request_class, find_app_pool(catalogue, pool))
        request_id = self._ids.next()
        headers = {
            name: value
            for name, value in req.headers.items()
            if name.lower() not in _NOT_FORWARDED_HEADERS
        }
        headers['X-Request-Id'] = request_id
        target = f'/{path}'
        if req.query_string:
            target += f'?{req.query_string}'
        body = read_body(req, self._bounds)
        return PreparedRequest(
            request_id,
            admission,
            req.method,
            target,
            headers,
            body,
            '',
            arrived,
            req.env[HOLDER_KEY].reserve,
        )

    def _run_idempotent(self, request: PreparedRequest) -> AppAnswer:
        """Run a request and retry it on other upstreams while the budget allows."""
        excluded: frozenset[str] = frozenset()
        self._runner.budget.record_first_try()
        while True:
            with self._runner.granted_call(request, excluded) as call:
                try:
                    answer = self._send_and_read(request, call)
                    if answer.status not in RETRYABLE_STATUSES:
                        return answer
                    failure = f'{call.upstream.name} answered {answer.status}'
                except UpstreamError as exc:
                    failure = exc.message
            self._runner.metrics.count('upstream_failures')
            excluded |= {call.upstream.name}
            if not self._runner.budget.spend():
                raise RequestError(failure, ResultCode.UPSTREAM_FAILED, 1.0)

    def _run_at_most_once(
        self, request: PreparedRequest, req: falcon.Request
    ) -> AppAnswer:
        """Run a request at most once: no retry after a byte has been written."""
        key = req.get_header(IDEMPOTENCY_HEADER)
        if key is None:
            return self._send_at_most_once(request, None, req.env.get(SOCKET_KEY))
        if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
            raise RequestError(
                f'{IDEMPOTENCY_HEADER} has 1 to {MAX_IDEMPOTENCY_KEY_LENGTH} characters'
            )
        self._claims.check_available()
        return self._send_at_most_once(request, key, req.env.get(SOCKET_KEY))

    def _send_at_most_once(
        self, request: PreparedRequest, key: str | None, caller: socket.socket | None
    ) -> AppAnswer:
        """Claim the key, if there is one, send the request and record its outcome.

        The caller's connection is watched only while the request waits for a grant: if
        the caller disconnects in that time, the request is not sent.
        """
        claim: Claim | None = None
        excluded: frozenset[str] = frozenset()
        while True:
            try:
                with self._runner.granted_call(
                    request, excluded, caller=caller
                ) as call:
                    call.outcome = UNUSED_OUTCOME
                    if key is not None and claim is None:
                        claim = self._claim(request, key)
                    if key is None or claim is not None:
                        answer = self._send_and_read(request, call)
                        self._mark_done(claim, answer)
                        return answer
                return self._wait_for_first_answer(request, key)
            except UpstreamError as exc:
                if exc.written:
                    raise self._outcome_unknown_error(claim, exc) from exc
                excluded |= {call.upstream.name}
                if not self._runner.budget.spend():
                    raise self._not_run_error(claim, exc.message) from exc
            except RequestError as exc:
                if claim is not None:
                    raise self._not_run_error(claim, exc.message) from exc
                raise

    def _claim(self, request: PreparedRequest, key: str) -> Claim | None:
        workspace = request.admission.workspace.name
        return self._claims.claim(workspace, key, _fingerprint(request))

    def _wait_for_first_answer(self, request: PreparedRequest, key: str) -> AppAnswer:
        """Wait for the attempt that claimed the key and return its answer."""
        workspace = request.admission.workspace.name
        kept = self._claims.wait_for_answer(workspace, key, _fingerprint(request))
        return AppAnswer(kept.status, kept.headers, kept.content)

    def _send_and_read(self, request: PreparedRequest, call: GrantedCall) -> AppAnswer:
        self._runner.send(request, call)
        exchange = call.exchange
        body = exchange.read(MAX_ANSWER_BYTES, request.reserve)
        call.outcome = COMPLETED_OUTCOME
        return AppAnswer(exchange.status, exchange.headers, body)

    def _mark_done(self, claim: Claim | None, answer: AppAnswer) -> None:
        if claim is not None:
            self._claims.mark_done(claim, answer.status, answer.headers, answer.content)

    def _outcome_unknown_error(
        self, claim: Claim | None, exc: UpstreamError
    ) -> RequestError:
        if claim is not None:
            self._claims.mark_unknown(claim)
        message = f'the request was sent and may have run: {exc.message}'
        return RequestError(message, ResultCode.OUTCOME_UNKNOWN)

    def _not_run_error(self, claim: Claim | None, reason: str) -> RequestError:
        if claim is not None:
            self._claims.mark_not_run(claim)
        return RequestError(f'not run: {reason}', ResultCode.NO_UPSTREAM, 1.0)


def _write_answer(
    req: falcon.Request, resp: falcon.Response, answer: AppAnswer
) -> None:
    resp.status = answer.status
    for name, value in answer.headers:
        if name.lower() not in _NOT_FORWARDED_HEADERS:
            resp.append_header(name, value)
    if is_framed(answer.status, answer.headers):
        resp.data = answer.content
    else:
        # A length would state that the answer is whole, which its app runner did not.
        req.env[UNFRAMED_KEY] = True
        resp.stream = iter((answer.content,))


def _fingerprint(request: PreparedRequest) -> str:
    parts = [request.method, request.path, request.admission.pool.name]
    digest = hashlib.sha256('\x00'.join(parts).encode())
    digest.update(b'\x00')
    digest.update(request.body)
    return digest.hexdigest()
