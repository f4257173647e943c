"""Resources of the OpenAI-compatible interface."""

from __future__ import annotations

import hashlib
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from rosemaryseam.common.callerwatch import watch_caller
from rosemaryseam.common.errors import (
    RequestError,
    ResultCode,
    UnreadableError,
    UpstreamError,
)
from rosemaryseam.common.requestholder import HOLDER_KEY, SOCKET_KEY
from rosemaryseam.node.gateway.admission import (
    Admission,
    authenticate,
    find_model_pool,
    find_request_class,
    hold_memory,
    read_body,
    require_catalogue,
)
from rosemaryseam.node.gateway.calls import (
    COMPLETED_OUTCOME,
    FAILED_OUTCOME,
    PreparedRequest,
)
from rosemaryseam.node.gateway.completionbody import parse_body
from rosemaryseam.node.gateway.errors import error_event
from rosemaryseam.node.gateway.events import AnswerAggregator, is_final_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    import falcon

    from rosemaryseam.node.gateway.calls import CallRunner, GrantedCall
    from rosemaryseam.node.gateway.completionbody import CompletionBody
    from rosemaryseam.node.gateway.requestids import RequestIdGenerator
    from rosemaryseam.node.replica import ReplicaTask
    from rosemaryseam.node.settings import Bounds

EVENT_STREAM = 'text/event-stream'
MAX_ERROR_BYTES = 1_000_000
FREE_ANSWER_BYTES = 16_384  # in the account of each request already
ANSWER_COPIES = 4  # of an answer that is joined from its events and encoded


class PassedOnError(Exception):
    """Raised when an upstream's error answer is to be passed on to the caller.

    :param status: HTTP status of the answer
    :param body: body of the answer
    """

    def __init__(self, status: int, body: bytes) -> None:
        super().__init__(status)
        self.status = status
        self.body = body


