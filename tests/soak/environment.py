"""The environment of a soak run: real routers, and everything they talk to."""

from __future__ import annotations

import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

import gevent
from caller import HOST, Caller
from proxy import FaultyProxy
from records import History, Span
from upstream import SoakUpstream

from rosemaryseam.platform.state import CONFIGURATION_KEY, REGISTRY_PREFIX

if TYPE_CHECKING:
    from storeserver import StoreServer

ROUTERS = 3
UPSTREAMS = 4
CALLERS = 4  # of each router
FRONT_PORT, READY_PORT, PEER_PORT, STORE_PORT, UPSTREAM_PORT = (
    8001,
    8002,
    7341,
    8223,
    80,
)
GRACE_S = 6.0
RESTART_S = 0.3
SUPERVISE_S = 0.1
INTERPRETER_S = 0.5  # in which a signal ends a process before its program's first line
REVOKED_SHARE = 0.15  # of requests, whose key may have been taken away
KEYS = tuple(f'key-{number}' for number in range(6))
SERVICES = ('work', 'other')
ROUTE_KINDS = {
    'safe': {'kind': 'safe', 'timeoutMs': 1500, 'maxAttempts': 2},
    'unsafe': {'kind': 'unsafe', 'timeoutMs': 1500, 'maxAttempts': 1},
    'stream': {
        'kind': 'stream',
        'resumable': True,
        'timeoutMs': 4000,
        'maxAttempts': 2,
        'gapAimMs': 500,
    },
    'once': {'kind': 'stream', 'timeoutMs': 4000, 'maxAttempts': 1, 'gapAimMs': 500},
}
BOUNDS = {
    'graceS': GRACE_S,
    'revokeMs': 5000,
    'retryRatio': 0.2,
    'retrySlack': 52,
    'retryWindowS': 10,
}


