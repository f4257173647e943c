"""Tests planned stops and restarts of a router while callers keep sending."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from routers import KEY, RunningRouter, configuration

from rosemaryseam.router.documentcodec import CONFIGURATION_KEY

if TYPE_CHECKING:
    from rosemaryseam.standins.scripted import ScriptedExchange

CALLERS = 24
WORK_S = 0.25  # for which an upstream works on a request
EVENTS = 10


def work(exchange: ScriptedExchange) -> None:
    """Answer after some work, as a stream where the route is one."""
    if '/stream/' not in exchange.request.target:
        gevent.sleep(WORK_S)
        exchange.answer(200, b'done')
        return
    exchange.start_stream()
    for number in range(1, EVENTS + 1):
        gevent.sleep(WORK_S / EVENTS)
        exchange.event(number)
    exchange.end_stream()


class Load:
    """Callers that send one request after the other on open connections."""

    def __init__(self, running: RunningRouter) -> None:
        self._running = running
        self.answered = 0
        self.refused: list[str] = []
        self.cut: list[str] = []
        self.stopping = False
        self._greenlets = [gevent.spawn(self._send, n) for n in range(CALLERS)]

    def join(self) -> None:
        """Wait until all callers have ended."""
        gevent.joinall(self._greenlets, timeout=5.0, raise_error=True)

    def _send(self, number: int) -> None:
        route = ('safe', 'unsafe', 'stream')[number % 3]
        count = 0
        while not self.stopping:
            try:
                with self._running.connection() as conn:
                    for _ in range(3):
                        count += 1
                        name = f'c{number}-{count}'
                        fields = {'X-Request-Id': name}
                        response = conn.call(route, headers=fields)
                        self._record(name, response.status, response.complete)
                        closing = response.headers.get('connection') == 'close'
                        if closing or not response.complete:
                            break
            except OSError:
                gevent.sleep(0.05)

    def _record(self, name: str, status: int, complete: bool) -> None:
        if not complete:
            self.cut.append(name)
        elif status == 200:
            self.answered += 1
        else:
            assert status == 503
            self.refused.append(name)


def test_a_planned_stop_under_load_cuts_no_accepted_request() -> None:
    running = RunningRouter(grace_s=4.0)
    running.start()
    try:
        upstream = running.add('one', work)
        load = Load(running)
        gevent.sleep(0.6)
        stopped = gevent.spawn(running.router.wait)
        running.router.request_stop()
        assert stopped.join(6.0) is None
        assert stopped.ready()
        load.stopping = True
        load.join()
        reached = {request.headers['x-request-id'] for request in upstream.requests}
        assert load.answered > 2 * CALLERS
        assert not reached.intersection(load.cut)
        assert not reached.intersection(load.refused)
    finally:
        running.stop()


def test_a_restarted_process_uses_no_revoked_key_and_no_upstream_that_left() -> None:
    first = RunningRouter()
    first.start()
    second = None
    try:
        leaving = first.add('one', lambda exchange: exchange.answer(200))
        staying = first.add('two', lambda exchange: exchange.answer(200))
        first.register('one', leaving=True)
        others = [{'name': 'north', 'keys': ['other']}]
        first.store.put(CONFIGURATION_KEY, configuration(2, workspaces=others))
        first.wait(lambda: first.router.feed.table.version == 2)
        first.wait(lambda: 'one' not in first.usable())
        first.router.kill()
        second = RunningRouter(first.store)
        second.start()
        second.wait(lambda: 'two' in second.usable())
        assert second.call('safe', key=KEY).status == 401
        for _ in range(6):
            assert second.call('safe', key='other').status == 200
        assert not leaving.requests
        assert len(staying.requests) == 6
    finally:
        first.stop()
        if second is not None:
            second.stop()
