"""Admin HTTP interface: health, metrics, state dump and catalogue revisions."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

import falcon

from rosemaryseam.node.replica import RevisionOffer

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.inspection import DumpResource, MetricsResource
    from rosemaryseam.node.replica import ReplicaTask

MAX_CATALOGUE_BYTES = 1_000_000


class HealthResource:
    """Serves ``/healthz`` and ``/readyz``.

    :param not_ready: returns the reason why the node is not ready, ``None`` if it is
    """

    def __init__(self, not_ready: Callable[[], str | None]) -> None:
        self._not_ready = not_ready

    def on_get_health(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with status 200 as long as the process runs."""
        resp.media = {'status': 'ok'}

    def on_get_ready(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer whether a load balancer should send requests to this host."""
        reason = self._not_ready()
        if reason is not None:
            resp.status = falcon.HTTP_503
        resp.media = {'ready': reason is None, 'reason': reason}


class CatalogueResource:
    """Serves ``/catalogue``, which receives revisions stored in the key-value service.

    :param replica: task that adopts the revisions
    """

    def __init__(self, replica: ReplicaTask) -> None:
        self._replica = replica

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Offer a revision to the replica and answer with the revision in force."""
        data = req.bounded_stream.read(MAX_CATALOGUE_BYTES)
        self._replica.offer(RevisionOffer(data, 'operator'))
        resp.media = {'revision': self._replica.revision}


class TokenCheck:
    """Middleware that requires the admin token, except on the health endpoints.

    :param token: admin token of the settings
    """

    def __init__(self, token: str) -> None:
        self._expected = f'Bearer {token}'.encode()

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Refuse a request that lacks the token."""
        if req.path in ('/healthz', '/readyz'):
            return
        given = (req.get_header('Authorization') or '').encode()
        if not hmac.compare_digest(given, self._expected):
            raise falcon.HTTPUnauthorized()


def build_admin_application(
    token: str,
    health: HealthResource,
    metrics: MetricsResource,
    dump: DumpResource,
    catalogue: CatalogueResource,
) -> falcon.App:
    """Create the WSGI application of the admin interface.

    :param token: admin token that requests must carry
    :param health: serves health and readiness
    :param metrics: serves the metrics
    :param dump: serves the state dump
    :param catalogue: receives catalogue revisions
    """
    application = falcon.App(middleware=[TokenCheck(token)])
    application.add_route('/healthz', health, suffix='health')
    application.add_route('/readyz', health, suffix='ready')
    application.add_route('/metrics', metrics)
    application.add_route('/dump', dump)
    application.add_route('/catalogue', catalogue)
    return application
