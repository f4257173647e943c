"""The admin port: health, metrics, the dump and new catalogue revisions."""

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
    """``/healthz`` and ``/readyz``.

    :param reason: returns why callers should go elsewhere, or ``None``
    """

    def __init__(self, reason: Callable[[], str | None]) -> None:
        self._reason = reason

    def on_get_health(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer while the process runs."""
        resp.media = {'status': 'ok'}

    def on_get_ready(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Tell the balancer whether to send callers here."""
        reason = self._reason()
        if reason is not None:
            resp.status = falcon.HTTP_503
        resp.media = {'ready': reason is None, 'reason': reason}


class CatalogueResource:
    """``/catalogue``: takes a revision that the service has accepted."""

    def __init__(self, replica: ReplicaTask) -> None:
        self._replica = replica

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Offer a revision and answer with the one in force."""
        data = req.bounded_stream.read(MAX_CATALOGUE_BYTES)
        self._replica.offer(RevisionOffer(data, 'operator'))
        resp.media = {'revision': self._replica.revision}


class TokenCheck:
    """Lets only holders of the admin token past the health endpoints.

    :param token: from the settings
    """

    def __init__(self, token: str) -> None:
        self._expected = f'Bearer {token}'.encode()

    def process_request(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Refuse a request without the token."""
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
    """Return the admin application.

    :param token: what requests must carry
    """
    application = falcon.App(middleware=[TokenCheck(token)])
    application.add_route('/healthz', health, suffix='health')
    application.add_route('/readyz', health, suffix='ready')
    application.add_route('/metrics', metrics)
    application.add_route('/dump', dump)
    application.add_route('/catalogue', catalogue)
    return application
