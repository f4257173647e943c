"""Asks other hosts for byte streams to upstreams."""

from __future__ import annotations

import socket as std_socket
from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
from gevent import socket

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.policy.rendezvous import PREFERRED_CAPACITY_SHARE
from rosemaryseam.router import tunnelwire
from rosemaryseam.router.faults import NotSentError
from rosemaryseam.router.relayknowledge import RelayKnowledge
from rosemaryseam.router.tunnelwire import TunnelRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Mapping

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.policy.reachability import Incarnation
    from rosemaryseam.router.upstreams import Upstream

HOST_TIMEOUT_S = 0.25  # for one host to open a tunnel
TUNNEL_TIMEOUT_S = 0.5  # for all hosts that are tried
MAX_TRIES = 6  # a host that cannot relay refuses within milliseconds
MIN_WITNESSES = 2  # hosts that are not cut off, to believe that an upstream is down
WITHOUT_UPSTREAM = (tunnelwire.CUT_OFF, tunnelwire.UNREACHABLE, tunnelwire.REFUSED)
AVOIDED_S = {  # for which a host is not asked again after its refusal
    tunnelwire.PARTITIONED: 1.0,
    tunnelwire.BUSY: 0.3,
    tunnelwire.STOPPING: 5.0,
}
FAILED_HOST_S = 2.0  # for which other hosts are preferred to one that failed
OWN_ZONE_S = 2.0  # for which the own zone comes last after one of its hosts refused
UNKNOWN_FREE_PER_CORE = 64.0  # assumed for hosts that did not state free tunnels


class TunnelError(NotSentError):
    """Raised when no host opened a tunnel.

    :param message: text for the log and the caller
    :param confirmed: whether other hosts could not reach the upstream either
    """

    def __init__(self, message: str, *, confirmed: bool = False) -> None:
        super().__init__(message)
        self.confirmed = confirmed


class OpenTunnel(NamedTuple):
    """A byte stream to an upstream through ``relay``, the address of a host."""

    sock: Any
    relay: str


