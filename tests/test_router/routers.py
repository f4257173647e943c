"""Routers on loopback addresses with an in-memory store and scripted upstreams."""

from __future__ import annotations

import contextlib
import itertools
import json
from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
import h11
from gevent import socket

from fleet import free_ports
from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.policy.retrybudget import RetryBudgetLimits
from rosemaryseam.router.documentcodec import (
    CONFIGURATION_KEY,
    UPSTREAM_PREFIX,
    DocumentStateCodec,
)
from rosemaryseam.router.headercodec import open_header_codec
from rosemaryseam.router.process import Router
from rosemaryseam.router.settings import RouterSettings
from rosemaryseam.standins.rangestore import MemoryRangeStore
from rosemaryseam.standins.scripted import ScriptedUpstream

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from rosemaryseam.router.dutyport import DutyPort
    from rosemaryseam.standins.scripted import ScriptedExchange

KEY = 'key-of-north'
_REQUEST_NUMBERS = itertools.count(1)
ANSWER_TIMEOUT_S = 5.0

ROUTES: dict[str, dict[str, Any]] = {
    'safe': {'repeat': 'whole', 'max_runs': 2, 'timeout_s': 1.0},
    'unsafe': {'repeat': 'never', 'max_runs': 1, 'timeout_s': 1.0},
    'stream': {'repeat': 'resume', 'max_runs': 2, 'timeout_s': 2.0, 'streamed': True},
    'once': {'repeat': 'never', 'max_runs': 1, 'timeout_s': 2.0, 'streamed': True},
    'long': {'repeat': 'resume', 'max_runs': 2, 'timeout_s': 15.0, 'streamed': True},
    'single': {'repeat': 'resume', 'max_runs': 1, 'timeout_s': 5.0, 'streamed': True},
    'public': {'repeat': 'whole', 'max_runs': 1, 'timeout_s': 1.0, 'public': True},
}


class Response(NamedTuple):
    """An answer as a caller received it; ``complete`` is false if it is truncated."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool

    def events(self) -> list[int]:
        """Return the ids of the answer's events."""
        lines = self.body.decode().splitlines()
        return [int(line[3:]) for line in lines if line.startswith('id:')]


def free_port() -> int:
    """Return an unused port, a different one on each call."""
    return free_ports(1)[0]


def configuration(version: int = 1, **changes: Any) -> bytes:
    """Return a JSON configuration with one route for each entry of :data:`ROUTES`.

    :param version: version of the configuration
    :param changes: top-level fields that replace the defaults
    """
    document = {
        'version': version,
        'routes': [
            {'name': name, 'host': 'h.example', 'prefix': f'/{name}/', **fields}
            | {'services': [{'service': 'work'}]}
            for name, fields in ROUTES.items()
        ],
        'services': [{'name': 'work'}],
        'workspaces': [{'name': 'north', 'keys': [KEY]}],
        **changes,
    }
    return json.dumps(document).encode()


class RunningRouter:
    """A router in the test's process, with its store and its upstreams.

    :param store: store that is shared with other hosts, or ``None`` for a new one
    :param duty_port: makes the calls of duties, if the settings have any
    :param changes: settings that differ from the defaults
    """

    def __init__(
        self,
        store: MemoryRangeStore | None = None,
        duty_port: DutyPort | None = None,
        **changes: Any,
    ) -> None:
        self.clock = SystemClock()
        self.store = store or MemoryRangeStore(self.clock)
        self.upstreams: dict[str, ScriptedUpstream] = {}
        cfg = RouterSettings(
            host='host-1',
            zone='a',
            ip='127.0.0.1',
            callers=Address('127.0.0.1', free_port()),
            readiness=Address('127.0.0.1', free_port()),
            metrics=Address('127.0.0.1', free_port()),
            peer_port=free_port(),
            store=Address('127.0.0.1', 1),
            store_timeout_s=0.5,
            memory_bytes=100_000_000,
            descriptors=1000,
            grace_s=4.0,
            max_key_staleness_s=5.0,
            retry_budget_limits=RetryBudgetLimits(0.2, 50, 10.0),
        )
        self.cfg = cfg._replace(**changes)
        if store is None:
            self.store.put(CONFIGURATION_KEY, configuration())
        self.router = Router(
            self.cfg,
            self.clock,
            self.store,
            open_header_codec(),
            DocumentStateCodec(),
            duty_port=duty_port,
        )

    def start(self) -> None:
        """Start the router and wait until it has read the configuration."""
        self.router.start()
        self.wait(lambda: self.router.feed.table is not None)

    def add(
        self, name: str, script: Callable[[ScriptedExchange], None]
    ) -> ScriptedUpstream:
        """Start an upstream, register it and wait until the router uses it."""
        upstream = ScriptedUpstream(script)
        self.upstreams[name] = upstream
        self.register(name)
        self.wait(lambda: name in self.usable())
        return upstream

    def register(self, name: str, **more: object) -> None:
        """Write an upstream's registration to the store."""
        entry = self.upstreams[name].registry_entry('work', **more)
        self.store.put(UPSTREAM_PREFIX + name, entry)

    def usable(self) -> set[str]:
        """Return the ids of the upstreams that the router uses."""
        return {upstream.id for upstream in self.router.registry.all()}

    def wait(self, condition: Callable[[], bool], timeout_s: float = 3.0) -> None:
        """Wait until a condition holds."""
        with gevent.Timeout(timeout_s):
            while not condition():
                gevent.sleep(0.005)

    def call(self, route: str, **more: Any) -> Response:
        """Send a request on a new connection."""
        with self.connection() as conn:
            return conn.call(route, **more)

    @contextlib.contextmanager
    def connection(self) -> Iterator[HttpCaller]:
        """Yield a connection to the router."""
        conn = HttpCaller(self.cfg.callers)
        try:
            yield conn
        finally:
            conn.close()

    def stop(self) -> None:
        """Stop the router and its upstreams at once."""
        self.router.kill()
        for upstream in self.upstreams.values():
            upstream.stop()


