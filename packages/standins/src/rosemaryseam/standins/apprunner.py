"""Stand-in for an app runner that records each execution."""

from __future__ import annotations

import hashlib
from typing import Any

import falcon
import gevent
from absl import flags

from rosemaryseam.common.clock import Clock, SystemClock
from rosemaryseam.standins.serving import ControlResource, main

_SERVICE_MS = flags.DEFINE_float('service_ms', 20.0, 'Duration of an execution.')

SILENCE_S = 3600.0


class AppRunner:
    """Executes requests and answers each with a digest of its body."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._faults: dict[str, Any] = {}
        self._executions: list[dict[str, Any]] = []
        self._open = 0
        self._peak = 0
        self._while_leaving = 0

    def apply(self, faults: dict[str, Any]) -> None:
        """Set ``leaving``, ``silent``, ``refuse`` or ``service_ms``."""
        self._faults.update(faults)

    def show(self) -> dict[str, Any]:
        """Return the executions and counters."""
        return {
            'executions': self._executions,
            'open': self._open,
            'peak': self._peak,
            'while_leaving': self._while_leaving,
        }

    def __call__(
        self, req: falcon.Request, resp: falcon.Response, **params: str
    ) -> None:
        """Execute a request."""
        body = req.bounded_stream.read()
        if self._faults.get('leaving'):
            self._while_leaving += 1
            raise falcon.HTTPServiceUnavailable(headers={'X-Upstream-State': 'leaving'})
        if self._faults.get('refuse'):
            raise falcon.HTTPServiceUnavailable()
        self._open += 1
        self._peak = max(self._peak, self._open)
        try:
            resp.media = self._execute(req, body)
        finally:
            self._open -= 1
        if self._faults.get('silent'):
            gevent.sleep(SILENCE_S)

    def _execute(self, req: falcon.Request, body: bytes) -> dict[str, Any]:
        execution = {
            'method': req.method,
            'path': req.path,
            'query': req.query_string,
            'digest': hashlib.sha256(body).hexdigest(),
            'key': req.get_header('Idempotency-Key'),
            'header': req.get_header('X-Custom'),
            'at': self._clock.now().timestamp(),
        }
        self._executions.append(execution)
        gevent.sleep(self._faults.get('service_ms', _SERVICE_MS.value) / 1000)
        return {**execution, 'execution': len(self._executions)}


def build() -> falcon.App:
    """Return the WSGI application of the runner."""
    runner = AppRunner(SystemClock())
    application = falcon.App()
    application.add_route('/control', ControlResource(runner.apply, runner.show))
    application.add_sink(runner, '/')
    return application


if __name__ == '__main__':
    main(build)
