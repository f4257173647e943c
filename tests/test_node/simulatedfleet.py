"""Simulated hosts in one process: real tasks on a manual clock and fake links."""

from __future__ import annotations

import random
from collections import deque
from typing import TYPE_CHECKING, Any

import yaml

from catalogues import sample_catalogue
from rosemaryseam.common.catalogue import Catalogue, load_catalogue
from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.node import messages
from rosemaryseam.node.codec import Frame, decode_frame, encode_frame
from rosemaryseam.node.dispatcher import CatalogueChanged, DispatcherTask
from rosemaryseam.node.grants import GrantTask
from rosemaryseam.node.member import STARTING, MembershipView, MemberTask, SetRevision
from rosemaryseam.node.process import task_name_for
from rosemaryseam.node.settings import Bounds, Timing
from rosemaryseam.node.tickets import HeldGrant, Outcome, Ticket
from rosemaryseam.node.transport import PeerRefusedConnection, Transport

if TYPE_CHECKING:
    from gevent.event import AsyncResult

STEP_S = 0.05
STEPS_PER_HEARTBEAT = 4


def small_catalogue(concurrent: int, engines: int = 2, **change: Any) -> Catalogue:
    """Return the sample catalogue with engines only and a given limit.

    :param concurrent: number of concurrent calls that the owner of each engine lends
    :param change: settings to override, by class name
    """
    addresses = {f'engine-{n}': f'127.0.0.1:{1000 + n}' for n in range(engines)}
    document = sample_catalogue(addresses, {}, concurrent)
    for entry in document['classes']:
        entry.update(change.get(entry['name'], {}))
    return load_catalogue(yaml.safe_dump(document))


