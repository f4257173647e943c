"""Authentication, request classes, pools, and size and time limits of bodies."""

from __future__ import annotations

import fnmatch
import hashlib
from typing import TYPE_CHECKING, NamedTuple

import gevent

from rosemaryseam.common.bodybuffer import BodyBuffer
from rosemaryseam.common.calleraccount import NoRoomError, Stage
from rosemaryseam.common.errors import RequestError, ResultCode
from rosemaryseam.common.requestholder import HOLDER_KEY, RETRY_AFTER_S

if TYPE_CHECKING:
    import falcon

    from rosemaryseam.common.catalogue import (
        Catalogue,
        Pool,
        RequestClass,
        Workspace,
    )
    from rosemaryseam.common.requestholder import RequestHolder
    from rosemaryseam.common.requestinput import RequestInput
    from rosemaryseam.node.replica import ReplicaTask
    from rosemaryseam.node.settings import Bounds

CLASS_HEADER = 'X-Request-Class'
BEARER_PREFIX = 'Bearer '
NOT_READY_RETRY_AFTER_S = 1.0


class Admission(NamedTuple):
    """The workspace, class and pool that were determined for a request."""

    workspace: Workspace
    request_class: RequestClass
    pool: Pool


def require_catalogue(replica: ReplicaTask) -> Catalogue:
    """Return the catalogue in force, or refuse the request if there is none.

    :param replica: holds the catalogue in force
    :raises RequestError: if this host has no catalogue yet
    """
    if replica.catalogue is None:
        message = 'this host has no catalogue yet'
        raise RequestError(message, ResultCode.NOT_READY, NOT_READY_RETRY_AFTER_S)
    return replica.catalogue


def authenticate(req: falcon.Request, catalogue: Catalogue) -> Workspace:
    """Return the workspace to which a request's bearer key belongs.

    :param req: the request
    :param catalogue: the catalogue in force
    :raises RequestError: if the key is missing or unknown
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
    :param workspace: the workspace of the caller
    :param model: the requested model, ``None`` for a request to an app runner
    :raises RequestError: if no route matches or the workspace may not use the class
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
    :param model: the requested model
    :raises RequestError: if no pool serves the model
    """
    for pool in catalogue.pools:
        if model in pool.models:
            return pool
    raise RequestError(f'unknown model {model!r}', ResultCode.NOT_FOUND)


def find_app_pool(catalogue: Catalogue, name: str) -> Pool:
    """Return the pool of app runners with a given name.

    :param catalogue: the catalogue in force
    :param name: name of the pool
    :raises RequestError: if no pool of app runners has this name
    """
    for pool in catalogue.pools:
        if pool.name == name and pool.kind == 'app':
            return pool
    raise RequestError(f'unknown pool {name!r}', ResultCode.NOT_FOUND)


def read_body(req: falcon.Request, bounds: Bounds) -> bytes | memoryview:
    """Read the complete body of a request, sent with a length or in chunks.

    :param req: the request
    :param bounds: limits on the size of the body and the time to read it
    :raises RequestError: if the body is too large, too slow or incomplete, or there is
        no memory for it
    """
    source: RequestInput = req.env['wsgi.input']
    holder: RequestHolder = req.env[HOLDER_KEY]
    length = source.stated_length
    if length is None and req.get_header('Transfer-Encoding').lower() != 'chunked':
        raise RequestError('unknown transfer encoding')
    if (length or 0) > bounds.body_bytes:
        raise _body_too_large(bounds)
    try:
        holder.enter(Stage.BODY, length or 0)
        holder.body = buffer = BodyBuffer(length or 0)
        with gevent.Timeout(bounds.body_s):
            for part in source.parts():
                _append(buffer, part, bounds, holder)
        holder.enter(Stage.RUNNING, buffer.capacity)
        holder.body = None
    except gevent.Timeout as exc:
        raise RequestError('the body came too slowly') from exc
    except OSError as exc:
        raise RequestError('the body was cut short') from exc
    except NoRoomError as exc:
        raise RequestError(str(exc), ResultCode.NO_CAPACITY, RETRY_AFTER_S) from exc
    return buffer.view()


def hold_memory(req: falcon.Request, count: int) -> None:
    """Set the memory that a complete request takes.

    :param req: the request
    :param count: number of bytes
    :raises RequestError: if there is no memory for them
    """
    holder: RequestHolder = req.env[HOLDER_KEY]
    try:
        holder.enter(Stage.RUNNING, count)
    except NoRoomError as exc:
        raise RequestError(str(exc), ResultCode.NO_CAPACITY, RETRY_AFTER_S) from exc


def _append(
    buffer: BodyBuffer, part: bytes, bounds: Bounds, holder: RequestHolder
) -> None:
    if buffer.size + len(part) > bounds.body_bytes:
        raise _body_too_large(bounds)
    holder.note_progress()
    capacity = buffer.capacity_for(len(part))
    if capacity > buffer.capacity:
        holder.hold(capacity)
    buffer.append(part)


def _body_too_large(bounds: Bounds) -> RequestError:
    message = f'more than {bounds.body_bytes} bytes'
    return RequestError(message, ResultCode.BODY_TOO_LARGE)


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
