"""Stand-in for the host list of the platform, a subset of Consul's health API."""

from __future__ import annotations

from typing import Any

import falcon

from rosemaryseam.common.clock import Clock, SystemClock
from rosemaryseam.standins.serving import ControlResource, main

MAINTENANCE = '_service_maintenance'


class HostList:
    """Keeps the states of services and shows them after a configurable lag."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, list[tuple[float, str]]] = {}
        self._lag_s = 0.0
        self._down = False

    def apply(self, change: dict[str, Any]) -> None:
        """Set ``lag_s``, ``down`` or ``states`` (id to live, leaving or gone)."""
        self._lag_s = change.get('lag_s', self._lag_s)
        self._down = change.get('down', self._down)
        now = self._clock.monotonic()
        for name, state in change.get('states', {}).items():
            self._states.setdefault(name, []).append((now, state))

    def show(self) -> dict[str, Any]:
        """Return the current states, without the lag."""
        return {name: states[-1][1] for name, states in self._states.items()}

    def delayed_states(self) -> dict[str, str]:
        """Return the delayed states that clients receive."""
        horizon = self._clock.monotonic() - self._lag_s
        delayed = {}
        for name, states in self._states.items():
            old = [state for at, state in states if at <= horizon]
            if old:
                delayed[name] = old[-1]
        return delayed

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer ``/v1/health/state/any``."""
        if self._down:
            raise falcon.HTTPServiceUnavailable()
        resp.media = [
            _build_check(name, state) for name, state in self.delayed_states().items()
        ]


def _build_check(name: str, state: str) -> dict[str, str]:
    leaving = state == 'leaving'
    return {
        'ServiceID': name,
        'CheckID': f'{MAINTENANCE}:{name}' if leaving else f'service:{name}',
        'Status': 'passing' if state == 'live' else 'critical',
    }


def build() -> falcon.App:
    """Return the WSGI application of the host list."""
    hosts = HostList(SystemClock())
    application = falcon.App()
    application.add_route('/v1/health/state/any', hosts)
    application.add_route('/control', ControlResource(hosts.apply, hosts.show))
    return application


if __name__ == '__main__':
    main(build)
