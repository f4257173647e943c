"""Hosts of the model: each has its own tracker and asks the others' dispatchers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.common.metrics import Metrics
from rosemaryseam.router.datagrams import Datagram
from rosemaryseam.router.dispatch import DispatchPlacer
from rosemaryseam.router.dispatcher import Dispatcher
from rosemaryseam.router.hostlink import HostLink
from rosemaryseam.router.placement import Placer
from rosemaryseam.router.upstreamtracker import UpstreamTracker

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from rosemaryseam.experiments.simulatedclock import SimulatedClock
    from rosemaryseam.router.datagrams import DispatchRequest, EndedRequest
    from rosemaryseam.router.placement import Ticket, UnplacedRequest
    from rosemaryseam.router.queries import InFlightReport, PlacedPrompt
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.upstreams import Registry, Upstream

INCARNATION = 1  # the model tells of restarts by itself
RESTART_S = 2.0  # from the leaving of a host to its return


class ModelHost(Placer):
    """A host's part of placement.

    :param name: of the host
    :param zone: its availability zone
    :param clock: simulated time
    :param registry: the usable engines
    :param service: that they serve
    :param rng: spreads the return of refused callers
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
        self._known: tuple[Upstream, ...] = ()
        self.name = name
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
        self.follow_registry()

    def place(self, unplaced: UnplacedRequest, upstreams: Sequence[Upstream]) -> Ticket:
        """Return a ticket for an upstream."""
        self.follow_registry()
        return self.placer.place(unplaced, upstreams)

    def follow_registry(self) -> None:
        """Take over what changed in the registry, as the feed does."""
        if self._registry.all() != self._known:
            self._known = self._registry.all()
            self.tracker.retain_upstreams(self._known)
            self.placer.upstreams_changed()


class ModelLink(HostLink):
    """Delivers messages at once; hosts that left get none.

    :param host: that sends
    :param hosts: all hosts that run, by name
    """

    def __init__(self, host: ModelHost, hosts: dict[str, ModelHost]) -> None:
        self._host = host
        self._hosts = hosts

    def known_hosts(self) -> dict[str, float]:
        """Return the other hosts that run; all are alike."""
        return {name: 1.0 for name in self._hosts if name != self._host.name}

    def send_request(self, host: str, request: DispatchRequest) -> None:
        """Ask a dispatcher and hand its answer back."""
        self._hosts[host].follow_registry()
        for reply in self._deliver(
            host, Datagram('', INCARNATION, dispatch_requests=(request,))
        ):
            self._host.placer.handle_reply(reply)

    def send_started(self, host: str, number: int) -> None:
        """Tell a dispatcher that an answer began."""
        self._deliver(host, Datagram('', INCARNATION, started=(number,)))

    def send_ended(self, host: str, entry: EndedRequest) -> None:
        """Tell a dispatcher how a request ended."""
        self._deliver(host, Datagram('', INCARNATION, ended=(entry,)))

    def send_held(self, host: str, held: InFlightReport) -> None:
        """Tell a new dispatcher of a request in flight."""
        self._deliver(host, Datagram('', INCARNATION, held=(held,)))

    def send_placed(self, host: str, placed: PlacedPrompt) -> None:
        """Tell a new dispatcher of a prompt that an engine read lately."""
        self._deliver(host, Datagram('', INCARNATION, placed=(placed,)))

    def _deliver(self, host: str, datagram: Datagram) -> list:
        if host not in self._hosts:
            return []
        datagram = datagram._replace(host=self._host.name)
        return self._hosts[host].dispatcher.handle_datagram(datagram)


class ModelHosts:
    """The hosts of a day, which may restart one after the other.

    Requests of a host that left go on to their end, as in a graceful stop.

    :param count: how many
    :param zone: their availability zone
    :param clock: simulated time
    :param registry: the usable engines
    :param service: that they serve
    :param rng: spreads the return of refused callers
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
        self._running: dict[str, ModelHost] = {}
        self.placers: list[Placer] = []
        for number in range(count):
            self.placers.append(self._start(f'host-{number}'))

    def schedule_restarts(self, first_s: float, gap_s: float) -> None:
        """Restart all hosts, one after the other.

        :param first_s: when the first one leaves
        :param gap_s: until the next one does
        """
        for index in range(len(self.placers)):
            at_s = first_s + index * gap_s
            self._clock.call_at(at_s, lambda index=index: self._leave(index))
            self._clock.call_at(
                at_s + RESTART_S, lambda index=index: self._return(index)
            )

    def _leave(self, index: int) -> None:
        del self._running[f'host-{index}']
        self._announce()

    def _return(self, index: int) -> None:
        name = f'host-{index}'
        self.placers[index] = self._start(name)
        for host in self._running.values():
            if host.name != name:
                host.placer.handle_peer_restart(name)

    def _start(self, name: str) -> ModelHost:
        host = ModelHost(
            name, self._zone, self._clock, self._registry, self._service, self._rng
        )
        self._running[name] = host
        host.placer.connect(ModelLink(host, self._running))
        return host

    def _announce(self) -> None:
        for host in self._running.values():
            host.placer.hosts_changed()
