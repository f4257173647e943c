"""Tests requests that crash the upstreams that run them and come again."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import gevent
import pytest
from routers import KEY, RunningRouter, configuration

from rosemaryseam.router.documentcodec import CONFIGURATION_KEY
from rosemaryseam.router.routes import EngineProfile

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from routers import Response

    from rosemaryseam.standins.scripted import ScriptedExchange

RESTART_S = 0.8  # from a crash until another upstream takes the place
INTERVAL_S = 0.15  # between two requests that crash upstreams
SENT_S = 7.0  # for which they are sent
STABLE_S = 3.0  # after the third crash, from which at most three may reach upstreams
MAX_LATE_ARRIVALS = 3
DEADLY = b'deadly'
OTHER_KEY = 'key-of-south'
_OWN_PARTS = itertools.count(0x3000)


class CrashingUpstreams:
    """Upstreams that crash on a body and are replaced after a while.

    :param router: router that uses them
    :param count: number of upstreams
    """

    def __init__(self, router: RunningRouter, count: int) -> None:
        self._router = router
        self._numbers = itertools.count()
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        for _ in range(count):
            self._add()

    def late_arrivals(self) -> list[float]:
        """Return when deadly requests arrived too long after the third crash."""
        if len(self.crashes) < 3:
            return []
        return [at for at in self.arrivals if at > self.crashes[2] + STABLE_S]

    def _add(self) -> None:
        name = f'upstream-{next(self._numbers)}'
        self._router.add(name, lambda exchange: self._answer(name, exchange))

    def _answer(self, name: str, exchange: ScriptedExchange) -> None:
        request = exchange.request
        is_deadly = request.body == DEADLY and request.headers['x-workspace'] == 'north'
        if is_deadly:
            self.arrivals.append(self._router.clock.monotonic())
        gevent.sleep(0.05)
        if is_deadly:
            self.crashes.append(self._router.clock.monotonic())
            gevent.spawn_later(RESTART_S, self._add)
            self._router.upstreams[name].stop()
            exchange.close()
        elif '/stream/' in request.target or '/once/' in request.target:
            exchange.start_stream()
            exchange.event(1)
            exchange.end_stream()
        else:
            exchange.answer(200, b'done')


@pytest.fixture
def start_router() -> Iterator[Callable[[bool], RunningRouter]]:
    """Return a function that starts a router, with engines or app runners."""
    started = []

    def start(engines: bool) -> RunningRouter:
        running = RunningRouter()
        started.append(running)
        workspaces = [
            {'name': 'north', 'keys': [KEY]},
            {'name': 'south', 'keys': [OTHER_KEY]},
        ]
        running.store.put(CONFIGURATION_KEY, configuration(2, workspaces=workspaces))
        running.start()
        if engines:
            services = running.router.feed.table.services
            engine = EngineProfile(16, 100_000, 1, shares_cache=False)
            services['work'] = services['work']._replace(engine=engine)
        return running

    yield start
    for running in started:
        running.stop()


def call(
    router: RunningRouter, route: str, body: bytes, key: str, parts: str
) -> Response:
    """Send a request, with a prompt if there are parts."""
    headers = {'X-Prompt-Parts': parts, 'X-Token-Counts': '100,10'} if parts else {}
    return router.call(route, body=body, key=key, headers=headers)


def shared_prompt(own: int) -> str:
    """Return a prompt with a shared part and one of its own."""
    return f'a:50,{own:x}:50'


CASES = [
    ('safe-at-app-runners', 'safe', False, 4),
    ('unsafe-at-app-runners', 'unsafe', False, 4),
    ('resumable-at-engines', 'stream', True, 9),
    ('once-at-engines', 'once', True, 9),
]


# Guards against a request that comes again and crashes upstreams one by one (BUDGET),
# and against a defence that refuses sound requests of its caller, route or body.
@pytest.mark.parametrize(
    ('route', 'engines', 'count'),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_request_that_crashes_upstreams_is_refused(
    start_router: Callable[[bool], RunningRouter],
    route: str,
    engines: bool,
    count: int,
) -> None:
    router = start_router(engines)
    upstreams = CrashingUpstreams(router, count)
    deadly_part = shared_prompt(0x2FFF) if engines else ''
    sent: list[gevent.Greenlet] = []
    sound: list[tuple[float, Response]] = []
    refused: list[Response] = []

    def send_deadly() -> None:
        refused.append(call(router, route, DEADLY, KEY, deadly_part))

    def send_sound(body: bytes, key: str) -> None:
        at = router.clock.monotonic()
        parts = shared_prompt(next(_OWN_PARTS)) if engines else ''
        sound.append((at, call(router, route, body, key, parts)))

    began = router.clock.monotonic()
    while router.clock.monotonic() < began + SENT_S:
        sent += [
            gevent.spawn(send_deadly),
            gevent.spawn(send_sound, b'sound', KEY),
            gevent.spawn(send_sound, DEADLY, OTHER_KEY),
        ]
        gevent.sleep(INTERVAL_S)
    gevent.joinall(sent, timeout=5.0)
    assert len(upstreams.late_arrivals()) <= MAX_LATE_ARRIVALS, len(upstreams.crashes)
    late = [one.status for at, one in sound if at > began + SENT_S / 2]
    assert late == [200] * len(late)
    final = refused[-1]
    assert (final.status, final.complete) == (503, True)
    assert float(final.headers['retry-after']) > 1.0
