"""Error answers in the format of the OpenAI API, extended by a result code."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

import falcon

from rosemaryseam.common.errors import RequestError, ResultCode, RosemaryseamError

if TYPE_CHECKING:
    from rosemaryseam.common.metrics import Metrics

SHOULD_RETRY_HEADER = 'x-should-retry'

_HTTP_STATUSES = {
    ResultCode.BAD_REQUEST: falcon.HTTP_400,
    ResultCode.UNAUTHENTICATED: falcon.HTTP_401,
    ResultCode.CLASS_NOT_ALLOWED: falcon.HTTP_403,
    ResultCode.NOT_FOUND: falcon.HTTP_404,
    ResultCode.DUPLICATE_IN_PROGRESS: falcon.HTTP_409,
    ResultCode.KEY_REUSED: falcon.HTTP_422,
    ResultCode.BODY_TOO_LARGE: falcon.HTTP_413,
    ResultCode.NO_CAPACITY: falcon.HTTP_429,
    ResultCode.DEADLINE_EXCEEDED: falcon.HTTP_503,
    ResultCode.NO_UPSTREAM: falcon.HTTP_503,
    ResultCode.NOT_READY: falcon.HTTP_503,
    ResultCode.MINORITY: falcon.HTTP_503,
    ResultCode.CLAIM_STORE_UNAVAILABLE: falcon.HTTP_503,
    ResultCode.UPSTREAM_FAILED: falcon.HTTP_502,
    ResultCode.OUTCOME_UNKNOWN: falcon.HTTP_502,
    ResultCode.ANSWER_NOT_KEPT: falcon.HTTP_409,
}

_ERROR_TYPES = {
    falcon.HTTP_400: 'invalid_request_error',
    falcon.HTTP_401: 'authentication_error',
    falcon.HTTP_403: 'permission_error',
    falcon.HTTP_404: 'not_found_error',
    falcon.HTTP_409: 'conflict_error',
    falcon.HTTP_413: 'invalid_request_error',
    falcon.HTTP_422: 'invalid_request_error',
    falcon.HTTP_429: 'rate_limit_error',
}

# Clients must not retry these automatically: the request could run twice.
_NOT_RETRYABLE = (
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.ANSWER_NOT_KEPT,
    ResultCode.KEY_REUSED,
)


def error_body(exc: RosemaryseamError) -> dict[str, Any]:
    """Return the JSON object that describes an error to callers.

    :param exc: the error
    """
    status = _HTTP_STATUSES.get(exc.code, falcon.HTTP_500)
    return {
        'error': {
            'message': exc.message,
            'type': _ERROR_TYPES.get(status, 'server_error'),
            'param': None,
            'code': exc.code.name.lower(),
            'result_code': int(exc.code),
        }
    }


def error_event(exc: RosemaryseamError) -> bytes:
    """Return the server-sent event that ends a stream with an error.

    :param exc: the error
    """
    return b'data: ' + json.dumps(error_body(exc)).encode() + b'\n\n'


class ErrorHandler:
    """Converts exceptions to error answers and counts them.

    :param metrics: counters of the process
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def handle(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        exc: RosemaryseamError,
        _params: dict[str, Any],
    ) -> None:
        """Answer with the status, body and headers for an exception of this project."""
        self._metrics.count('errors', code=str(int(exc.code)))
        resp.status = _HTTP_STATUSES.get(exc.code, falcon.HTTP_500)
        resp.content_type = falcon.MEDIA_JSON
        resp.media = error_body(exc)
        if isinstance(exc, RequestError) and exc.retry_after is not None:
            resp.set_header('Retry-After', str(max(1, math.ceil(exc.retry_after))))
        if exc.code in _NOT_RETRYABLE:
            resp.set_header(SHOULD_RETRY_HEADER, 'false')

    def handle_http(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        exc: falcon.HTTPError,
        params: dict[str, Any],
    ) -> None:
        """Answer with the result code for an error that falcon raised."""
        code = ResultCode.BAD_REQUEST
        if exc.status_code in (404, 405):
            code = ResultCode.NOT_FOUND
        text = exc.description or exc.title or 'malformed request'
        self.handle(req, resp, RequestError(text, code), params)