class RunningFleet:
    """Routers on different loopback addresses that share a store.

    :param count: number of hosts
    :param large_hosts: numbers of the hosts with four times the capacity of the others
    :param store: store with a configuration, or ``None`` for a new one
    """

    def __init__(
        self,
        count: int,
        large_hosts: tuple[int, ...] = (),
        store: MemoryRangeStore | None = None,
    ) -> None:
        self._large_hosts = large_hosts
        if store is None:
            store = MemoryRangeStore(SystemClock())
            store.put(CONFIGURATION_KEY, configuration())
        self.store = store
        self._port = free_port()
        self.hosts = [self.make_host(number) for number in range(1, count + 1)]
        for host in self.hosts:
            host.start()
        first = self.hosts[0]
        first.wait(lambda: all(self.knows_all(host) for host in self.hosts))

    def make_host(self, number: int, **changes: Any) -> RunningRouter:
        """Return a host without starting it."""
        ip = f'127.0.1.{number}'
        return RunningRouter(
            self.store,
            host=f'host-{number}',
            ip=ip,
            callers=Address(ip, free_port()),
            readiness=Address(ip, free_port()),
            metrics=Address(ip, free_port()),
            peer_port=self._port,
            cores=2.0 if number in self._large_hosts else 0.5,
            **changes,
        )

    def knows_all(self, host: RunningRouter) -> bool:
        """Return whether a host knows all hosts."""
        return host.router.peers.host_count() == len(self.hosts)

    def add(
        self, name: str, script: Callable[[ScriptedExchange], None]
    ) -> ScriptedUpstream:
        """Start an upstream and wait until all hosts use it."""
        upstream = self.hosts[0].add(name, script)
        for host in self.hosts:
            host.wait(lambda host=host: name in host.usable())
        return upstream

    def dispatcher(self, service: str = 'work') -> RunningRouter:
        """Return the host that dispatches the first slot of a service."""
        plan = self.hosts[0].router.dispatcher.plan(service)
        ips = [host.cfg.ip for host in self.hosts]
        first = plan.rank_hosts(0, dict.fromkeys(ips, 1.0))[0]
        return next(host for host in self.hosts if host.cfg.ip == first)

    def stop(self) -> None:
        """Stop all hosts at once."""
        for host in self.hosts:
            host.stop()


class HttpCaller:
    """An HTTP client with one connection to a router."""

    def __init__(self, address: Address) -> None:
        self.sock = socket.create_connection(tuple(address))
        self._http = h11.Connection(h11.CLIENT)

    def call(
        self,
        route: str,
        *,
        method: str = 'POST',
        body: bytes = b'body',
        key: str | None = KEY,
        headers: dict[str, str] | None = None,
        path: str = 'thing?x=1',
        host: str = 'h.example',
        patience_ms: int = 3000,
    ) -> Response:
        """Send a request and read its answer."""
        fields = {
            'Host': host,
            'X-Request-Id': f'request-{next(_REQUEST_NUMBERS)}',
            'X-Patience-Ms': str(patience_ms),
            'Content-Length': str(len(body)),
            **({} if key is None else {'X-Api-Key': key}),
            **(headers or {}),
        }
        request = h11.Request(
            method=method, target=f'/{route}/{path}', headers=list(fields.items())
        )
        data = self._http.send(request)
        data += self._http.send(h11.Data(data=body)) if body else b''
        self.sock.sendall(data + self._http.send(h11.EndOfMessage()))
        return self.read()

    def read(self) -> Response:
        """Read one answer."""
        with gevent.Timeout(ANSWER_TIMEOUT_S):
            return self._read()

    def _read(self) -> Response:
        head: h11.Response | None = None
        body = b''
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError:
                break
            if event is h11.NEED_DATA:
                try:
                    self._http.receive_data(self.sock.recv(65_536))
                except OSError:
                    break
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._http.their_state is h11.DONE:
                    self._http.start_next_cycle()
                return _response(head, body, complete=True)
            else:
                break
        return _response(head, body, complete=False)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def _response(head: h11.Response | None, body: bytes, *, complete: bool) -> Response:
    if head is None:
        return Response(0, {}, b'', complete=False)
    headers = {key.decode(): value.decode() for key, value in head.headers}
    return Response(head.status_code, headers, body, complete)
