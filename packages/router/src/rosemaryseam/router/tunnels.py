"""Relays byte streams between other hosts and upstreams."""

from __future__ import annotations

import contextlib
import fcntl
import socket as std_socket
import struct
import termios
from typing import TYPE_CHECKING, Any

import gevent
from gevent.server import StreamServer

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.errorkeeping import ErrorKeepingSocket
from rosemaryseam.common.fairness import FairReceiver
from rosemaryseam.router import tunnelwire
from rosemaryseam.router.faults import NotSentError
from rosemaryseam.router.tunnelwire import TunnelReply

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.router.tunnelwire import TunnelRequest
    from rosemaryseam.router.upstreams import Registry, Upstream

PIPE_BYTES = 32_768  # held for each direction of a tunnel while its receiver is slow
KERNEL_BYTES = 65_536  # buffers that the kernel sizes itself grow to several MB
OPENING_TIMEOUT_S = 0.3  # for the message that opens a tunnel
RELAY_CONNECT_TIMEOUT_S = 0.15  # so that the asking host can try another one
CLOSE_TIMEOUT_S = 5.0  # for an upstream to end its side after the host did
DELIVERY_POLL_S = 0.01  # between two looks at what the asking host has received
MAX_IDLE_S = 300.0  # without a byte; the other host may have vanished
IDLE_S = 3.0  # without a byte after an answer; nothing is lost with the tunnel
TUNNELS_PER_CORE = 128
DESCRIPTORS_PER_TUNNEL = 8  # of the process's limit; each tunnel uses two
MIN_TUNNELS = 8
_LINGER_0_S = struct.pack('ii', 1, 0)  # closing resets the connection
_NO_LINGER = struct.pack('ii', 0, 0)
_COUNT = struct.Struct('i')


class Tunnel:
    """Copies bytes between another host and an upstream, with back pressure.

    The end of one direction is passed on; a failure resets both connections, also when
    this process is killed, so that a truncated answer never looks complete. What an
    upstream sent before its connection failed is delivered first, as it may be a
    complete answer.

    :param host_sock: connection to the host that asked for the tunnel
    :param upstream_sock: connection to the upstream
    :param clock: clock of the process
    """

    def __init__(self, host_sock: Any, upstream_sock: Any, clock: Clock) -> None:
        self._host_sock = host_sock
        self._upstream_sock = ErrorKeepingSocket(upstream_sock)
        self._clock = clock
        self._last_bytes_at = clock.monotonic()
        self._awaits_answer = True
        for sock in (host_sock, upstream_sock):
            sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, _LINGER_0_S)
            sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_SNDBUF, KERNEL_BYTES)
            sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_RCVBUF, KERNEL_BYTES)

    def run(self) -> None:
        """Copy until both directions have ended or one has failed."""
        request = gevent.spawn(self._copy, self._host_sock, self._upstream_sock)
        answer = gevent.spawn(self._copy, self._upstream_sock, self._host_sock)
        pumps = [request, answer]
        try:
            gevent.wait(pumps, count=1)
            if not answer.ready() or answer.value:
                # A host closes only when it gives its request up; an upstream may end
                # its side while the host still has much to read.
                request.join()
                answer.join(CLOSE_TIMEOUT_S)
            if all(pump.ready() and pump.value for pump in pumps):
                for sock in (self._host_sock, self._upstream_sock):
                    _set_linger(sock, _NO_LINGER)
            elif self._upstream_sock.error is not None:
                self._await_delivery()
        finally:
            gevent.killall(pumps, block=False)
            self.reset()

    def reset(self) -> None:
        """Close both connections, with a reset unless both directions have ended."""
        self._host_sock.close()
        self._upstream_sock.close()

    def idle_s(self) -> float:
        """Return the seconds since the last byte."""
        return self._clock.monotonic() - self._last_bytes_at

    def is_busy(self) -> bool:
        """Return whether an answer may be on its way."""
        return self._awaits_answer or self.idle_s() < IDLE_S

    def _copy(self, source: Any, target: Any) -> bool:
        """Copy one direction; return whether it ended in order."""
        receiver = FairReceiver(source)
        try:
            while data := receiver.recv(PIPE_BYTES):
                self._last_bytes_at = self._clock.monotonic()
                self._awaits_answer = source is self._host_sock
                target.sendall(data)
            target.shutdown(std_socket.SHUT_WR)
        except OSError:
            if self._upstream_sock.error is None:
                self.reset()  # the host failed, to which nothing can be delivered
            return False
        return True

    def _await_delivery(self) -> None:
        """Wait until the host has received what was sent, as a reset discards it."""
        deadline = self._clock.monotonic() + CLOSE_TIMEOUT_S
        while _has_unsent_bytes(self._host_sock) and (
            self._clock.monotonic() < deadline
        ):
            gevent.sleep(DELIVERY_POLL_S)


