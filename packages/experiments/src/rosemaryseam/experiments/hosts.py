"""Simulated hosts; each has a tracker and sends requests to other dispatchers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rosemaryseam.common.metrics import Metrics
from rosemaryseam.router.datagrams import Datagram
from rosemaryseam.router.dispatch import DispatchPlacer
from rosemaryseam.router.dispatcher import Dispatcher
from rosemaryseam.router.hostlink import HostLink
from rosemaryseam.router.placement import Placer
from rosemaryseam.router.upstreamtracker import UpstreamTracker

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from rosemaryseam.experiments.simulatedclock import SimulatedClock
    from rosemaryseam.router.crashreports import CrashReport
    from rosemaryseam.router.datagrams import DispatchRequest, EndedRequest, Incarnation
    from rosemaryseam.router.origins import StreamOrigin
    from rosemaryseam.router.placement import Ticket, UnplacedRequest
    from rosemaryseam.router.queries import InFlightReport, PlacedPrompt
    from rosemaryseam.router.requestlimits import LimitReport
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.upstreams import Registry, Upstream

INCARNATION = 1  # constant: restarts are reported by handle_peer_restart
RESTART_DURATION_S = 2.0  # from the stop of a host to its start


class SimulatedHost(Placer):
    """The placement components of one host.

    :param name: name of the host
    :param zone: availability zone of the host
    :param clock: simulated clock
    :param registry: registry of usable engines
    :param service: service of the engines
    :param rng: generator that spreads the retry delays of refused callers
    """

    def __init__(
        self,
        name: str,
        zone: str,
        clock: SimulatedClock,
        registry: Registry,
        service: Service,
        rng: random.Random,
    ) -> None:
        metrics = Metrics()
        self._registry = registry
        self._known_upstreams: tuple[Upstream, ...] = ()
        self.name = name
        self.handlers: dict[str, Callable[[str, Any], None]] = {}
        self.tracker = UpstreamTracker(clock, lambda _: service, rng)
        self.dispatcher = Dispatcher(self.tracker, registry, metrics)
        self.placer = DispatchPlacer(
            name,
            zone,
            clock,
            metrics,
            self.tracker,
            self.dispatcher,
            registry,
            rng.getrandbits(32),
        )
        self.handlers['load'] = self.placer.handover.loads.handle
        self.apply_registry_changes()

    def place(self, unplaced: UnplacedRequest, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket for an upstream."""
        self.apply_registry_changes()
        return self.placer.place(unplaced, upstreams)

    def handle_message(self, host: str, kind: str, body: Any) -> None:
        """Pass a message of another host to the part that handles its kind.

        :param host: address of the other host
        :param kind: name of the part
        :param body: content, of JSON types
        """
        handle = self.handlers.get(kind)
        if handle is not None:
            handle(host, body)

    def apply_registry_changes(self) -> None:
        """Pass registry changes to the tracker and the placer, as the feed does."""
        if self._registry.all() != self._known_upstreams:
            self._known_upstreams = self._registry.all()
            self.tracker.retain_upstreams(self._known_upstreams)
            self.placer.upstreams_changed()


