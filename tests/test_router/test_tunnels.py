"""Tests the byte streams that a host relays to an upstream."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.clock import ManualClock, SystemClock
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.router import tunnelwire
from rosemaryseam.router.tunnelclient import TunnelClient, TunnelError
from rosemaryseam.router.tunnels import Tunnel, tunnel_limit
from rosemaryseam.router.tunnelwire import TunnelReply
from rosemaryseam.router.upstreams import Upstream

if TYPE_CHECKING:
    from collections.abc import Iterator

UPSTREAM = Upstream('one', 1, 'work', Address('127.0.0.1', 9), 'a', 8)
MAX_HELD_BYTES = 1_500_000  # by the kernel for four sockets, and by the tunnel


class Ends:
    """Both ends of a running tunnel."""

    def __init__(self) -> None:
        self.host, host_sock = connected_pair()
        upstream_sock, self.upstream = connected_pair()
        self.tunnel = Tunnel(host_sock, upstream_sock, SystemClock())
        self.running = gevent.spawn(self.tunnel.run)


def connected_pair() -> tuple[Any, Any]:
    """Return two ends of a TCP connection."""
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(1)
    near = socket.create_connection(listener.getsockname())
    far, _ = listener.accept()
    listener.close()
    return near, far


@pytest.fixture
def ends() -> Iterator[Ends]:
    """Yield a tunnel between two sockets of the test."""
    made = Ends()
    with gevent.Timeout(8.0):
        yield made
    made.running.kill()


def reset(sock: Any) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\x01\0\0\0\0\0\0\0')
    sock.close()


# Guards against a truncated answer that looks complete: only an end of the upstream's
# answer may look like one.
@pytest.mark.parametrize(
    ('end', 'complete'),
    [
        (lambda ends: ends.upstream.close(), True),
        (lambda ends: reset(ends.upstream), False),
        (lambda ends: ends.tunnel.reset(), False),
    ],
    ids=['upstream-ends', 'upstream-resets', 'relay-dies'],
)
def test_only_an_end_of_the_answer_ends_it(
    ends: Ends, end: Any, complete: bool
) -> None:
    ends.host.sendall(b'request')
    assert ends.upstream.recv(100) == b'request'
    ends.upstream.sendall(b'answer')
    assert ends.host.recv(100) == b'answer'
    end(ends)
    if complete:
        assert ends.host.recv(100) == b''
    else:
        with pytest.raises(ConnectionResetError):
            ends.host.recv(100)


def test_answer_that_follows_the_end_of_a_request_arrives(ends: Ends) -> None:
    """Guards against answers that are lost when the request ends its direction."""
    ends.host.sendall(b'request')
    ends.host.shutdown(socket.SHUT_WR)
    assert ends.upstream.recv(100) == b'request'
    assert ends.upstream.recv(100) == b''
    ends.upstream.sendall(b'answer')
    ends.upstream.close()
    assert ends.host.recv(100) == b'answer'
    assert ends.host.recv(100) == b''
    ends.host.close()
    ends.running.get(timeout=1.0)


def test_upstream_sees_that_the_host_is_gone(ends: Ends) -> None:
    """Guards against upstreams that work for a host that has crashed."""
    reset(ends.host)
    with pytest.raises(ConnectionResetError):
        ends.upstream.recv(100)


def test_slow_reader_holds_the_upstream_back(ends: Ends) -> None:
    """Guards against memory that grows with the answers of slow callers."""
    ends.upstream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
    ends.host.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    sent = 0

    def send() -> None:
        nonlocal sent
        while True:
            ends.upstream.sendall(b'x' * 65_536)
            sent += 65_536

    sender = gevent.spawn(send)
    gevent.sleep(0.5)
    held = sent
    assert held < MAX_HELD_BYTES
    gevent.sleep(0.3)
    assert sent == held
    assert ends.host.recv(65_536)
    sender.kill()


class ReadySocket:
    """A socket that always has bytes to read and room to write."""

    def __init__(self, reads: int) -> None:
        self._reads = reads

    def recv(self, size: int, _flags: int = 0) -> bytes:
        self._reads -= 1
        return b'x' * size if self._reads >= 0 else b''

    def setsockopt(self, *_: Any) -> None: ...
    def sendall(self, _: bytes) -> None: ...
    def shutdown(self, _: int) -> None: ...
    def close(self) -> None: ...


def test_endless_bytes_leave_turns_to_others() -> None:
    """Guards against a tunnel whose peers keep up and that stops all other work."""
    turns = 0

    def take_turns() -> None:
        nonlocal turns
        while True:
            gevent.sleep(0)
            turns += 1

    other = gevent.spawn(take_turns)
    Tunnel(ReadySocket(0), ReadySocket(1000), SystemClock()).run()
    other.kill()
    assert turns > 100


class Relays:
    """Hosts that answer requests for tunnels, each with one result."""

    def __init__(self, results: dict[str, str], zones: dict[str, str]) -> None:
        self.asked: list[str] = []
        self._results = results
        self._zones = zones
        self.port = 0
        self._servers: list[StreamServer] = []
        for host in results:
            server = StreamServer((host, self.port), self._serve(host))
            server.start()
            self.port = server.server_port
            self._servers.append(server)

    def _serve(self, host: str) -> Any:
        def serve(sock: Any, _: object) -> None:
            self.asked.append(host)
            tunnelwire.read_request(sock)
            if self._results[host] == 'silent':
                gevent.sleep(2.0)
            reply = TunnelReply(self._results[host], self._zones.get(host, 'a'), 5)
            tunnelwire.send_message(sock, reply)

        return serve

    def stop(self) -> None:
        for server in self._servers:
            server.stop(timeout=0)


H1, H2, H3, H4 = (f'127.0.2.{number}' for number in range(1, 5))


# Guards against a host that gives up although another one could relay, that asks
# hosts too small for it, or that believes one host that upstreams are down.
@pytest.mark.parametrize(
    ('results', 'capacities', 'relay', 'confirmed'),
    [
        ({H1: 'open'}, {}, {H1}, None),
        ({H1: 'partitioned', H2: 'busy', H3: 'open'}, {}, {H3}, None),
        ({H1: 'silent', H2: 'open'}, {}, {H2}, None),
        ({H1: 'open', H2: 'open'}, {H2: 0.4}, {H1}, None),
        ({H1: 'partitioned', H2: 'open'}, {H2: 0.4}, None, False),
        ({H1: 'unreachable', H2: 'open'}, {}, {H2}, None),
        ({H1: 'unreachable', H2: 'unreachable', H3: 'unreachable'}, {}, None, True),
        (dict.fromkeys((H1, H2, H3), 'unreachable') | {H4: 'open'}, {}, {H4}, None),
        (dict.fromkeys((H1, H2, H3), 'refused') | {H4: 'open'}, {}, {H4}, None),
        (dict.fromkeys((H1, H2, H3), 'cut-off') | {H4: 'open'}, {}, {H4}, None),
        (dict.fromkeys((H1, H2), 'refused') | {H3: 'cut-off'}, {}, None, True),
        (dict.fromkeys((H1, H2), 'cut-off'), {}, None, False),
        ({H1: 'unreachable'}, {}, None, True),
        ({H1: 'unreachable', H2: 'partitioned'}, {}, None, False),
        ({H1: 'stopping', H2: 'unknown'}, {}, None, False),
    ],
)
def test_a_host_that_can_relay_is_found(
    results: dict[str, str],
    capacities: dict[str, float],
    relay: set[str] | None,
    confirmed: bool | None,
) -> None:
    relays = Relays(results, {})
    hosts = {host: capacities.get(host, 1.0) for host in results}
    client = TunnelClient(
        Address('127.0.0.1', relays.port),
        'a',
        lambda: hosts,
        SystemClock(),
        Metrics(),
        random.Random(3),
    )
    try:
        if relay is None:
            with pytest.raises(TunnelError) as caught:
                client.open(UPSTREAM)
            assert caught.value.confirmed == confirmed
        else:
            assert client.open(UPSTREAM).relay in relay
            asked = len(relays.asked)
            client.open(UPSTREAM)
            # Hosts that refused or failed are not asked again at once.
            without = ('unreachable', 'refused', 'cut-off')  # known by upstream
            failing = {h for h, result in results.items() if result not in without}
            failing |= set(relays.asked[:asked])
            assert set(relays.asked[asked:]) & failing <= relay
    finally:
        relays.stop()


# Guards against a zone whose hosts ask one another while all are cut off.
def test_other_zones_come_first_once_the_own_zone_refuses() -> None:
    hosts = [f'127.0.2.{number}' for number in range(1, 9)]
    relays = Relays(
        {host: 'open' if host == hosts[-1] else 'partitioned' for host in hosts},
        {hosts[-1]: 'b'},
    )
    clock = ManualClock()
    client = TunnelClient(
        Address('127.0.0.1', relays.port),
        'a',
        lambda: dict.fromkeys(hosts, 1.0),
        clock,
        Metrics(),
        random.Random(3),
    )
    try:
        for _ in range(3):
            try:
                client.open(UPSTREAM)
            except TunnelError:
                continue
        clock.advance(1.5)  # no host is avoided any more
        relays.asked.clear()
        assert client.open(UPSTREAM).relay == hosts[-1]
        assert relays.asked == [hosts[-1]]
    finally:
        relays.stop()


@pytest.mark.parametrize(
    ('capacity', 'descriptors', 'limit'),
    [(0.4, 4096, 51), (2.0, 4096, 256), (2.0, 1024, 128), (0.01, 4096, 8)],
)
def test_number_of_tunnels_follows_the_host(
    capacity: float, descriptors: int, limit: int
) -> None:
    assert tunnel_limit(capacity, descriptors) == limit
