"""The falcon application that serves callers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import falcon
from loguru import logger

from rosemaryseam.common.callerwatch import CallerGoneError
from rosemaryseam.common.errors import ResultCode, RosemaryseamError
from rosemaryseam.node.gateway.errors import ErrorHandler

if TYPE_CHECKING:
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.node.gateway.apps import AppResource
    from rosemaryseam.node.gateway.completions import CompletionResource, ModelResource

APP_PATH_PATTERN = re.compile(r'/apps/(?P<pool>[^/]+)/(?P<path>.*)')


def build_application(
    completions: CompletionResource,
    models: ModelResource,
    apps: AppResource,
    metrics: Metrics,
) -> falcon.App:
    """Build the application with its routes and error handlers.

    :param completions: resource for completion requests
    :param models: resource that lists the models
    :param apps: sink that forwards requests to app runners
    :param metrics: counters of the process
    """
    application = falcon.App()
    application.req_options.strip_url_path_trailing_slash = False
    handler = ErrorHandler(metrics)
    application.add_error_handler(Exception, _InternalErrorHandler(handler))
    application.add_error_handler(CallerGoneError, _reraise)
    application.add_error_handler(falcon.HTTPError, handler.handle_http)
    application.add_error_handler(RosemaryseamError, handler.handle)
    application.add_route('/v1/chat/completions', completions)
    application.add_route('/v1/completions', completions)
    application.add_route('/v1/models', models)
    application.add_sink(apps, APP_PATH_PATTERN)
    return application


def _reraise(
    req: falcon.Request, resp: falcon.Response, exc: Exception, params: dict[str, Any]
) -> None:
    """Let the server close the connection, as no caller is left to answer."""
    raise exc


class _InternalErrorHandler:
    """Logs an unexpected exception and answers without its details.

    :param handler: writes the answer
    """

    def __init__(self, handler: ErrorHandler) -> None:
        self._handler = handler

    def __call__(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        exc: Exception,
        params: dict[str, Any],
    ) -> None:
        if isinstance(exc, falcon.HTTPStatus):
            raise exc
        logger.opt(exception=exc).error('{} {} failed', req.method, req.path)
        error = RosemaryseamError('internal error', ResultCode.INTERNAL)
        self._handler.handle(req, resp, error, params)
