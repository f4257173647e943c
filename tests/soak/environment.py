"""The environment of a soak run: real routers and everything that they talk to."""

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
from records import Disturbance, History
from upstream import SoakUpstream

from rosemaryseam.platform.state import CONFIGURATION_KEY, REGISTRY_PREFIX

if TYPE_CHECKING:
    from storeserver import StoreServer

ROUTERS = 3
UPSTREAMS = 4
CALLERS = 4  # per router
FRONT_PORT, READY_PORT, PEER_PORT, STORE_PORT, UPSTREAM_PORT = (
    8001,
    8002,
    7341,
    8223,
    80,
)
GRACE_S = 6.0
RESTART_S = 0.3
SUPERVISION_INTERVAL_S = 0.1
INTERPRETER_START_S = 0.5  # until the program's first line any signal ends a process
ANY_KEY_SHARE = 0.15  # share of requests that may use a revoked key
KEYS = tuple(f'key-{number}' for number in range(6))
SERVICES = ('work', 'other')
VERSIONS = ('1', '2')  # of upstreams' software
ROUTE_KINDS = {
    'safe': {'kind': 'safe', 'timeoutMs': 4000, 'maxAttempts': 2},
    'unsafe': {'kind': 'unsafe', 'timeoutMs': 4000, 'maxAttempts': 1},
    'stream': {
        'kind': 'stream',
        'resumable': True,
        'timeoutMs': 4000,
        'maxAttempts': 2,
        'gapAimMs': 500,
    },
    'once': {'kind': 'stream', 'timeoutMs': 4000, 'maxAttempts': 1, 'gapAimMs': 500},
}
ENGINE = {'slots': 16, 'kvCapacity': 100_000, 'stride': 1}
BOUNDS = {
    'graceS': GRACE_S,
    'revokeMs': 5000,
    'retryRatio': 0.2,
    'retrySlack': 52,
    'retryWindowS': 10,
}