class HostTransport(Transport):
    """Sends messages of one host over the simulated links."""

    def __init__(self, fleet: SimulatedFleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    def send(self, host: str, message: messages.Message) -> None:
        """Queue a message for a host."""
        self._fleet.enqueue(self._host, host, message)

    def send_to_address(self, address: str, message: messages.Message) -> None:
        """Queue a message for an address; addresses are host names here."""
        self._fleet.enqueue(self._host, address, message)

    def register(self, host: str, address: str) -> None:
        """Do nothing, as addresses are host names here."""

    def reset(self, address: str) -> None:
        """Replace a connection that may be silent by a new one."""
        self._fleet.silent_connections.discard((self._host, address))


class Host:
    """Runs the tasks of one process."""

    def __init__(self, fleet: SimulatedFleet, name: str, incarnation: int) -> None:
        self._fleet = fleet
        self.name = name
        self.incarnation = incarnation
        self.frozen = False
        self.held: dict[str, HeldGrant] = {}
        self.waiting: dict[str, AsyncResult] = {}
        self.refused: list[tuple[str, Exception]] = []
        self.metrics = Metrics()
        transport = HostTransport(fleet, name)
        clock, timing = fleet.clock, fleet.timing
        rng = random.Random(f'{name}-{incarnation}')
        me = messages.MemberInfo(name, incarnation, 'zone-a', name, STARTING)
        seeds = [other for other in fleet.names if other != name]
        self.member = MemberTask(
            clock, self.metrics, timing, transport, rng, me, seeds, self._on_view
        )
        self.dispatcher = DispatcherTask(
            clock, self.metrics, timing, Bounds(), name, transport
        )
        self.grants = GrantTask(
            clock, self.metrics, timing, name, incarnation, transport
        )
        for task in (self.dispatcher, self.grants):
            task.post(CatalogueChanged(1, fleet.catalogue))
        self.member.post(SetRevision(1))

    def deliver(self, received: messages.Received) -> None:
        """Post a message from a peer to the task that handles it."""
        name = task_name_for(received.message)
        task = {
            'member': self.member,
            'dispatcher': self.dispatcher,
            'grants': self.grants,
        }[name]
        task.post(received)

    def drain(self) -> None:
        """Handle all messages in the inboxes and collect results of requests."""
        for _ in range(3):
            for task in (self.member, self.dispatcher, self.grants):
                task.handle_queued()
        self._collect()

    def deliver_from(self, source: str) -> None:
        """Deliver and handle the messages of one peer before those of others."""
        self._fleet.deliver(source, self.name)

    def tick(self, *, heartbeat: bool) -> None:
        """Run the periodic work of the tasks."""
        if heartbeat:
            self.member.tick()
        self.dispatcher.tick()
        self.grants.tick()
        self.drain()

    def request_grant(
        self, request_class: str, now: float, max_wait_s: float = 30.0
    ) -> str:
        """Request a grant and return the key of the request."""
        ticket = Ticket('models', request_class, 'market', '', now, max_wait_s)
        key, result = self.grants.request(ticket)
        self.waiting[key] = result
        self.drain()
        return key

    def release_grant(self, key: str) -> None:
        """Release a grant."""
        self.grants.release(self.held.pop(key), Outcome('done', 0.05, 10))
        self.drain()

    def _on_view(self, view: MembershipView) -> None:
        self.dispatcher.post(view)
        self.grants.post(view)

    def _collect(self) -> None:
        for key, result in list(self.waiting.items()):
            if not result.ready():
                continue
            del self.waiting[key]
            if result.successful():
                self.held[key] = result.get()
            else:
                self.refused.append((key, result.exception))


class SimulatedFleet:
    """Holds all hosts, the links between them and the clock."""

    def __init__(
        self, names: tuple[str, ...], catalogue: Catalogue, timing: Timing | None = None
    ) -> None:
        self.names = names
        self.catalogue = catalogue
        self.timing = timing or Timing()
        self.clock = ManualClock()
        self.hosts: dict[str, Host] = {}
        self.links: dict[tuple[str, str], deque[bytes]] = {}
        self.cut_links: set[tuple[str, str]] = set()
        # Connections that drop all messages until they are replaced.
        self.silent_connections: set[tuple[str, str]] = set()
        self._steps = 0
        self._incarnation = 0

    def start(self, name: str) -> Host:
        """Start the process of a host."""
        self._incarnation += 1
        self.hosts[name] = Host(self, name, self._incarnation)
        return self.hosts[name]

    def kill(self, name: str) -> None:
        """End the process of a host; messages that it sent may still arrive."""
        del self.hosts[name]
        for link in list(self.links):
            if link[1] == name:
                del self.links[link]

    def enqueue(self, source: str, target: str, message: messages.Message) -> None:
        """Put an encoded message on a link."""
        sender = self.hosts[source]
        if source == target:
            sender.deliver(messages.Received(source, message))
            return
        if target not in self.hosts:
            if not self._is_cut(source, target):
                sender.member.post(PeerRefusedConnection(target))
            return
        data = encode_frame(Frame(source, sender.incarnation, (message,)))
        self.links.setdefault((source, target), deque()).append(data)

    def run(self, seconds: float) -> None:
        """Advance the clock step by step, run the tasks and deliver messages."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            self._steps += 1
            heartbeat = self._steps % STEPS_PER_HEARTBEAT == 0
            for host in list(self.hosts.values()):
                if not host.frozen:
                    host.tick(heartbeat=heartbeat)
            self.deliver_all()

    def isolate(self, name: str) -> None:
        """Drop all messages between a host and the others."""
        self.cut_links |= {(name, other) for other in self.names if other != name}

    def silence_connections(self) -> None:
        """Drop all messages on the connections that are open now."""
        self.silent_connections = {
            (source, target)
            for source in self.names
            for target in self.names
            if source != target
        }

    def dispatcher(self) -> str:
        """Return the name of the host that dispatches the engines."""
        for host in self.hosts.values():
            dump = host.dispatcher.dump().get('models#0')
            if not host.frozen and dump is not None and dump['phase'] == 'serving':
                return host.name
        raise AssertionError('no host dispatches')

    def epoch(self) -> list[Any]:
        """Return the epoch of the engines' dispatcher."""
        dispatcher = self.hosts[self.dispatcher()].dispatcher
        return dispatcher.dump()['models#0']['epoch']

    def deliver_all(self) -> None:
        """Deliver messages until the links are empty or blocked."""
        delivered = True
        while delivered:
            delivered = False
            for link in list(self.links):
                delivered |= self.deliver(*link)

    def in_use(self) -> dict[str, int]:
        """Return the number of calls in flight by upstream, as upstreams count them."""
        counts: dict[str, int] = {}
        for host in self.hosts.values():
            for grant in host.held.values():
                counts[grant.upstream] = counts.get(grant.upstream, 0) + 1
        return counts

    def deliver(self, source: str, target: str) -> bool:
        """Deliver all messages on one link and return whether there were any."""
        queue = self.links.get((source, target), deque())
        host = self.hosts.get(target)
        if self._is_cut(source, target) or (source, target) in self.silent_connections:
            queue.clear()
            return False
        if host is None or host.frozen or not queue:
            return False
        while queue:
            frame = decode_frame(queue.popleft())
            host.deliver(messages.Received(frame.host, frame.messages[0]))
        host.drain()
        return True

    def _is_cut(self, source: str, target: str) -> bool:
        return (source, target) in self.cut_links or (target, source) in self.cut_links
