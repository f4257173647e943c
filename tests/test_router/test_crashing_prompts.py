"""Tests requests with a prompt part that crashes the engines that answer them."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, NamedTuple

import gevent
import pytest
from routers import RunningRouter

from rosemaryseam.router.routes import EngineProfile

if TYPE_CHECKING:
    from collections.abc import Iterator

    from routers import Response

    from rosemaryseam.standins.scripted import ScriptedExchange

ENGINES = 9
RESTART_S = 0.8  # from an engine's crash until another one takes its place
DEADLY = 'dead'
EVENTS = 3
INTERVAL_S = 0.15  # between two requests that crash engines
SENT_S = 7.0  # for which they are sent
STABLE_S = 3.0  # after the fifth crash, from which at most three may reach engines
MAX_LATE_ARRIVALS = 3


class Arrival(NamedTuple):
    """A request that reached an engine; ``at`` is monotonic time in seconds."""

    at: float
    parts: list[str]


class CrashingEngines:
    """Engines that crash on a prompt part and are replaced after a while.

    :param router: router that uses them
    """

    def __init__(self, router: RunningRouter) -> None:
        self._router = router
        self._numbers = itertools.count()
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []
        for _ in range(ENGINES):
            self._add()

    def late_arrivals(self) -> list[Arrival]:
        """Return requests that crash engines, sent too long after the fifth crash."""
        if len(self.crashes) < 5:
            return []
        begin = self.crashes[4] + STABLE_S
        return [one for one in self.arrivals if DEADLY in one.parts and one.at > begin]

    def _add(self) -> None:
        name = f'engine-{next(self._numbers)}'
        self._router.add(name, lambda exchange: self._answer(name, exchange))

    def _answer(self, name: str, exchange: ScriptedExchange) -> None:
        prompt = exchange.request.headers['x-prompt-parts']
        parts = [entry.split(':')[0] for entry in prompt.split(',')]
        now = self._router.clock.monotonic()
        self.arrivals.append(Arrival(now, parts))
        gevent.sleep(0.05)
        exchange.start_stream()
        if DEADLY in parts:
            exchange.send_raw(b'9\r\nid: 1')
            self.crashes.append(self._router.clock.monotonic())
            gevent.spawn_later(RESTART_S, self._add)
            self._router.upstreams[name].stop()
            exchange.close()
            return
        start = int(exchange.request.headers.get('last-event-id', '0'))
        for number in range(start + 1, EVENTS + 1):
            exchange.event(number)
            gevent.sleep(0.02)
        exchange.end_stream()


@pytest.fixture
def router() -> Iterator[RunningRouter]:
    """Yield a running router whose upstreams are engines."""
    running = RunningRouter()
    running.start()
    services = running.router.feed.table.services
    engine = EngineProfile(16, 100_000, 1, shares_cache=False)
    services['work'] = services['work']._replace(engine=engine)
    yield running
    running.stop()


def call(router: RunningRouter, route: str, *parts: str) -> Response:
    """Send a request with these prompt parts and a last part of its own."""
    own = f'{next(_OWN_PARTS):x}'
    return router.call(
        route,
        headers={
            'X-Prompt-Parts': ','.join(f'{part}:50' for part in (*parts, own)),
            'X-Token-Counts': f'{50 * (len(parts) + 1)},10',
        },
    )


_OWN_PARTS = itertools.count(0x1000)

PROMPTS = [
    ('after-a-shared-part', ('shared', DEADLY), ('shared', 'other')),
    ('between-shared-parts', ('shared', DEADLY, 'other'), ('shared', 'other')),
    ('first', (DEADLY, 'other'), ('shared', 'other')),
]


# Guards against requests with one part that crash engine after engine (BUDGET), and
# against a defence that refuses sound requests with their other parts (LOST).
@pytest.mark.parametrize(
    ('deadly', 'sound'), [row[1:] for row in PROMPTS], ids=[row[0] for row in PROMPTS]
)
@pytest.mark.parametrize('route', ['stream', 'once'])
def test_prompt_part_that_crashes_engines_is_refused(
    router: RunningRouter, route: str, deadly: tuple[str, ...], sound: tuple[str, ...]
) -> None:
    engines = CrashingEngines(router)
    sent: list[gevent.Greenlet] = []
    answers: list[tuple[float, Response]] = []
    refused: list[Response] = []

    def send_deadly() -> None:
        refused.append(call(router, route, *deadly))

    def send_sound() -> None:
        answers.append((router.clock.monotonic(), call(router, route, *sound)))

    began = router.clock.monotonic()
    while router.clock.monotonic() < began + SENT_S:
        sent += [gevent.spawn(send_deadly), gevent.spawn(send_sound)]
        gevent.sleep(INTERVAL_S)
    gevent.joinall(sent, timeout=5.0)
    assert len(engines.late_arrivals()) <= MAX_LATE_ARRIVALS, len(engines.crashes)
    late = [one for at, one in answers if at > began + SENT_S / 2]
    assert [one.status for one in late] == [200] * len(late)
    assert all(one.events() == [1, 2, 3] for one in late)
    final = refused[-1]
    assert (final.status, final.complete) == (503, True)
    assert float(final.headers['retry-after']) > 1.0
