"""Selects the path to an upstream: directly, or through another host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
from gevent.event import Event

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.policy.reachability import Reachability, Wait
from rosemaryseam.router.faults import NotSentError
from rosemaryseam.router.outcomereports import OutcomeReports
from rosemaryseam.router.tunnelclient import TunnelError
from rosemaryseam.router.upstreamconnection import connect_socket
from rosemaryseam.router.upstreampath import UpstreamPath

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.policy.reachability import Incarnation
    from rosemaryseam.router.tunnelclient import TunnelClient
    from rosemaryseam.router.upstreamconnection import ConnectionPath
    from rosemaryseam.router.upstreams import Registry, Upstream

CONNECT_TIMEOUT_S = 0.3  # links of a region take ms; a lost packet costs a retry
GIVEN_UP_S = 0.1  # what was given up after this time without bytes has failed
STEP_S = 0.1  # between two looks at silent connections and due probes
TEST_TIMEOUT_S = 0.6  # for another request's test, whose result is shared
RECENT_CONTACT_S = 0.5  # with any upstream, for a host that relays
LATE_S = 0.5  # beyond the expected time, on a path that is known to be cut
SUSPICIOUS_WAIT_S = 0.3  # without an expected byte, before the path is verified
PROBE_JITTER = 0.2  # share by which the intervals between probes vary


class OpenPath(NamedTuple):
    """A connected socket and the path that it takes."""

    sock: Any
    path: UpstreamPath


class UpstreamPaths:
    """Opens connections to upstreams, through other hosts while this one is cut off.

    A host that reaches its upstreams opens no connection besides those for requests.

    :param registry: registered upstreams
    :param tunnels: asks other hosts for tunnels, ``None`` if hosts have no relay port
    :param clock: clock of the process
    :param metrics: counters of the process
    :param rng: random numbers for the times of probes
    """

    def __init__(
        self,
        registry: Registry,
        tunnels: TunnelClient | None,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.connect_socket: Callable[[Address, float], Any] = connect_socket
        self._registry = registry
        self._tunnels = tunnels
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._reachability = Reachability()
        self._waiting: set[UpstreamPath] = set()
        self.reports = OutcomeReports(
            self._reachability, self.is_suspect, self.has_relays, clock
        )
        self._test: Event | None = None
        self._checked_silence_at = 0.0
        metrics.gauge('partitioned', lambda: float(self._reachability.partitioned))

    # Opening connections.

    def open(self, upstream: Upstream) -> OpenPath:
        """Open a connection to an upstream, on the path that works.

        :param upstream: upstream to connect to
        :raises NotSentError: no connection could be made
        """
        relayed = self._reachability.uses_tunnel(upstream.incarnation)
        if relayed:
            try:
                return self._open_tunnel(upstream)
            except TunnelError as exc:
                if exc.confirmed:
                    raise
        try:
            sock = self.connect_directly(upstream, CONNECT_TIMEOUT_S)
        except NotSentError:
            tunnel = None if relayed else self._try_tunnel(upstream)
            if tunnel is None:
                raise
            return tunnel
        return OpenPath(sock, UpstreamPath(self, upstream.incarnation, None))

    def connect_directly(self, upstream: Upstream, timeout_s: float) -> Any:
        """Open a direct connection to an upstream.

        :param upstream: upstream to connect to
        :param timeout_s: timeout in seconds
        :raises NotSentError: no connection was established
        """
        began = self._clock.monotonic()
        name = upstream.incarnation
        self._metrics.count('upstream_connects')
        try:
            sock = self.connect_socket(upstream.address, timeout_s)
        except NotSentError:
            self._reachability.record_failure(name, self._clock.monotonic())
            raise
        except BaseException:
            # The caller left or its deadline passed; the next request should know.
            now = self._clock.monotonic()
            if now - began >= GIVEN_UP_S:
                self._reachability.record_failure(name, now)
            raise
        self._reachability.record_connected(name, self._clock.monotonic())
        return sock

    def may_reuse(self, path: ConnectionPath) -> bool:
        """Return whether an idle connection may carry another request.

        :param path: path of the connection
        """
        if not isinstance(path, UpstreamPath) or self._tunnels is None:
            return True
        if path.relay is None:
            return not self._reachability.uses_tunnel(path.upstream)
        return (
            self._reachability.uses_tunnel(path.upstream)
            and self._tunnels.may_use(path.relay)
            and not any(
                other.relay == path.relay and self._is_late(other, LATE_S)
                for other in self._waiting
            )
        )

    def is_relayed(self, upstream: Upstream) -> bool:
        """Return whether an upstream is reached through other hosts, and by them.

        :param upstream: upstream to connect to
        """
        name = upstream.incarnation
        return self._reachability.uses_tunnel(
            name
        ) and not self._reachability.is_confirmed_down(name, self._clock.monotonic())

    def is_lost(self, path: UpstreamPath) -> bool:
        """Return whether a request that waits should be sent on another path.

        :param path: path of the connection
        """
        if self._tunnels is None or not self._is_late(path, LATE_S):
            return False
        if path.relay is None:
            return self._reachability.uses_tunnel(path.upstream)
        return not self._tunnels.may_use(path.relay)

    def must_verify(self, path: ConnectionPath) -> bool:
        """Return whether a new connection must show first that the path works.

        Bytes sent on an idle connection of a path that was just cut are lost, and with
        them a request that must run at most once. Tunnels are not suspect with it.

        :param path: path of an idle connection
        """
        if not isinstance(path, UpstreamPath) or self._tunnels is None:
            return False
        if path.relay is not None or self._reachability.uses_tunnel(path.upstream):
            return False
        now = self._clock.monotonic()
        return self._reachability.has_recent_failure(now) or (
            not self._reachability.has_contact_since(now - SUSPICIOUS_WAIT_S)
            and any(self._is_late(path, SUSPICIOUS_WAIT_S) for path in self._waiting)
        )

    def is_suspect(self) -> bool:
        """Return whether this host may be cut off from upstreams that others reach."""
        return self.has_relays() and self._reachability.is_suspect(
            self._clock.monotonic(), len(self._registry.all())
        )

    def has_relays(self) -> bool:
        """Return whether there are other hosts that may relay."""
        return self._tunnels is not None and self._tunnels.has_hosts()

    def is_isolated(self, *, failed: bool) -> bool:
        """Return whether this host may be cut off from all upstreams.

        A host that hears from other upstreams is believed when a connect fails.

        :param failed: whether a connect for another host just failed
        """
        if self._reachability.partitioned:
            return not self._reachability.reaches_any()
        contact_after = self._clock.monotonic() - RECENT_CONTACT_S
        return failed and not self._reachability.has_contact_since(contact_after)

    def is_cut_off(self, upstream: Upstream) -> bool:
        """Return whether this host does not reach an upstream that others may reach.

        :param upstream: upstream to relay to
        """
        return self._reachability.uses_tunnel(upstream.incarnation)

    def _is_late(self, path: UpstreamPath, seconds: float) -> bool:
        """Return whether bytes are awaited for longer than expected."""
        waited_s = self._clock.monotonic() - path.waiting_since
        return path in self._waiting and waited_s > seconds + path.expected_s

    def _open_tunnel(self, upstream: Upstream) -> OpenPath:
        try:
            sock, relay = self._tunnels.open(upstream)
        except TunnelError as exc:
            if exc.confirmed:
                self._record_test(upstream.incarnation, reached=False)
            raise
        return OpenPath(sock, UpstreamPath(self, upstream.incarnation, relay))

    def _try_tunnel(self, upstream: Upstream) -> OpenPath | None:
        """Return a tunnel to an upstream that a suspect host cannot reach directly.

        The first request that needs one is the test whether others can reach it.
        """
        if not self.is_suspect():
            return None
        if not self._reachability.partitioned:
            if self._test is not None:
                self._test.wait(TEST_TIMEOUT_S)
                if not self._reachability.partitioned:
                    return None
            elif self._reachability.may_test(self._clock.monotonic()):
                return self._run_test(upstream)
            else:
                return None
        try:
            return self._open_tunnel(upstream)
        except TunnelError:
            return None

    def _run_test(self, upstream: Upstream) -> OpenPath | None:
        test = self._test = Event()
        try:
            tunnel = self._open_tunnel(upstream)
            self._record_test(upstream.incarnation, reached=True)
            return tunnel
        except TunnelError as exc:
            log_event('tunnel_test_failed', upstream=upstream.id, reason=exc.message)
            if isinstance(exc.__cause__, ConnectionRefusedError):
                raise
            return None
        finally:
            self._test = None
            test.set()

    def _record_test(self, upstream: Incarnation, *, reached: bool) -> None:
        now = self._clock.monotonic()
        was_partitioned = self._reachability.partitioned
        failed = self._reachability.failed(now)
        self._reachability.record_test(upstream, now, reached=reached)
        if self._reachability.partitioned and not was_partitioned:
            self._metrics.count('partitions_begun')
            log_warning('partition_began', failed=[name for name, _ in failed])
        self.reports.settle()

    # What happens on connections.

    def record_sent(self, path: UpstreamPath) -> None:
        """Record that an answer is waited for on a path.

        :param path: path of the connection
        """
        path.waiting_since = self._clock.monotonic()
        self._waiting.add(path)

    def record_bytes(self, path: UpstreamPath) -> None:
        """Record that bytes arrived on a path.

        :param path: path of the connection
        """
        now = self._clock.monotonic()
        path.waiting_since = now
        path.expected_s = 0.0
        if path.relay is None:
            self._reachability.record_bytes(now)
            self.reports.settle()

    def record_broken(self, path: UpstreamPath) -> None:
        """Record that a connection broke or that its upstream fell silent.

        :param path: path of the connection
        """
        if path.relay is None:
            self._reachability.record_broken(path.upstream, self._clock.monotonic())
        elif self._tunnels is not None:
            self._tunnels.doubt(path.relay)

    def record_released(self, path: UpstreamPath) -> None:
        """Record that no answer is waited for on a path any more.

        :param path: path of the connection
        """
        now, since = self._clock.monotonic(), path.waiting_since
        silent = now - since > GIVEN_UP_S and (
            self._is_late(path, GIVEN_UP_S)
            or not self._reachability.has_contact_since(since)
        )
        if path in self._waiting and path.relay is None and silent:
            # Requests with little time left end before their silence shows.
            self._reachability.record_broken(path.upstream, now)
        self._waiting.discard(path)

    # Repeated work.

    def step(self) -> None:
        """Look at silent connections, probe upstreams and send delayed reports."""
        gevent.sleep(STEP_S)
        if self._tunnels is None:
            return
        self.reports.settle()
        if self._reachability.partitioned:
            self._probe()
        elif self.is_suspect():
            self._test_in_background()
        else:
            self._check_silence()

    def retain(self) -> None:
        """Drop the state of upstreams that are not registered any more."""
        self._reachability.retain(entry.incarnation for entry in self._registry.all())

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        now = self._clock.monotonic()
        return {
            'partitioned': self._reachability.partitioned,
            'suspect': self.is_suspect(),
            'failed': [name for name, _ in self._reachability.failed(now)],
            'waiting': len(self._waiting),
            'relayed': sum(path.relay is not None for path in self._waiting),
            'delayed_reports': self.reports.pending,
        }

    def _probe(self) -> None:
        by_name = {entry.incarnation: entry for entry in self._registry.all()}
        jitter = self._rng.uniform(1 - PROBE_JITTER, 1 + PROBE_JITTER)
        name = self._reachability.next_probe(by_name, self._clock.monotonic(), jitter)
        if name is None:
            return
        reached = self._can_connect(by_name[name])
        ended = self._reachability.record_probe(
            name, self._clock.monotonic(), len(by_name), reached=reached
        )
        if ended:
            seconds = self._clock.monotonic() - self._reachability.partitioned_at
            self._metrics.count('partitions_ended')
            log_warning('partition_ended', seconds=round(seconds, 3))

    def _test_in_background(self) -> None:
        """Test the path although no request waits for the result."""
        now = self._clock.monotonic()
        if self._test is not None or not self._reachability.may_test(now):
            return
        failed = self._reachability.failed(now)
        for upstream in self._registry.all():
            if upstream.incarnation in failed:
                try:
                    tunnel = self._run_test(upstream)
                except TunnelError:
                    return
                if tunnel is not None:
                    tunnel.sock.close()
                return

    def _check_silence(self) -> None:
        """Try connects while several upstreams are silent at the same time."""
        now = self._clock.monotonic()
        waits = (
            Wait(path.upstream, path.waiting_since, path.expected_s)
            for path in self._waiting
            if path.relay is None
        )
        silent = self._reachability.silent_upstreams(waits, now)
        if not silent:
            return
        upstreams = [
            entry for entry in self._registry.all() if entry.incarnation in silent
        ]
        probes = [gevent.spawn(self._can_connect, entry) for entry in upstreams[:2]]
        gevent.joinall(probes)

    def _can_connect(self, upstream: Upstream) -> bool:
        try:
            self.connect_directly(upstream, CONNECT_TIMEOUT_S).close()
        except NotSentError:
            return False
        return True
