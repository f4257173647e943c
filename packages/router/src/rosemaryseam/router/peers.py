"""Datagrams to and from the other hosts."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.hub import get_hub

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.errors import PeerError, PlatformError
from rosemaryseam.common.rangestore import Write
from rosemaryseam.router.datagrams import (
    MAX_DATAGRAM_BYTES,
    Datagram,
    decode,
    encode,
)
from rosemaryseam.router.hostlink import HostLink

if TYPE_CHECKING:
    import random

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import RangeStore
    from rosemaryseam.router.datagrams import DispatchRequest, EndedRequest, Reply
    from rosemaryseam.router.dispatch import DispatchPlacer
    from rosemaryseam.router.dispatcher import Dispatcher
    from rosemaryseam.router.queries import InFlightReport, PlacedPrompt
    from rosemaryseam.router.upstreamtracker import UpstreamTracker

HOSTS_PREFIX = 'rosemaryseam/hosts/'
LEASE_S = 600.0  # the store's longest: one renewal in minutes
RENEW_S = 240.0
JOIN_RETRY_S = 1.0
SYNC_S = 1.0
SILENCE_S = 3.0  # a host that is silent for longer has no requests here
RECEIVE_RETRY_S = 0.05  # after an error of the socket
MAX_HANDED = 100  # requests or prompts handed over in one datagram
PAST_INCARNATIONS = 8  # of each host, whose late datagrams are dropped


class _Outbox:
    """What waits to be sent to one host in this turn of the loop."""

    def __init__(self) -> None:
        self.asks: list[DispatchRequest] = []
        self.replies: list[Reply] = []
        self.started: list[int] = []
        self.ended: list[EndedRequest] = []
        self.held: list[InFlightReport] = []
        self.placed: list[PlacedPrompt] = []


class PeerLink(HostLink):
    """Sends this host's asks, answers and news, and hands out those of others.

    :param address: where this host listens
    :param store: names the other hosts
    :param clock: the process's clock
    :param metrics: the process's counters
    :param rng: spreads what hosts do at once
    :param placer: of this host
    :param dispatcher: of this host
    :param tracker: of this host
    :param capacity: of this host, told to the others
    """

    def __init__(
        self,
        address: Address,
        store: RangeStore,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        placer: DispatchPlacer,
        dispatcher: Dispatcher,
        tracker: UpstreamTracker,
        capacity: float = 1.0,
    ) -> None:
        self._address = address
        self._capacity = capacity
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._placer = placer
        self._dispatcher = dispatcher
        self._tracker = tracker
        self._incarnation = rng.getrandbits(63)
        self._heard: dict[str, float] = {}
        self._known: dict[str, float] = {}  # capacities
        self._leaving: set[str] = set()
        self._incarnations: dict[str, deque[int]] = {}  # the last one is in force
        self._outboxes: dict[str, _Outbox] = {}
        self._flushing = False
        self._closed = False
        self._lease = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        # Datagrams leave from the loop's own callbacks, which must not wait.
        self._out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._out.setblocking(False)

    def start(self) -> list[gevent.Greenlet]:
        """Open the port and start to talk.

        :raises OSError: the address cannot be used
        """
        self._sock.bind(tuple(self._address))
        self._out.bind((self._address.ip, 0))
        return [
            gevent.spawn(self._receive),
            gevent.spawn(self._sync),
            gevent.spawn(self._keep_registered),
        ]

    def host_count(self) -> int:
        """Return how many hosts are known to run, this one included."""
        return 1 + len(self._known)

    def known_hosts(self) -> dict[str, float]:
        """Return the other hosts that may dispatch, with their capacities."""
        return {
            host: capacity
            for host, capacity in self._known.items()
            if host not in self._leaving
        }

    def lease(self) -> int:
        """Return the lease of this host's entry, 0 while it has none."""
        return self._lease

    def leave(self) -> None:
        """Tell the hosts and the store that this host stops."""
        data = encode(Datagram(self._address.ip, self._incarnation, leaving=True))
        for host in {*self._known, *self._heard}:
            self._transmit(host, data)
        try:
            self._store.write((), (HOSTS_PREFIX + self._address.ip,))
        except PlatformError as exc:
            log_warning('cannot_unregister', reason=exc.message)

    def close(self) -> None:
        """Close the port."""
        self._closed = True
        self._sock.close()
        self._out.close()

    def apply_host_entry(self, key: str, value: bytes | None) -> None:
        """Take over a host's entry of the store.

        :param key: of the entry
        :param value: ``None`` when it was removed
        """
        host = key.removeprefix(HOSTS_PREFIX)
        if host == self._address.ip:
            return
        if value is None:
            self._known.pop(host, None)
            log_event('peer_unregistered', peer=host)
        elif host not in self._known:
            self._known[host] = capacity = _read_capacity(host, value)
            log_event('peer_registered', peer=host, capacity=capacity)
            self._send(host, Datagram(self._address.ip, self._incarnation))
        self._leaving.discard(host)
        self._placer.hosts_changed()

    # Sending.

    def ask(self, host: str, ask: DispatchRequest) -> None:
        """Ask a dispatcher to place a request."""
        self._outbox(host).asks.append(ask)

    def send_started(self, host: str, number: int) -> None:
        """Tell a dispatcher that an answer began."""
        self._outbox(host).started.append(number)

    def send_ended(self, host: str, entry: EndedRequest) -> None:
        """Tell a dispatcher how a request ended."""
        self._outbox(host).ended.append(entry)

    def send_held(self, host: str, held: InFlightReport) -> None:
        """Tell a new dispatcher of a request in flight."""
        self._outbox(host).held.append(held)

    def send_placed(self, host: str, placed: PlacedPrompt) -> None:
        """Tell a new dispatcher of a prompt that an engine read lately."""
        self._outbox(host).placed.append(placed)

    def _outbox(self, host: str) -> _Outbox:
        outbox = self._outboxes.get(host)
        if outbox is None:
            outbox = self._outboxes[host] = _Outbox()
        if not self._flushing:
            self._flushing = True
            get_hub().loop.run_callback(self._flush)
        return outbox

    def _flush(self) -> None:
        """Send all that was put in outboxes in this turn of the loop."""
        self._flushing = False
        outboxes, self._outboxes = self._outboxes, {}
        for host, outbox in outboxes.items():
            self._hand_over(host, outbox)
            self._send(
                host,
                Datagram(
                    self._address.ip,
                    self._incarnation,
                    dispatch_requests=tuple(outbox.asks),
                    replies=tuple(outbox.replies),
                    started=tuple(outbox.started),
                    ended=tuple(outbox.ended),
                ),
            )

    def _hand_over(self, host: str, outbox: _Outbox) -> None:
        """Send what a new dispatcher needs to know, before it is asked."""
        for start in range(0, len(outbox.placed), MAX_HANDED):
            placed = tuple(outbox.placed[start : start + MAX_HANDED])
            self._send(
                host, Datagram(self._address.ip, self._incarnation, placed=placed)
            )
        for start in range(0, len(outbox.held), MAX_HANDED):
            held = tuple(outbox.held[start : start + MAX_HANDED])
            self._send(host, Datagram(self._address.ip, self._incarnation, held=held))

    def _sync(self) -> None:
        while True:
            gevent.sleep(SYNC_S * self._rng.uniform(0.9, 1.1))
            for host in self._placer.handover.dispatchers():
                active = tuple(self._placer.handover.active_requests(host))
                self._send(
                    host,
                    Datagram(
                        self._address.ip, self._incarnation, sync=True, active=active
                    ),
                )
            horizon = self._clock.monotonic() - SILENCE_S
            for host in [host for host, at in self._heard.items() if at < horizon]:
                self._forget(host, 'silent')

    def _send(self, host: str, datagram: Datagram) -> None:
        self._transmit(host, encode(datagram))

    def _transmit(self, host: str, data: bytes) -> None:
        try:
            self._out.sendto(data, (host, self._address.port))
        except OSError as exc:
            self._metrics.count('peer_send_failures', reason=str(exc.errno))

    # Receiving.

    def _receive(self) -> None:
        while True:
            try:
                data, (host, _) = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                if self._closed:
                    return
                self._metrics.count('peer_receive_failures', reason=str(exc.errno))
                gevent.sleep(RECEIVE_RETRY_S)
                continue
            try:
                self._handle_datagram(host, decode(data))
            except PeerError as exc:
                self._metrics.count('peer_unreadable')
                log_warning('peer_unreadable', peer=host, reason=exc.message)

    def _handle_datagram(self, host: str, datagram: Datagram) -> None:
        if datagram.host != host or not self._is_in_force(host, datagram.incarnation):
            return
        if datagram.leaving:
            self._leaving.add(host)
            log_event('peer_leaving', peer=host)
            self._placer.hosts_changed()
            return
        self._heard[host] = self._clock.monotonic()
        for reply in datagram.replies:
            self._placer.handle_reply(reply)
        for reply in self._dispatcher.handle_datagram(datagram):
            self._outbox(host).replies.append(reply)

    def _is_in_force(self, host: str, incarnation: int) -> bool:
        """Return whether a datagram is of a host's running process."""
        known = self._incarnations.setdefault(host, deque(maxlen=PAST_INCARNATIONS))
        if known and known[-1] == incarnation:
            return True
        if incarnation in known:
            return False
        known.append(incarnation)
        self._leaving.discard(host)
        self._tracker.forget_host(host)
        log_event('peer_heard', peer=host, incarnation=incarnation)
        self._placer.handle_peer_restart(host)
        return True

    def _forget(self, host: str, reason: str) -> None:
        self._heard.pop(host, None)
        self._tracker.forget_host(host)
        log_event('peer_forgotten', peer=host, reason=reason)

    # Registration.

    def _keep_registered(self) -> None:
        while True:
            try:
                self._register()
                wait = RENEW_S
            except PlatformError as exc:
                log_warning('cannot_register', reason=exc.message)
                wait = JOIN_RETRY_S
            gevent.sleep(wait * self._rng.uniform(0.8, 1.2))

    def _register(self) -> None:
        if self._lease and self._store.renew_lease(self._lease):
            return
        self._lease = self._store.grant_lease(LEASE_S)
        entry = {'port': self._address.port, 'capacity': self._capacity}
        value = json.dumps(entry).encode()
        key = HOSTS_PREFIX + self._address.ip
        self._store.write((Write(key, value, self._lease),))


def _read_capacity(host: str, value: bytes) -> float:
    """Return the capacity in a host's entry, 0 when it cannot be read."""
    try:
        return float(json.loads(value)['capacity'])
    except (ValueError, LookupError, TypeError) as exc:
        log_warning('peer_entry_unreadable', peer=host, reason=repr(exc))
        return 0.0
