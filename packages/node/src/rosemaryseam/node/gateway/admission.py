"""Who calls, what class the request has, and its body within the bounds."""

from __future__ import annotations

import fnmatch
import hashlib
from typing import TYPE_CHECKING, NamedTuple

import gevent

from rosemaryseam.common.errors import RequestError, ResultCode

if TYPE_CHECKING:
    import falcon

    from rosemaryseam.common.catalogue import (
        Catalogue,
        Pool,
        RequestClass,
        Workspace,
    )
    from rosemaryseam.node.replica import ReplicaTask
    from rosemaryseam.node.settings import Bounds

CLASS_HEADER = 'X-Request-Class'
BEARER_PREFIX = 'Bearer '
NOT_READY_RETRY_AFTER_S = 1.0


class Admission(NamedTuple):
    """A request whose caller, class and pool are known."""

    workspace: Workspace
    request_class: RequestClass
    pool: Pool


def require_catalogue(replica: ReplicaTask) -> Catalogue:
    """Return the catalogue, or refuse while there is none.

    :param replica: holds the catalogue
    :raises RequestError: this host has no catalogue yet
    """
    if replica.catalogue is None:
        message = 'this host has no catalogue yet'
        raise RequestError(message, ResultCode.NOT_READY, NOT_READY_RETRY_AFTER_S)
    return replica.catalogue


def authenticate(req: falcon.Request, catalogue: Catalogue) -> Workspace:
    """Return the workspace of a request's bearer key.

    :param req: the request
    :param catalogue: the catalogue in force
    :raises RequestError: the key is missing or unknown
    """
    header = req.get_header('Authorization') or ''
    if header.startswith(BEARER_PREFIX):
        key = header[len(BEARER_PREFIX) :].strip()
        digest = hashlib.sha256(key.encode('utf-8', 'replace')).hexdigest()
        for workspace in catalogue.workspaces:
            if digest in workspace.keys:
                return workspace
    raise RequestError('missing or unknown key', ResultCode.UNAUTHENTICATED)


def find_request_class(
    req: falcon.Request, catalogue: Catalogue, workspace: Workspace, model: str | None
) -> RequestClass:
    """Return the class of a request.

    :param req: the request
    :param catalogue: the catalogue in force
    :param workspace: of the caller
    :param model: the model asked for, ``None`` for an app runner
    :raises RequestError: no route matches, or the class is not allowed
    """
    name = None
    if workspace.may_choose_class:
        name = req.get_header(CLASS_HEADER)
    if name is None:
        name = _match_route(req.path, catalogue, workspace, model)
    if name is None or name not in workspace.classes:
        message = f'workspace {workspace.name!r} may not use class {name!r}'
        raise RequestError(message, ResultCode.CLASS_NOT_ALLOWED)
    return next(entry for entry in catalogue.classes if entry.name == name)


def find_model_pool(catalogue: Catalogue, model: str) -> Pool:
    """Return the pool that serves a model.

    :param catalogue: the catalogue in force
    :param model: the model asked for
    :raises RequestError: no pool serves it
    """
    for pool in catalogue.pools:
        if model in pool.models:
            return pool
    raise RequestError(f'unknown model {model!r}', ResultCode.NOT_FOUND)


def find_app_pool(catalogue: Catalogue, name: str) -> Pool:
    """Return a pool of app runners.

    :param catalogue: the catalogue in force
    :param name: the pool's name
    :raises RequestError: there is no such pool of app runners
    """
    for pool in catalogue.pools:
        if pool.name == name and pool.kind == 'app':
            return pool
    raise RequestError(f'unknown pool {name!r}', ResultCode.NOT_FOUND)


def read_body(req: falcon.Request, bounds: Bounds) -> bytes:
    """Return a request's whole body.

    :param req: the request
    :param bounds: the most bytes and seconds
    :raises RequestError: the body is too large, too slow or cut short
    """
    limit = bounds.body_bytes
    if (req.content_length or 0) > limit:
        raise RequestError(f'more than {limit} bytes', ResultCode.BODY_TOO_LARGE)
    try:
        with gevent.Timeout(bounds.body_s):
            body = req.bounded_stream.read(limit + 1)
    except gevent.Timeout as exc:
        raise RequestError('the body came too slowly') from exc
    except OSError as exc:
        raise RequestError('the body was cut short') from exc
    if len(body) > limit:
        raise RequestError(f'more than {limit} bytes', ResultCode.BODY_TOO_LARGE)
    if len(body) < (req.content_length or 0):
        raise RequestError('the body was cut short')
    return body


def _match_route(
    path: str, catalogue: Catalogue, workspace: Workspace, model: str | None
) -> str | None:
    for route in catalogue.routes:
        if route.path is not None and not fnmatch.fnmatchcase(path, route.path):
            continue
        if route.model is not None and route.model != model:
            continue
        if route.workspace is not None and route.workspace != workspace.name:
            continue
        return route.request_class
    return None
