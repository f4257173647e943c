"""What all cases set up: a store, runners and three hosts."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, Any

from .fleet import Host, Record, free_network
from .httpio import Answer, send_request
from .server import Arrival, Runner
from .store import Store

if TYPE_CHECKING:
    import pathlib

HOSTS = 3
HOST_NAME = 'desk.example'
KEY = 'key-north'
RESTART_S = 0.3  # from the end of a process to its start

MODELS = {
    'name': 'models',
    'healthPath': '/health',
    'maxConns': 370,
    'engine': {
        'slots': 64,
        'kvCapacity': 503657,
        'stride': 4,
        'linkMbps': 180000.0,
    },
}
DESK = {'name': 'case-desk', 'healthPath': '/health'}
COACH = {
    'name': 'coach',
    'host': HOST_NAME,
    'pathPrefix': '/coach/',
    'service': 'models',
    'kind': 'stream',
    'resumable': True,
    'sticky': True,
    'maxAttempts': 2,
    'timeoutMs': 15000,
    'targetLatencyMs': 1000,
    'gapAimMs': 300,
    'priority': 0,
}
LOOKUP = {
    'name': 'lookup',
    'host': HOST_NAME,
    'pathPrefix': '/lookup/',
    'service': 'case-desk',
    'kind': 'safe',
    'maxAttempts': 2,
    'timeoutMs': 800,
    'targetLatencyMs': 300,
    'priority': 2,
}
BOOKING = {**LOOKUP, 'name': 'booking', 'pathPrefix': '/booking/', 'kind': 'unsafe'}
BOOKING['maxAttempts'] = 1


def configuration(version: int, keys: dict[str, str]) -> bytes:
    """Return a configuration with the tenants of some keys."""
    return json.dumps(
        {
            'version': version,
            'routes': [COACH, LOOKUP, BOOKING],
            'services': [MODELS, DESK],
            'tenants': [
                {'name': tenant, 'apiKeys': [key]} for key, tenant in keys.items()
            ],
            'limits': {},
        }
    ).encode()


class Scene:
    """The store, the runners and the hosts of a case.

    :param record: record of the case
    :param folder: folder for settings and logs
    :param hosts: list of the hosts, which are ended with the case
    """

    def __init__(self, record: Record, folder: pathlib.Path, hosts: list[Host]) -> None:
        self.record = record
        self.hosts = hosts
        self.store = Store()
        self.arrivals: list[Arrival] = []
        self.runners: list[Runner] = []
        self._folder = folder
        self._network = free_network()
        self._tasks: set[asyncio.Task[Any]] = set()

    async def open(self, document: bytes) -> None:
        """Start the store with a configuration."""
        self.store.put('op/config', document)

    async def add_runner(self, service: str, **options: Any) -> Runner:
        """Start a runner at the next address, unless the options name one."""
        options.setdefault('ip', f'{self._network}.{101 + len(self.runners)}')
        runner = Runner(
            service,
            store=self.store,
            record=self.record,
            arrivals=self.arrivals,
            **options,
        )
        self.runners.append(runner)
        await runner.start()
        return runner

    async def start_hosts(self) -> None:
        """Start all hosts and wait until they are ready."""
        for number in range(HOSTS):
            ip = f'{self._network}.{number + 1}'
            name = f'host-{number}'
            store = await self.store.listen(f'{self._network}.{200 + number}')
            host = Host(name, ip, store, self._folder, self.record)
            self.hosts.append(host)
        for host in self.hosts:
            host.start()
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until all hosts are ready."""
        for host in self.hosts:
            await host.wait_ready()

    def kill_all(self) -> None:
        """Kill all hosts."""
        for host in self.hosts:
            host.kill()

    def start_all(self) -> None:
        """Start all hosts again."""
        for host in self.hosts:
            host.start()

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        return task

    async def finish(self) -> None:
        """Wait for all that runs in the background."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def call(
        self,
        host: Host,
        name: str,
        path: str,
        headers: dict[str, str],
        deadline_ms: int,
        body: bytes = b'',
    ) -> Answer | None:
        """Send a request to a host and record the answer."""
        self.record(f'a client sends {name} {path} with {headers} to {host.name}')
        answer = await send_request(
            host.front,
            'POST' if body else 'GET',
            path,
            {
                'Host': HOST_NAME,
                'Rosemaryseam-Attempt-Id': name,
                'Rosemaryseam-Deadline-Ms': str(deadline_ms),
                'X-Api-Key': KEY,
                **headers,
            },
            body,
            timeout_s=deadline_ms / 1000 + 1.0,
        )
        status = 'not at all' if answer is None else answer.status
        end = '' if answer is None or answer.complete else ', broken off'
        self.record(f'{name} is answered {status}{end}')
        return answer


def prompt_headers(parts: list[str]) -> dict[str, str]:
    """Return the headers of a request with prompt parts and one of its own."""
    own = f'{random.randrange(16**8):08x}'
    return {
        'Rosemaryseam-Model': 'm',
        'Rosemaryseam-Token-Counts': f'{400 * (len(parts) + 1)},280',
        'Rosemaryseam-Prompt-Prefix': ','.join(f'{part}:400' for part in [*parts, own]),
    }
