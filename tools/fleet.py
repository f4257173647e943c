"""Runs nodes and stand-ins as plain processes on loopback, for demo and tests."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from typing import TYPE_CHECKING, Any, NamedTuple

import yaml

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

ADMIN_TOKEN = 'admin-token-of-tests'
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 30.0
PEER_NETWORK = '127.0.1'
ZONES = ('zone-a', 'zone-b', 'zone-c')


class StartedProcess(NamedTuple):
    """A running process and the address on which it listens."""

    name: str
    process: subprocess.Popen[bytes]
    address: str


FIRST_PORT, LAST_PORT = 10_000, 32_000
_FIRST_TRIED_PORT = random.randint(FIRST_PORT, LAST_PORT)
_PORTS = itertools.cycle(
    [*range(_FIRST_TRIED_PORT, LAST_PORT), *range(FIRST_PORT, _FIRST_TRIED_PORT)]
)


def free_ports(count: int) -> list[int]:
    """Return ports that are free now on all addresses, others on each call.

    The ports are below the system's ephemeral range, so that no outgoing connection
    takes one before it is bound.

    :param count: number of ports
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(('0.0.0.0', port))
            ports.append(port)
    return ports


def call(
    address: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Any:
    """Call an HTTP endpoint on loopback and return its JSON.

    :param address: IP address and port
    :param path: path and query
    :param body: JSON body of a POST, ``None`` for a GET
    :param headers: further headers of the request
    :param timeout_s: timeout of the socket in seconds
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f'http://{address}{path}',
        data,
        {'Content-Type': 'application/json', **(headers or {})},
    )
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        return json.load(response)


def wait_until(condition: Callable[[], Any], description: str, timeout_s: float) -> Any:
    """Return the first true result of a condition.

    :param condition: polled function, whose ``OSError`` counts as false
    :param description: text of the ``TimeoutError``
    :param timeout_s: time in seconds after which ``TimeoutError`` is raised
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            result = condition()
        except OSError:
            result = None
        if result:
            return result
        time.sleep(0.02)
    raise TimeoutError(description)


class Fleet:
    """Manages the processes of one demo or test.

    :param folder: folder for settings and logs
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes: dict[str, StartedProcess] = {}
        self.nodes: dict[str, dict[str, Any]] = {}
        self.key_value = ''
        self.host_list = ''

    def start_platform(self) -> None:
        """Start the stand-ins of the key-value service and the host list."""
        self.key_value = self.start_standin('keyvalue', 'keyvalue')
        self.host_list = self.start_standin('hostlist', 'hostlist')

    def start_standin(self, name: str, module: str, *flags: str) -> str:
        """Start a stand-in and return its address.

        :param name: name of the process
        :param module: module of the stand-ins' package
        :param flags: command-line flags of the module
        """
        address = f'127.0.0.1:{free_ports(1)[0]}'
        command = [
            sys.executable,
            '-m',
            f'rosemaryseam.standins.{module}',
            f'--listen={address}',
            *flags,
        ]
        self._spawn(name, command, address)
        wait_until(lambda: call(address, '/control') is not None, name, START_TIMEOUT_S)
        return address

    def configure_nodes(
        self, count: int, *, relayed: bool = False, **overrides: Any
    ) -> None:
        """Choose ports and write the settings of nodes.

        :param count: number of nodes
        :param relayed: whether a relay stands in front of each node's peer port
        :param overrides: settings that replace the defaults on every node
        """
        ports = free_ports(3 * count)
        peers = [f'{PEER_NETWORK}.{index + 1}' for index in range(count)]
        listens = [f'{ip}:{ports[3 * n + 1]}' for n, ip in enumerate(peers)]
        seeds = listens
        if relayed:
            seeds = [
                self.start_relay(f'relay-{n + 1}', listen)
                for n, listen in enumerate(listens)
            ]
        for index in range(count):
            listen, _, admin = ports[3 * index : 3 * index + 3]
            settings = {
                'host': f'host-{index + 1}',
                'zone': ZONES[index % len(ZONES)],
                'listen': f'127.0.0.1:{listen}',
                'peer_listen': listens[index],
                'peer_advertise': seeds[index],
                'admin_listen': f'127.0.0.1:{admin}',
                'admin_token': ADMIN_TOKEN,
                'key_value': self.key_value,
                'host_list': self.host_list,
                'seeds': seeds,
                **overrides,
            }
            self.nodes[settings['host']] = settings
            path = self.folder / f'{settings["host"]}.yaml'
            path.write_text(yaml.safe_dump(settings))
        self._write_operator_settings()

    def start_node(self, host: str) -> None:
        """Start a configured node and wait until its admin port answers.

        :param host: name of the node's host
        """
        settings = self.nodes[host]
        command = [
            sys.executable,
            '-m',
            'rosemaryseam.node',
            f'--settings={self.folder / host}.yaml',
        ]
        self._spawn(host, command, settings['listen'])
        admin = settings['admin_listen']
        wait_until(lambda: call(admin, '/healthz'), host, START_TIMEOUT_S)

    def start_nodes(self) -> None:
        """Start all configured nodes."""
        for host in self.nodes:
            self.start_node(host)

    def wait_ready(self, *hosts: str) -> None:
        """Wait until nodes are ready.

        :param hosts: names of the hosts; all when none is given
        """
        for host in hosts or self.nodes:
            admin = self.nodes[host]['admin_listen']
            wait_until(
                lambda at=admin: call(at, '/readyz')['ready'], host, START_TIMEOUT_S
            )

    def wait_serving(self, *hosts: str) -> None:
        """Wait until every partition of the catalogue has a serving dispatcher.

        :param hosts: names of the running hosts; all when none is given
        """
        wait_until(
            lambda: self._is_serving(hosts), 'partitions serving', START_TIMEOUT_S
        )

    def dump(self, host: str) -> dict[str, Any]:
        """Return the whole state of a node."""
        headers = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
        return call(self.nodes[host]['admin_listen'], '/dump', headers=headers)

    def apply_catalogue(self, catalogue: dict[str, Any]) -> None:
        """Apply a catalogue with the operators' command.

        :param catalogue: catalogue document
        """
        path = self.folder / 'catalogue.yaml'
        path.write_text(yaml.safe_dump(catalogue, sort_keys=False))
        self.operator('catalogue', 'apply', str(path), check=True)

    def operator(
        self, *arguments: str, check: bool = False
    ) -> subprocess.CompletedProcess[str]:
        """Run the operators' command.

        :param arguments: arguments of the command line
        :param check: whether to raise when the command fails
        """
        command = [
            sys.executable,
            '-m',
            'rosemaryseam.operator',
            f'--settings={self.folder / "operator.yaml"}',
            *arguments,
        ]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if check and done.returncode:
            raise RuntimeError(f'{arguments}: {done.stderr or done.stdout}')
        return done

    def cut(self, one: str, other: str) -> None:
        """Drop all bytes between two relayed nodes in both directions.

        :param one: name of a host
        :param other: name of another host
        """
        for target, source in ((one, other), (other, one)):
            ip = self.nodes[source]['peer_listen'].split(':')[0]
            relay = target.replace('host', 'relay')
            self.control(relay, {'cut_sources': [ip]})

    def isolate(self, host: str) -> None:
        """Drop all bytes between a relayed node and all others in both directions.

        :param host: name of the node's host
        """
        ip = self.nodes[host]['peer_listen'].split(':')[0]
        for other in self.nodes:
            relay = other.replace('host', 'relay')
            self.control(relay, {'cut_sources': ['*' if other == host else ip]})

    def heal(self) -> None:
        """End all network partitions between relayed nodes."""
        for host in self.nodes:
            self.control(host.replace('host', 'relay'), {'cut_sources': []})

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        process = self.processes.pop(name).process
        process.kill()
        process.wait()

    def terminate(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        process = self.processes.pop(name).process
        process.terminate()
        return process.wait(timeout_s)

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        os.kill(self.processes[name].process.pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        os.kill(self.processes[name].process.pid, signal.SIGCONT)

    def stop(self) -> None:
        """Kill all processes."""
        for started in self.processes.values():
            started.process.kill()
        for started in self.processes.values():
            started.process.wait()
        self.processes.clear()

    def start_load(self, scenario: dict[str, Any], *, show: bool = False) -> None:
        """Start the load tool.

        :param scenario: scenario of the load
        :param show: whether to print the progress
        """
        path = self.folder / 'scenario.yaml'
        path.write_text(yaml.safe_dump(scenario))
        command = [
            sys.executable,
            '-m',
            'rosemaryseam.standins.load',
            f'--scenario={path}',
            f'--report={self.folder / "load.json"}',
        ]
        if show:
            process = subprocess.Popen(command)
            self.processes['load'] = StartedProcess('load', process, '')
        else:
            self._spawn('load', command, '')

    def finish_load(self, timeout_s: float) -> dict[str, Any]:
        """Wait for the load tool and return its report.

        :param timeout_s: maximum wait in seconds
        """
        code = self.processes.pop('load').process.wait(timeout_s)
        if code:
            raise RuntimeError(f'the load tool ended with {code}')
        return json.loads((self.folder / 'load.json').read_text())

    def start_relay(self, name: str, target: str, ip: str = '127.0.0.1') -> str:
        """Start a relay to an address and return the address of the relay.

        :param name: name of the process
        :param target: address that the relay forwards to
        :param ip: IP address of the relay
        """
        control, relay = free_ports(2)
        command = [
            sys.executable,
            '-m',
            'rosemaryseam.standins.relay',
            f'--listen=127.0.0.1:{control}',
            f'--relay={ip}:{relay}',
            f'--target={target}',
        ]
        self._spawn(name, command, f'127.0.0.1:{control}')
        address = self.processes[name].address
        wait_until(lambda: call(address, '/control') is not None, name, START_TIMEOUT_S)
        return f'{ip}:{relay}'

    def control(self, name: str, change: Any = None) -> Any:
        """Inject faults into a stand-in, or read its counters.

        :param name: name of the process
        :param change: faults to set; ``None`` only reads
        """
        return call(self.processes[name].address, '/control', change)

    def _is_serving(self, hosts: tuple[str, ...]) -> bool:
        phases: dict[str, str] = {}
        assigned: set[str] = set()
        for host in hosts or self.nodes:
            dump = self.dump(host)
            assigned |= set(dump['grants']['assigned'])
            for name, partition in dump['dispatcher'].items():
                phases[name] = partition['phase']
        serving = {name for name, phase in phases.items() if phase == 'serving'}
        return bool(assigned) and serving == assigned

    def _write_operator_settings(self) -> None:
        settings = {
            'key_value': self.key_value,
            'admin_token': ADMIN_TOKEN,
            'hosts': {host: cfg['admin_listen'] for host, cfg in self.nodes.items()},
        }
        (self.folder / 'operator.yaml').write_text(yaml.safe_dump(settings))

    def _spawn(self, name: str, command: list[str], address: str) -> None:
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            process = subprocess.Popen(command, stdout=log, stderr=log)
        self.processes[name] = StartedProcess(name, process, address)