class RouterProcess:
    """A router and the proxy between it and the store."""

    def __init__(
        self, name: str, ip: str, store: tuple[str, int], folder: pathlib.Path
    ):
        self.name = name
        self.ip = ip
        self.proxy = FaultyProxy((ip, STORE_PORT), store)
        self._settings = folder / f'{name}.json'
        self._log = (folder / f'{name}.log').open('ab')
        self._settings.write_text(json.dumps(self._document()))
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.ends_expected = 0  # faults that end the process and start it again

    def start(self) -> None:
        """Start the process."""
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'rosemaryseam.platform'],
            env={
                **os.environ,
                'ROSEMARYSEAM_CONFIG': str(self._settings),
                'PYTHONFAULTHANDLER': '1',
            },
            stdout=self._log,
            stderr=self._log,
        )

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    def abort(self) -> str:
        """End a process that does not answer; its stacks go to its log.

        :returns: what the system says of the process
        """
        if not self.is_running():
            return f'ended with {self.process.poll()}'
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        self.signal(signal.SIGABRT)
        return next(line for line in status.splitlines() if line.startswith('State'))

    def stop(self) -> None:
        """Kill the process and close what belongs to it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.proxy.stop()
        self._log.close()

    def _document(self) -> dict[str, Any]:
        return {
            'node': self.name,
            'role': 'router',
            'ip': self.ip,
            'zone': 'a',
            'listen': {
                'front': f'{self.ip}:{FRONT_PORT}',
                'readiness': f'{self.ip}:{READY_PORT}',
            },
            'internalPorts': [PEER_PORT, PEER_PORT + 9],
            'limits': {'memoryMb': 150, 'maxFds': 1000},
            'bounds': BOUNDS,
            'platform': {'addr': f'{self.ip}:{STORE_PORT}'},
        }


class SoakEnvironment:
    """Everything of one run.

    :param seed: of all that is random
    :param folder: for settings and logs
    :param store: the stand-in of the platform's store
    :param network: the first two numbers of all addresses
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, store: StoreServer, network: str
    ) -> None:
        self.rng = random.Random(seed)
        self.history = History()
        self.server = store
        self._network = network
        self._version = 0
        self._upstreams_made = 0
        self.keys = set(KEYS)
        self.services = dict.fromkeys(ROUTE_KINDS, SERVICES[0])
        self.routers = [
            RouterProcess(f'r{n}', f'{network}.{n + 1}', tuple(store.address), folder)
            for n in range(ROUTERS)
        ]
        self.upstreams: dict[str, tuple[SoakUpstream, FaultyProxy]] = {}
        self._supervisor: gevent.Greenlet | None = None
        self._callers: list[tuple[Caller, gevent.Greenlet]] = []
        self.configure()
        for number in range(UPSTREAMS):
            self.add_upstream(SERVICES[number // 3])

    def start(self) -> None:
        """Start the routers, wait until they are ready, and start the callers."""
        for router in self.routers:
            router.start()
        self._supervisor = gevent.spawn(self.supervise)
        gevent.sleep(3.0)
        for router in self.routers:
            for number in range(CALLERS):
                caller = Caller(
                    f'{router.name}c{number}',
                    router.name,
                    (router.ip, FRONT_PORT),
                    self._pick_key,
                    self.history,
                    random.Random(self.rng.random()),
                )
                self._callers.append((caller, gevent.spawn(caller.run)))

    def supervise(self) -> None:
        """Start routers again that ended by themselves, as the platform does."""
        while True:
            gevent.sleep(SUPERVISE_S)
            for router in self.routers:
                if router.is_running() or router.ends_expected:
                    continue
                lived_s = time.monotonic() - router.started_at
                end = f'{router.name} ended with {router.process.poll()}'
                if lived_s > INTERPRETER_S:
                    self.history.own_ends.append(f'{end} after {lived_s:.1f} s')
                router.start()

    def finish(self) -> None:
        """Let the callers end their requests, and stop everything."""
        for caller, _ in self._callers:
            caller.stopping = True
        gevent.joinall([greenlet for _, greenlet in self._callers], timeout=8.0)

    def stop(self) -> None:
        """End all that this run started."""
        gevent.killall([greenlet for _, greenlet in self._callers])
        if self._supervisor is not None:
            self._supervisor.kill()
        for router in self.routers:
            router.stop()
        for upstream, proxy in self.upstreams.values():
            upstream.stop()
            proxy.stop()

    def _pick_key(self) -> str:
        """Return a key, now and then one that was taken away."""
        if self.rng.random() < REVOKED_SHARE:
            return self.rng.choice(KEYS)
        return self.rng.choice(sorted(self.keys))

    def note(self, target: str, kind: str, for_s: float) -> None:
        """Record that something is disturbed from now on for a time."""
        now = time.monotonic()
        self.history.spans.append(Span(target, kind, now, now + for_s))

    # What operators do.

    def configure(self) -> None:
        """Write the configuration as it should be now."""
        self._version += self.rng.randint(1, 3)
        routes = [
            {
                'name': kind,
                'host': HOST,
                'pathPrefix': f'/{kind}/',
                'service': self.services[kind],
                'targetLatencyMs': 500,
                'priority': 0,
                **fields,
            }
            for kind, fields in ROUTE_KINDS.items()
        ]
        document = {
            'version': self._version,
            'routes': routes,
            'services': [{'name': name, 'healthPath': '/health'} for name in SERVICES],
            'tenants': [{'name': 'north', 'apiKeys': sorted(self.keys)}],
            'limits': {},
        }
        self.server.store.put(CONFIGURATION_KEY, json.dumps(document).encode())

    def revoke(self) -> None:
        """Take a key away, and give the one that was taken first back."""
        if len(self.keys) < 3:
            return
        key = self.rng.choice(sorted(self.keys))
        self.keys.discard(key)
        self.history.revoked[key] = time.monotonic()
        self.configure()

    def move_route(self) -> None:
        """Move a route to the other service."""
        kind = self.rng.choice(sorted(self.services))
        old = self.services[kind]
        self.services[kind] = SERVICES[1 - SERVICES.index(old)]
        self.configure()
        self.history.moved.append((time.monotonic(), kind, self.services[kind]))

    # What upstreams do.

    def add_upstream(self, service: str, address: tuple[str, int] | None = None) -> str:
        """Start an upstream and register it."""
        self._upstreams_made += 1
        number = self._upstreams_made
        name = f'u{number}'
        backend = SoakUpstream(
            name,
            service,
            (f'{self._network}.{100 + number % 100}', 0),
            self.history,
            random.Random(self.rng.random()),
        )
        listen = address or (f'{self._network}.{100 + number % 100}', UPSTREAM_PORT)
        proxy = FaultyProxy(listen, backend._server.address)
        self.upstreams[name] = (backend, proxy)
        self.register(name)
        return name

    def register(self, name: str, state: str = 'ready') -> None:
        """Write an upstream's entry."""
        upstream, proxy = self.upstreams[name]
        ip, port = proxy.address
        entry = {
            'service': upstream.service,
            'addr': f'{ip}:{port}',
            'zone': 'a',
            'version': '1',
            'slots': 16,
            'state': state,
            'coldLeftMs': 0,
            'seq': 1,
            'born': upstream.born,
        }
        self.server.store.put(REGISTRY_PREFIX + name, json.dumps(entry).encode())

    def remove_upstream(self, name: str) -> tuple[str, int]:
        """End an upstream and return the address that it had."""
        upstream, proxy = self.upstreams.pop(name)
        upstream.stop()
        proxy.stop()
        return proxy.address

    def unregister(self, name: str) -> None:
        """Remove an upstream's entry."""
        self.server.store.delete(REGISTRY_PREFIX + name)

    def pick_upstream(self) -> str:
        """Return one of the upstreams that run."""
        return self.rng.choice(sorted(self.upstreams))