class SimulatedLink(HostLink):
    """Delivers datagrams without delay; drops those to stopped hosts.

    :param host: sending host
    :param hosts: running hosts, by name
    """

    def __init__(self, host: SimulatedHost, hosts: dict[str, SimulatedHost]) -> None:
        self._host = host
        self._hosts = hosts

    def known_hosts(self) -> dict[str, float]:
        """Return the other running hosts, all with capacity 1."""
        return {name: 1.0 for name in self._hosts if name != self._host.name}

    def send_request(self, host: str, request: DispatchRequest) -> None:
        """Send a dispatch request and pass the reply to the placer."""
        self._hosts[host].apply_registry_changes()
        for reply in self._deliver(
            host, Datagram('', INCARNATION, dispatch_requests=(request,))
        ):
            self._host.placer.handle_reply(reply)

    def send_started(self, host: str, number: int) -> None:
        """Report to a dispatcher that an answer began."""
        self._deliver(host, Datagram('', INCARNATION, started=(number,)))

    def send_ended(self, host: str, entry: EndedRequest) -> None:
        """Report to a dispatcher how a request ended."""
        self._deliver(host, Datagram('', INCARNATION, ended=(entry,)))

    def send_in_flight(self, host: str, report: InFlightReport) -> None:
        """Report an in-flight request to a new dispatcher."""
        self._deliver(host, Datagram('', INCARNATION, in_flight=(report,)))

    def send_placed(self, host: str, placed: PlacedPrompt) -> None:
        """Report a recently prefilled prompt to a new dispatcher."""
        self._deliver(host, Datagram('', INCARNATION, placed=(placed,)))

    def send_left(self, host: str, incarnation: Incarnation) -> None:
        """Report to a dispatcher that an upstream has left."""
        self._deliver(host, Datagram('', INCARNATION, left=(incarnation,)))

    def send_crash(self, host: str, report: CrashReport) -> None:
        """Do nothing; engines of the simulation do not crash on prompts."""

    def send_limit(self, host: str, report: LimitReport) -> None:
        """Report the request limit of an upstream to its dispatcher."""
        self._deliver(host, Datagram('', INCARNATION, limits=(report,)))

    def send_origin(self, host: str, origin: StreamOrigin) -> None:
        """Do nothing; callers of the simulation take up no streams."""

    def send_origin_to_write(self, host: str, origin: StreamOrigin) -> None:
        """Do nothing; callers of the simulation take up no streams."""

    def send_origin_lookup(self, host: str, request_id: str) -> None:
        """Do nothing; callers of the simulation take up no streams."""

    def send_message(self, host: str, kind: str, body: Any) -> None:
        """Pass a message to the same part of another host."""
        if host in self._hosts:
            self._hosts[host].handle_message(self._host.name, kind, body)

    def _deliver(self, host: str, datagram: Datagram) -> list:
        if host not in self._hosts:
            return []
        datagram = datagram._replace(host=self._host.name)
        return self._hosts[host].dispatcher.handle_datagram(datagram)


class SimulatedHosts:
    """The hosts of a simulation, with an optional rolling restart.

    Requests of a stopped host complete, as in a graceful stop.

    :param count: number of hosts
    :param zone: availability zone of the hosts
    :param clock: simulated clock
    :param registry: registry of usable engines
    :param service: service of the engines
    :param rng: generator that spreads the retry delays of refused callers
    """

    def __init__(
        self,
        count: int,
        zone: str,
        clock: SimulatedClock,
        registry: Registry,
        service: Service,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._registry = registry
        self._service = service
        self._rng = rng
        self._running: dict[str, SimulatedHost] = {}
        self.placers: list[Placer] = []
        for number in range(count):
            self.placers.append(self._start_host(f'host-{number}'))

    def schedule_rolling_restart(self, start_s: float, interval_s: float) -> None:
        """Restart all hosts, one after the other.

        :param start_s: simulated seconds at which the first host stops
        :param interval_s: seconds between the stops of two hosts
        """
        for index in range(len(self.placers)):
            at_s = start_s + index * interval_s
            self._clock.call_at(at_s, lambda index=index: self._stop_host(index))
            self._clock.call_at(
                at_s + RESTART_DURATION_S, lambda index=index: self._restart_host(index)
            )

    def _stop_host(self, index: int) -> None:
        del self._running[f'host-{index}']
        self._announce_hosts()

    def _restart_host(self, index: int) -> None:
        name = f'host-{index}'
        self.placers[index] = self._start_host(name)
        for host in self._running.values():
            if host.name != name:
                host.placer.handle_peer_restart(name)

    def _start_host(self, name: str) -> SimulatedHost:
        host = SimulatedHost(
            name, self._zone, self._clock, self._registry, self._service, self._rng
        )
        self._running[name] = host
        host.placer.connect(SimulatedLink(host, self._running))
        return host

    def _announce_hosts(self) -> None:
        for host in self._running.values():
            host.placer.hosts_changed()
