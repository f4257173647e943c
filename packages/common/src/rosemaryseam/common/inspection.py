"""What processes show of themselves over HTTP: metrics and the dump."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import falcon

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.metrics import Metrics


class MetricsResource:
    """``/metrics``, in the Prometheus text format.

    :param metrics: the process's counters
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Show all counters and histograms."""
        resp.content_type = 'text/plain; version=0.0.4'
        resp.data = self._metrics.render()


class DumpResource:
    """``/dump``: the whole state of the process.

    :param dump: returns the state; what JSON has no type for is shown as text
    """

    def __init__(self, dump: Callable[[], dict[str, Any]]) -> None:
        self._dump = dump

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Show the state as JSON."""
        resp.content_type = falcon.MEDIA_JSON
        resp.data = json.dumps(self._dump(), default=str).encode()