class RouterProcess:
    """A router process and the proxy between it and the store.

    :param name: name of the host
    :param ip: IP address of the host
    :param store: IP address and port of the store
    :param folder: folder for settings and logs
    :param limits: limits of the host that differ from the defaults
    """

    def __init__(
        self,
        name: str,
        ip: str,
        store: tuple[str, int],
        folder: pathlib.Path,
        **limits: int,
    ):
        self.name = name
        self.ip = ip
        self._limits = {'memoryMb': 150, 'maxFds': 1000, **limits}
        self.memory_mb = self._limits['memoryMb']
        self.proxy = FaultyProxy((ip, STORE_PORT), store)
        self._settings = folder / f'{name}.json'
        self._log = (folder / f'{name}.log').open('ab')
        self._settings.write_text(json.dumps(self._settings_document()))
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0
        self.expected_exits = 0  # active faults that end and restart the process

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
        """Abort a process that does not answer and dump its stacks to its log.

        :returns: the state of the process as the operating system reports it
        """
        if not self.is_running():
            return f'ended with {self.process.poll()}'
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        self.signal(signal.SIGABRT)
        return next(line for line in status.splitlines() if line.startswith('State'))

    def stop(self) -> None:
        """Kill the process and close its proxy and its log."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.proxy.stop()
        self._log.close()

    def _settings_document(self) -> dict[str, Any]:
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
            'limits': self._limits,
            'bounds': BOUNDS,
            'platform': {'addr': f'{self.ip}:{STORE_PORT}'},
        }


class SoakEnvironment:
    """Routers, upstreams, callers and the store of one run.

    :param seed: seed of all random choices
    :param folder: folder for settings and logs
    :param store: fake of the platform's store
    :param network: first three numbers of all IP addresses
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, store: StoreServer, network: str
    ) -> None:
        self.rng = random.Random(seed)
        self.history = History()
        self.store_server = store
        self._network = network
        self._version = 0
        self._upstream_count = 0
        self.keys = set(KEYS)
        self.route_services = dict.fromkeys(ROUTE_KINDS, SERVICES[0])
        self.routers = [
            RouterProcess(f'r{n}', f'{network}.{n + 1}', tuple(store.address), folder)
            for n in range(ROUTERS)
        ]
        self.upstreams: dict[str, tuple[SoakUpstream, FaultyProxy]] = {}
        self._states: dict[str, str] = {}  # of the registered upstreams
        self._supervisor: gevent.Greenlet | None = None
        self._callers: list[tuple[Caller, gevent.Greenlet]] = []
        self.write_configuration()
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
                    {one.name: (one.ip, FRONT_PORT) for one in self.routers},
                    self._pick_key,
                    self.history,
                    random.Random(self.rng.random()),
                )
                self._callers.append((caller, gevent.spawn(caller.run)))

    def supervise(self) -> None:
        """Restart routers that ended without a fault, as the platform does."""
        while True:
            gevent.sleep(SUPERVISION_INTERVAL_S)
            for router in self.routers:
                if router.is_running() or router.expected_exits:
                    continue
                lived_s = time.monotonic() - router.started_at
                end = f'{router.name} ended with {router.process.poll()}'
                if lived_s > INTERPRETER_START_S:
                    self.history.unexpected_exits.append(f'{end} after {lived_s:.1f} s')
                router.start()

    def finish(self) -> None:
        """Stop the callers and wait until their requests have ended."""
        for caller, _ in self._callers:
            caller.stopping = True
        gevent.joinall([greenlet for _, greenlet in self._callers], timeout=8.0)

    def stop(self) -> None:
        """Stop all callers, routers and upstreams of this run."""
        gevent.killall([greenlet for _, greenlet in self._callers])
        if self._supervisor is not None:
            self._supervisor.kill()
        for router in self.routers:
            router.stop()
        for upstream, proxy in self.upstreams.values():
            upstream.stop()
            proxy.stop()

    def _pick_key(self) -> str:
        """Return an API key, sometimes a revoked one."""
        if self.rng.random() < ANY_KEY_SHARE:
            return self.rng.choice(KEYS)
        return self.rng.choice(sorted(self.keys))

    def record_disturbance(self, target: str, kind: str, for_s: float) -> None:
        """Record a disturbance of a target that starts now and lasts for a period."""
        now = time.monotonic()
        self.history.disturbances.append(Disturbance(target, kind, now, now + for_s))

    # Actions of operators.

    def write_configuration(self) -> None:
        """Write the current configuration to the store under a new version."""
        self._version += self.rng.randint(1, 3)
        routes = [
            {
                'name': kind,
                'host': HOST,
                'pathPrefix': f'/{kind}/',
                'service': self.route_services[kind],
                'targetLatencyMs': 500,
                'priority': 0,
                **fields,
            }
            for kind, fields in ROUTE_KINDS.items()
        ]
        document = {
            'version': self._version,
            'routes': routes,
            'services': [
                {'name': name, 'healthPath': '/health', 'engine': ENGINE}
                for name in SERVICES
            ],
            'tenants': [{'name': 'north', 'apiKeys': sorted(self.keys)}],
            'limits': {},
        }
        self._configuration = json.dumps(document).encode()
        self.store_server.store.put(CONFIGURATION_KEY, self._configuration)

    def write_again(self) -> None:
        """Write what operators and upstreams wrote last, after a restore."""
        store = self.store_server.store
        store.put(CONFIGURATION_KEY, self._configuration)
        for item in store.read_range(REGISTRY_PREFIX).items:
            name = item.key.removeprefix(REGISTRY_PREFIX)
            if name not in self._states:
                store.delete(item.key)
        for name, state in list(self._states.items()):
            self.register(name, state)

    def revoke_key(self) -> None:
        """Revoke an API key, unless fewer than three are left."""
        if len(self.keys) < 3:
            return
        key = self.rng.choice(sorted(self.keys))
        self.keys.discard(key)
        self.history.revoked_at[key] = time.monotonic()
        self.write_configuration()

    def move_route(self) -> None:
        """Move a route to the other service."""
        kind = self.rng.choice(sorted(self.route_services))
        old = self.route_services[kind]
        self.route_services[kind] = SERVICES[1 - SERVICES.index(old)]
        self.write_configuration()
        self.history.route_moves.append(
            (time.monotonic(), kind, self.route_services[kind])
        )

    # Actions of upstreams.

    def add_upstream(self, service: str, address: tuple[str, int] | None = None) -> str:
        """Start an upstream and register it."""
        self._upstream_count += 1
        number = self._upstream_count
        name = f'u{number}'
        upstream = SoakUpstream(
            name,
            service,
            (f'{self._network}.{100 + number % 100}', 0),
            self.history,
            random.Random(self.rng.random()),
            VERSIONS[number % len(VERSIONS)],
        )
        listen = address or (f'{self._network}.{100 + number % 100}', UPSTREAM_PORT)
        proxy = FaultyProxy(listen, upstream._server.address)
        self.upstreams[name] = (upstream, proxy)
        self.register(name)
        return name

    def register(self, name: str, state: str = 'ready') -> None:
        """Write the registry entry of an upstream, unless it has crashed."""
        if name not in self.upstreams:
            return
        self._states[name] = state
        upstream, proxy = self.upstreams[name]
        ip, port = proxy.address
        entry = {
            'service': upstream.service,
            'addr': f'{ip}:{port}',
            'zone': 'a',
            'version': upstream.version,
            'slots': 16,
            'state': state,
            'coldLeftMs': 0,
            'seq': 1,
            'born': upstream.born,
        }
        self.store_server.store.put(REGISTRY_PREFIX + name, json.dumps(entry).encode())

    def remove_upstream(self, name: str, *, in_order: bool = False) -> tuple[str, int]:
        """Stop an upstream and return its address."""
        upstream, proxy = self.upstreams.pop(name)
        upstream.stop()
        proxy.stop(in_order=in_order)
        return proxy.address

    def unregister(self, name: str) -> None:
        """Remove the registry entry of an upstream."""
        self._states.pop(name, None)
        self.store_server.store.delete(REGISTRY_PREFIX + name)

    def pick_upstream(self) -> str:
        """Return the name of a random running upstream."""
        return self.rng.choice(sorted(self.upstreams))
