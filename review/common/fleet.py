"""Starts the router's processes as the deploy file says, and ends them."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464  # declared in deploy/system.toml
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stableWindowMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'backMs': 250,
    'maxStretchMs': 5000,
    'strictRevoke': True,
    'revokeMs': 5000,
    'retryRatio': 0.2,
    'retryWindowS': 10,
    'retrySlack': 56,
    'recoveryS': 12,
    'passMs': 120,
    'reuseWindowS': 8.7,
}


class CannotRunError(Exception):
    """Raised when a case cannot be run, whatever the reason."""


class Record:
    """Writes what happens to record.txt, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self.began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        """Write a line."""
        print(f'{self.now():8.3f} {text}', file=self._file, flush=True)


def free_network() -> str:
    """Return three numbers of loopback addresses on which nothing listens."""
    for _ in range(100):
        network = f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
        try:
            for number in range(1, 9):
                for port in (METRICS_PORT, 8227, 8220, 7340, 7341):
                    with socket.socket() as sock:
                        sock.bind((f'{network}.{number}', port))
            return network
        except OSError:
            continue
    raise CannotRunError('no free addresses')


class Host:
    """One router process with the settings of a small deployment."""

    def __init__(
        self,
        name: str,
        ip: str,
        store: tuple[str, int],
        folder: pathlib.Path,
        record: Record,
    ) -> None:
        self.name = name
        self.ip = ip
        self.front = (ip, 8227)
        self.ready = (ip, 8220)
        self.store = store
        self._record = record
        self._settings = folder / f'{name}.json'
        self.log_path = folder / f'{name}.log'
        self._log = self.log_path.open('ab')
        self.process: subprocess.Popen[bytes] | None = None
        self._settings.write_text(
            json.dumps(
                {
                    'node': name,
                    'role': 'router',
                    'machineClass': 'front',
                    'serves': ['front'],
                    'ip': ip,
                    'zone': 'a',
                    'region': 'r',
                    'zones': {'a': 'r'},
                    'listen': {'front': f'{ip}:8227', 'readiness': f'{ip}:8220'},
                    'internalPorts': [7340, 7355],
                    'seeds': [],
                    'bootstrap': True,
                    'limits': {
                        'cpuShare': 0.537,
                        'cores': 2,
                        'memoryMb': 300,
                        'maxFds': 4100,
                        'linkMbps': 1000.0,
                        'diskMb': 0,
                    },
                    'dataDir': None,
                    'discovery': 'platform',
                    'entry': 'virtual_ip',
                    'heartbeatMs': 1200,
                    'bounds': BOUNDS,
                    'platform': {
                        'addr': f'{store[0]}:{store[1]}',
                        'form': 'kv',
                        'writesPerS': 400,
                        'readsPerS': 2000,
                        'historyS': 20,
                        'valueBytes': 1048576,
                        'ttlMinMs': 1000,
                    },
                }
            )
        )

    def start(self) -> None:
        """Start the process."""
        self._record(f'{self.name} is started')
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'rosemaryseam.platform'],
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', '/'),
                'LANG': os.environ.get('LANG', 'C.UTF-8'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'ROSEMARYSEAM_CONFIG': str(self._settings),
            },
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._record(f'{self.name} gets {signal.Signals(number).name}')
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask the readiness address once, as the platform does."""
        from .httpio import send_request

        answer = await send_request(
            self.ready, 'GET', '/-/ready', {'Host': 'ready'}, timeout_s=1.0
        )
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until the process is ready; the case can't run if it isn't."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.is_ready():
                self._record(f'{self.name} is ready')
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} did not become ready')


def run_case(folder: pathlib.Path, case) -> None:
    """Run a case and exit with its result; all processes are ended before.

    :param folder: folder of the case, in which record.txt is written
    :param case: coroutine function of a record, a folder for temporary files and
        whether the disruption is played; returns whether the rule was broken
    """
    record = Record(folder)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record(f'case {folder.name}, disruption {"played" if trouble else "left out"}')
    if not (ROOT / 'target' / 'deps' / 'rosemaryseam').is_dir():
        record('the build of the deploy file is missing')
        sys.exit(2)
    hosts: list[Host] = []
    code = 2
    # Leaves by an exception, so that the hosts are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                broken = asyncio.run(
                    asyncio.wait_for(
                        case(record, pathlib.Path(temporary), trouble, hosts), 110
                    )
                )
                code = 1 if broken else 0
            finally:
                for host in hosts:
                    host.kill()
                if os.environ.get('KEEP_LOGS'):
                    shutil.copytree(temporary, os.environ['KEEP_LOGS'])
    except TimeoutError:
        record('the case took too long')
    except Exception as exc:  # an error of the case is no broken rule
        record(f'the case could not run: {exc!r}')
    record(f'exit code {code}')
    sys.exit(code)