class CompletionResource:
    """Serves ``/v1/chat/completions`` and ``/v1/completions``.

    Requests to upstreams always ask for a stream, even if the caller does not, so that
    another upstream can resume an interrupted answer after its last event.

    :param replica: holds the catalogue in force
    :param runner: acquires grants and sends requests to upstreams
    :param bounds: limits on the size of bodies and the time to read them
    :param ids: generates request ids
    """

    def __init__(
        self,
        replica: ReplicaTask,
        runner: CallRunner,
        bounds: Bounds,
        ids: RequestIdGenerator,
    ) -> None:
        self._replica = replica
        self._runner = runner
        self._bounds = bounds
        self._ids = ids

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer a completion request."""
        arrived = self._runner.clock.monotonic()
        request, streamed = self._prepare(req, arrived)
        resp.set_header('X-Request-Id', request.request_id)
        events = self._watched_events(request, req.env.get(SOCKET_KEY))
        try:
            if streamed:
                resp.stream = _PrefetchedIterator(next(events), events)
                resp.content_type = EVENT_STREAM
                resp.set_header('Cache-Control', 'no-store')
            else:
                resp.media = _aggregate_events(events, request.reserve)
        except PassedOnError as exc:
            resp.status = exc.status
            resp.content_type = 'application/json'
            resp.data = exc.body

    def _prepare(
        self, req: falcon.Request, arrived: float
    ) -> tuple[PreparedRequest, bool]:
        """Return the request to send and whether the caller asks for a stream.

        The caller's body is not referred to any more after this.
        """
        catalogue = require_catalogue(self._replica)
        workspace = authenticate(req, catalogue)
        data = read_body(req, self._bounds)
        body = parse_body(data)
        pool = find_model_pool(catalogue, body.model)
        request_class = find_request_class(req, catalogue, workspace, body.model)
        admission = Admission(workspace, request_class, pool)
        hold_memory(req, 2 * len(data))  # for the request to the upstream, too
        request = _build_request(req, body, admission, self._ids.next(), arrived)
        del data
        hold_memory(req, len(request.body))
        return request, body.streamed

    def _watched_events(self, request: PreparedRequest, sock: Any) -> Iterator[bytes]:
        """Yield the events of the answer; stop if the caller disconnects."""
        with watch_caller(sock):
            yield from self._events_with_retries(request)

    def _events_with_retries(self, request: PreparedRequest) -> Iterator[bytes]:
        """Yield each event once, resuming on another upstream after a failure."""
        delivered = 0
        excluded: frozenset[str] = frozenset()
        self._runner.budget.record_first_try()
        while True:
            try:
                resumed = delivered > 0
                with self._runner.granted_call(
                    request, excluded, resumed=resumed
                ) as call:
                    for event in self._attempt_events(request, call, delivered):
                        call.record_event()
                        self._observe_first_token(request, delivered)
                        delivered += 1
                        yield event
                    return
            except UpstreamError as exc:
                if call.preempted:
                    continue
                excluded |= {call.upstream.name}
                if not self._may_retry(request, exc):
                    yield self._final_error_event(exc, delivered)
                    return
            except RequestError as exc:
                if not delivered:
                    raise
                yield error_event(exc)
                return

    def _attempt_events(
        self, request: PreparedRequest, call: GrantedCall, delivered: int
    ) -> Iterator[bytes]:
        self._runner.send(request, call, delivered)
        exchange = call.exchange
        if exchange.status != HTTPStatus.OK:
            raise self._status_error(request, call)
        complete = False
        try:
            for event in exchange.events(request.reserve):
                self._runner.check_run_time(request, call)
                complete = complete or is_final_event(event)
                if complete:
                    call.outcome = COMPLETED_OUTCOME
                yield event
        except UpstreamError:
            if not complete:
                raise
        if not complete:
            message = f'{call.upstream.name}: the stream ended early'
            raise UpstreamError(message, written=True)

    def _status_error(self, request: PreparedRequest, call: GrantedCall) -> Exception:
        status = call.exchange.status
        body = call.exchange.read(MAX_ERROR_BYTES, request.reserve)
        call.outcome = FAILED_OUTCOME
        if status < HTTPStatus.INTERNAL_SERVER_ERROR and status not in (
            HTTPStatus.TOO_MANY_REQUESTS,
            HTTPStatus.REQUEST_TIMEOUT,
        ):
            return PassedOnError(status, body)
        message = f'{call.upstream.name} answered {status}'
        return UpstreamError(message, written=True)

    def _may_retry(self, request: PreparedRequest, exc: UpstreamError) -> bool:
        self._runner.metrics.count('upstream_failures')
        if not request.admission.request_class.idempotent and exc.written:
            return False
        return self._runner.budget.spend()

    def _final_error_event(self, exc: UpstreamError, delivered: int) -> bytes:
        error = RequestError(exc.message, ResultCode.UPSTREAM_FAILED, 1.0)
        if not delivered:
            raise error
        return error_event(error)

    def _observe_first_token(self, request: PreparedRequest, delivered: int) -> None:
        if not delivered:
            self._runner.metrics.observe(
                'first_token',
                self._runner.clock.monotonic() - request.arrived,
                request_class=request.admission.request_class.name,
            )


class ModelResource:
    """Serves ``/v1/models``.

    :param replica: holds the catalogue in force
    """

    def __init__(self, replica: ReplicaTask) -> None:
        self._replica = replica

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """List the models of all pools."""
        catalogue = require_catalogue(self._replica)
        authenticate(req, catalogue)
        models = [
            {'id': model, 'object': 'model', 'created': 0, 'owned_by': pool.name}
            for pool in catalogue.pools
            for model in pool.models
        ]
        resp.media = {'object': 'list', 'data': models}


class _PrefetchedIterator:
    """Iterates over events of which the first was already taken from the iterator.

    Taking the first event before the answer starts allows an error to set the status.

    :param first: the first event
    :param rest: the iterator of the remaining events
    """

    def __init__(self, first: bytes, rest: Iterator[bytes]) -> None:
        self._first: bytes | None = first
        self._rest = rest

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._first is not None:
            first, self._first = self._first, None
            return first
        return next(self._rest)

    def close(self) -> None:
        """Close the iterator, which cancels the call."""
        self._rest.close()


def _build_request(
    req: falcon.Request,
    body: CompletionBody,
    admission: Admission,
    request_id: str,
    arrived: float,
) -> PreparedRequest:
    prefix = hashlib.blake2b(body.prompt_start, digest_size=8).hexdigest()
    headers = {
        'Content-Type': 'application/json',
        'X-Request-Id': request_id,
    }
    data = body.encode(admission.request_class.tier)
    return PreparedRequest(
        request_id,
        admission,
        'POST',
        req.path,
        headers,
        data,
        prefix,
        arrived,
        req.env[HOLDER_KEY].reserve,
    )


def _aggregate_events(
    events: Iterator[bytes], reserve: Callable[[int], bool]
) -> dict[str, Any]:
    aggregator = AnswerAggregator()
    reserved = FREE_ANSWER_BYTES
    try:
        for event in events:
            aggregator.add_event(event)
            while aggregator.size > reserved:
                if not reserve(ANSWER_COPIES * reserved):
                    events.close()
                    message = 'no memory for the answer'
                    raise RequestError(message, ResultCode.UPSTREAM_FAILED, 1.0)
                reserved *= 2
    except UnreadableError as exc:
        events.close()
        message = 'the upstream sent a malformed event'
        raise RequestError(message, ResultCode.UPSTREAM_FAILED, 1.0) from exc
    answer = aggregator.answer()
    if not aggregator.complete:
        error = answer.get('error') or {}
        message = error.get('message', 'the answer broke off')
        raise RequestError(message, ResultCode.UPSTREAM_FAILED, 1.0)
    return answer
