"""HTTP resources that expose the metrics and the state of a process."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import falcon

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.metrics import Metrics


class MetricsResource:
    """Serves ``/metrics`` in the Prometheus text format.

    :param metrics: metrics of the process
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Send all metrics."""
        resp.content_type = 'text/plain; version=0.0.4'
        resp.data = self._metrics.render()


class DumpResource:
    """Serves ``/dump``, the whole state of the process.

    :param dump: returns the state; values without a JSON type are sent as text
    """

    def __init__(self, dump: Callable[[], dict[str, Any]]) -> None:
        self._dump = dump

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Send the state as JSON."""
        resp.content_type = falcon.MEDIA_JSON
        resp.data = json.dumps(self._dump(), default=str).encode()