class TunnelServer:
    """Opens tunnels to upstreams for other hosts, by direct connections only.

    :param address: address to listen on, ``None`` to relay for no host
    :param zone: availability zone of this host
    :param limit: maximum number of tunnels
    :param registry: upstreams that this host knows
    :param is_host: returns whether an address is that of another host
    :param connect: opens a direct connection to an upstream, with a timeout in seconds
    :param is_isolated: returns whether this host may be cut off from all upstreams,
        given whether one of its own connects just failed
    :param is_cut_off: returns whether this host is cut off from an upstream
    :param clock: clock of the process
    :param metrics: counters of the process
    """

    def __init__(
        self,
        address: Address | None,
        zone: str,
        limit: int,
        registry: Registry,
        is_host: Callable[[str], bool],
        connect: Callable[[Upstream, float], Any],
        is_isolated: Callable[..., bool],
        is_cut_off: Callable[[Upstream], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._zone = zone
        self._limit = limit
        self._registry = registry
        self._is_host = is_host
        self._connect = connect
        self._is_isolated = is_isolated
        self._is_cut_off = is_cut_off
        self._clock = clock
        self._metrics = metrics
        self._opening = 0
        self._draining = False
        self._tunnels: set[Tunnel] = set()
        self._server = StreamServer(tuple(address), self._serve) if address else None
        metrics.gauge('tunnels_active', lambda: len(self._tunnels))

    @property
    def active(self) -> int:
        """Number of open tunnels."""
        return len(self._tunnels)

    def start(self) -> None:
        """Open the listener.

        :raises OSError: the address cannot be used
        """
        if self._server is not None:
            self._server.start()

    def begin_drain(self) -> None:
        """Refuse new tunnels; open ones go on."""
        self._draining = True

    def is_busy(self) -> bool:
        """Return whether a tunnel may carry an answer."""
        return any(tunnel.is_busy() for tunnel in self._tunnels)

    def sweep(self) -> None:
        """Reset tunnels that have carried nothing for very long."""
        for tunnel in list(self._tunnels):
            if tunnel.idle_s() > MAX_IDLE_S:
                tunnel.reset()

    def kill(self) -> None:
        """Close the listener and reset all tunnels."""
        self._draining = True
        if self._server is not None:
            self._server.stop(timeout=0)
        for tunnel in list(self._tunnels):
            tunnel.reset()

    def _serve(self, sock: Any, address: tuple[str, int]) -> None:
        host = address[0]
        if not self._is_host(host):
            self._metrics.count('tunnels_refused', reason='host')
            return
        if self._opening + self.active >= 2 * self._limit:
            return  # even refusals cost memory
        self._opening += 1
        try:
            upstream_sock = self._open(sock, host)
        finally:
            self._opening -= 1
        if upstream_sock is None:
            return
        tunnel = Tunnel(sock, upstream_sock, self._clock)
        self._tunnels.add(tunnel)
        try:
            tunnel.run()
        finally:
            self._tunnels.discard(tunnel)

    def _open(self, sock: Any, host: str) -> Any:
        """Answer a request for a tunnel; return the connection to the upstream."""
        upstream_sock = None
        try:
            sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
            with gevent.Timeout(OPENING_TIMEOUT_S, TimeoutError('no tunnel request')):
                request = tunnelwire.read_request(sock)
                result, upstream_sock = self._reach(request)
                free = max(0, self._limit - self.active - self._opening)
                tunnelwire.send_message(sock, TunnelReply(result, self._zone, free))
        except OSError as exc:
            self._metrics.count('tunnels_refused', reason='broken')
            log_event('tunnel_request_failed', peer=host, reason=str(exc))
            if upstream_sock is not None:
                upstream_sock.close()
            return None
        if upstream_sock is None:
            self._metrics.count('tunnels_refused', reason=result)
        else:
            self._metrics.count('tunnels_relayed')
        log_event(
            'tunnel_requested', peer=host, upstream=request.upstream, result=result
        )
        return upstream_sock

    def _reach(self, request: TunnelRequest) -> tuple[str, Any]:
        if self._draining:
            return tunnelwire.STOPPING, None
        if self._is_isolated(failed=False):
            return tunnelwire.PARTITIONED, None
        if self.active + self._opening > self._limit:
            return tunnelwire.BUSY, None
        upstream = self._find_upstream(request)
        if upstream is None:
            return tunnelwire.UNKNOWN, None
        if self._is_cut_off(upstream):
            return tunnelwire.CUT_OFF, None
        try:
            return tunnelwire.OPEN, self._connect(upstream, RELAY_CONNECT_TIMEOUT_S)
        except NotSentError as exc:
            # Its own failure may have been the evidence that this host lacked.
            if self._is_isolated(failed=True):
                return tunnelwire.PARTITIONED, None
            if self._is_cut_off(upstream):
                return tunnelwire.CUT_OFF, None
            refused = isinstance(exc.__cause__, ConnectionRefusedError)
            return tunnelwire.REFUSED if refused else tunnelwire.UNREACHABLE, None

    def _find_upstream(self, request: TunnelRequest) -> Upstream | None:
        for upstream in self._registry.all():
            if (upstream.id, upstream.born, *upstream.address) == tuple(request):
                return upstream
        return None


def tunnel_limit(capacity: float, descriptors: int) -> int:
    """Return how many tunnels a host relays at once.

    :param capacity: capacity of the host, in cores
    :param descriptors: limit of the process on open files
    """
    limit = min(capacity * TUNNELS_PER_CORE, descriptors / DESCRIPTORS_PER_TUNNEL)
    return max(MIN_TUNNELS, int(limit))


def _set_linger(sock: Any, value: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_LINGER, value)


def _has_unsent_bytes(sock: Any) -> bool:
    """Return whether the peer has not acknowledged all bytes; false if it is gone."""
    try:
        data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    except (OSError, ValueError):
        return False
    return _COUNT.unpack(data)[0] > 0
