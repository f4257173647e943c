"""HTTP applications for readiness, metrics and the state dump."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import falcon

from rosemaryseam.common.inspection import DumpResource, MetricsResource

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.metrics import Metrics


class ReadinessResource:
    """Tells the load balancer whether to send new connections to this host.

    :param reason: returns the reason for not being ready, or ``None``
    :param failing_work: returns the repeated work whose latest step failed
    """

    def __init__(
        self,
        reason: Callable[[], str | None],
        failing_work: Callable[[], dict[str, Any]],
    ) -> None:
        self._reason = reason
        self._failing_work = failing_work

    def __call__(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer on any path, as the port serves nothing else."""
        reason = self._reason()
        if reason is not None:
            resp.status = falcon.HTTP_503
        resp.media = {
            'ready': reason is None,
            'reason': reason,
            'failing_work': self._failing_work(),
        }


def build_readiness_app(
    reason: Callable[[], str | None], failing_work: Callable[[], dict[str, Any]]
) -> falcon.App:
    """Return the application that answers readiness checks.

    :param reason: returns the reason for not being ready, or ``None``
    :param failing_work: returns the repeated work whose latest step failed
    """
    application = falcon.App()
    application.add_sink(ReadinessResource(reason, failing_work), '/')
    return application


def build_metrics_app(
    metrics: Metrics, dump: Callable[[], dict[str, Any]]
) -> falcon.App:
    """Return the application that serves the metrics and the state dump.

    :param metrics: counters of the process
    :param dump: returns the state of the process
    """
    application = falcon.App()
    application.add_route('/metrics', MetricsResource(metrics))
    application.add_route('/dump', DumpResource(dump))
    return application