class TunnelClient:
    """Asks other hosts for tunnels to upstreams.

    :param address: address of this host, by which other hosts know it, and the port on
        which all hosts accept tunnels
    :param zone: availability zone of this host
    :param known_hosts: returns the capacities of the other hosts by address
    :param clock: clock of the process
    :param metrics: counters of the process
    :param rng: random numbers for the choice of hosts
    """

    def __init__(
        self,
        address: Address,
        zone: str,
        known_hosts: Callable[[], Mapping[str, float]],
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._address = address
        self._zone = zone
        self._known_hosts = known_hosts
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._avoided_until: dict[str, float] = {}
        self._doubted_until: dict[str, float] = {}
        self._zones: dict[str, str] = {}
        self._partitioned_until: dict[str, float] = {}
        self._free: dict[str, int] = {}
        self._own_zone_last_until = 0.0
        self._knowledge = RelayKnowledge(clock)

    def open(self, upstream: Upstream) -> OpenTunnel:
        """Open a tunnel to an upstream through one of a few hosts.

        :param upstream: upstream to reach
        :raises TunnelError: no host opened a tunnel
        """
        deadline = self._clock.monotonic() + TUNNEL_TIMEOUT_S
        name = upstream.incarnation
        tried: set[str] = set()
        while len(tried) < MAX_TRIES and self._clock.monotonic() < deadline:
            host = self._choose(upstream, tried)
            if host is None or self._is_down(name):
                break
            tried.add(host)
            result, sock = self._ask(host, upstream)
            if sock is not None:
                self._metrics.count('tunnels_opened')
                return OpenTunnel(sock, host)
            if result in WITHOUT_UPSTREAM:
                self._knowledge.record(host, name, result)
        confirmed = self._is_down(name)
        self._metrics.count('tunnels_failed', upstream_down=str(confirmed).lower())
        exc = TunnelError(
            f'no tunnel to {upstream.id}: {len(tried)} hosts tried', confirmed=confirmed
        )
        if confirmed and self._knowledge.is_refused(name):
            raise exc from ConnectionRefusedError()
        raise exc

    def _is_down(self, upstream: Incarnation) -> bool:
        """Return whether other hosts show that an upstream is at fault."""
        now = self._clock.monotonic()
        suitable = self._suitable_hosts()
        hosts = [host for host in suitable if not self._is_partitioned(host, now)]
        if len(hosts) < min(MIN_WITNESSES, len(suitable)):
            return False
        return self._knowledge.is_down(upstream, hosts)

    def _is_partitioned(self, host: str, now: float) -> bool:
        return self._partitioned_until.get(host, 0.0) > now

    def _suitable_hosts(self) -> list[str]:
        """Return the hosts with enough capacity to relay."""
        hosts = self._known_hosts()
        least = max(hosts.values(), default=0.0) * PREFERRED_CAPACITY_SHARE
        return [host for host, capacity in hosts.items() if capacity >= least]

    def doubt(self, host: str) -> None:
        """Prefer other hosts for a while, as a tunnel broke or was not opened.

        The upstream may have been at fault; without other hosts, it is asked again.

        :param host: address of the host
        """
        self._doubted_until[host] = self._clock.monotonic() + FAILED_HOST_S

    def has_hosts(self) -> bool:
        """Return whether other hosts are known."""
        return bool(self._known_hosts())

    def may_use(self, host: str) -> bool:
        """Return whether an open tunnel through a host may carry another request.

        :param host: address of the relaying host
        """
        if host not in self._known_hosts():
            return False  # it stops, or has stopped
        until = max(
            self._avoided_until.get(host, 0.0), self._doubted_until.get(host, 0.0)
        )
        return until <= self._clock.monotonic()

    def _choose(self, upstream: Upstream, tried: set[str]) -> str | None:
        """Return the better one of two random hosts, or ``None`` if there are none."""
        now = self._clock.monotonic()
        hosts = self._known_hosts()
        without = self._knowledge.hosts_without(upstream.incarnation)
        eligible = [
            host
            for host in self._suitable_hosts()
            if host not in tried | without and self._avoided_until.get(host, 0.0) <= now
        ]
        sound = [host for host in eligible if self._doubted_until.get(host, 0.0) <= now]
        eligible = sound or eligible
        if now < self._own_zone_last_until:
            others = [host for host in eligible if self._zones.get(host) != self._zone]
            eligible = others or eligible
        if not eligible:
            return None
        weights = [max(hosts[host], 0.01) for host in eligible]
        pair = self._rng.choices(eligible, weights, k=2)
        return max(
            pair,
            key=lambda host: self._free.get(host, hosts[host] * UNKNOWN_FREE_PER_CORE),
        )

    def _ask(self, host: str, upstream: Upstream) -> tuple[str, Any]:
        """Ask one host; return the result and the socket if it opened the tunnel."""
        sock = None
        reply = None
        try:
            with gevent.Timeout(HOST_TIMEOUT_S, TimeoutError('no reply')):
                sock = socket.create_connection(
                    (host, self._address.port), source_address=(self._address.ip, 0)
                )
                sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
                tunnelwire.send_message(
                    sock, TunnelRequest(upstream.id, upstream.born, *upstream.address)
                )
                reply = tunnelwire.read_reply(sock)
        except OSError as exc:
            self.doubt(host)
            log_event('tunnel_failed', peer=host, reason=str(exc))
            return 'failed', None
        finally:
            if sock is not None and (reply is None or reply.result != tunnelwire.OPEN):
                sock.close()
        self._zones[host] = reply.zone
        self._free[host] = reply.free
        if reply.result == tunnelwire.OPEN:
            return reply.result, sock
        if reply.result in AVOIDED_S:
            until = self._clock.monotonic() + AVOIDED_S[reply.result]
            self._avoided_until[host] = until
        if reply.result == tunnelwire.PARTITIONED:
            self._partitioned_until[host] = self._avoided_until[host]
        if reply.result == tunnelwire.PARTITIONED and reply.zone == self._zone:
            self._own_zone_last_until = self._clock.monotonic() + OWN_ZONE_S
        return reply.result, None
