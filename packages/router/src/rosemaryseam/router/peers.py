"""Exchanges updates with the other hosts by datagrams."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.event import Event

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.errors import PeerError, PlatformError
from rosemaryseam.common.rangestore import Write
from rosemaryseam.router.ledger import (
    MAX_UPDATE_BYTES,
    Placed,
    Update,
    decode_update,
    encode_update,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.rangestore import RangeStore
    from rosemaryseam.node.metrics import Metrics

HOSTS_PREFIX = 'rosemaryseam/hosts/'
LEASE_S = 600.0  # the store's longest: one renewal in minutes
RENEW_S = 240.0
JOIN_RETRY_S = 1.0
FLUSH_S = 0.001  # joins the news of a moment; grows with the number of peers
FLUSH_PEERS = 8
SYNC_S = 1.0
SILENCE_S = 2.5  # a peer that is silent for longer counts no more
MAX_ENTRIES = 40  # of placed requests in a datagram, to stay below its size


class PeerLink:
    """Sends this host's news to its peers and hands out theirs.

    :param address: where this host listens
    :param store: names the other hosts
    :param clock: the process's clock
    :param metrics: the process's counters
    :param rng: spreads what hosts do at once
    :param active: returns the numbers of this host's requests in flight
    :param on_update: gets each peer's news
    :param on_lost: gets the address of a peer that fell silent or left
    """

    def __init__(
        self,
        address: Address,
        store: RangeStore,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        active: Callable[[], list[int]],
        on_update: Callable[[Update], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._address = address
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._active = active
        self._on_update = on_update
        self._on_lost = on_lost
        self._incarnation = int(clock.now().timestamp() * 1000)
        self._heard: dict[str, float] = {}
        self._known: set[str] = set()
        self._incarnations: dict[str, int] = {}
        self._placed: list[Placed] = []
        self._started: list[int] = []
        self._ended: list[int] = []
        self._closed: list[str] = []
        self._pending = Event()
        self._lease = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def start(self) -> list[gevent.Greenlet]:
        """Open the port and start to talk.

        :raises OSError: the address cannot be used
        """
        self._sock.bind(tuple(self._address))
        return [
            gevent.spawn(self._receive),
            gevent.spawn(self._flush),
            gevent.spawn(self._beat),
            gevent.spawn(self._keep_registered),
        ]

    def hosts(self) -> int:
        """Return how many hosts are known to run, this one included."""
        return 1 + max(len(self._heard), len(self._known))

    def tell_placed(self, entry: Placed) -> None:
        """Tell peers of a request that was sent.

        :param entry: the request
        """
        self._placed.append(entry)
        self._pending.set()

    def tell_started(self, number: int) -> None:
        """Tell peers that an answer began.

        :param number: of the request
        """
        self._started.append(number)
        self._pending.set()

    def tell_ended(self, number: int) -> None:
        """Tell peers that a request is no longer in flight.

        :param number: of the request
        """
        self._ended.append(number)
        self._pending.set()

    def tell_closed(self, name: str) -> None:
        """Tell peers of an upstream that does not answer.

        :param name: its id
        """
        self._closed.append(name)
        self._pending.set()

    def leave(self) -> None:
        """Tell peers and the store that this host stops."""
        self._send(Update(self._address.ip, self._incarnation, leaving=True))
        try:
            self._store.write((), (HOSTS_PREFIX + self._address.ip,))
        except PlatformError as exc:
            log_warning('cannot_unregister', reason=exc.message)

    def note_host(self, key: str, value: bytes | None) -> None:
        """Take over a host's entry of the store.

        :param key: of the entry
        :param value: ``None`` when it was removed
        """
        ip = key.removeprefix(HOSTS_PREFIX)
        if ip == self._address.ip:
            return
        if value is None:
            self._known.discard(ip)
        elif ip not in self._known:
            self._known.add(ip)
            log_event('peer_registered', peer=ip)

    # Sending.

    def _flush(self) -> None:
        while True:
            self._pending.wait()
            gevent.sleep(FLUSH_S * max(1.0, len(self._known) / FLUSH_PEERS))
            self._pending.clear()
            while self._placed or self._started or self._ended or self._closed:
                placed = tuple(self._placed[:MAX_ENTRIES])
                del self._placed[:MAX_ENTRIES]
                started, self._started = tuple(self._started), []
                ended, self._ended = tuple(self._ended), []
                closed, self._closed = tuple(self._closed), []
                self._send(
                    Update(
                        self._address.ip,
                        self._incarnation,
                        placed=placed,
                        started=started,
                        ended=ended,
                        closed=closed,
                    )
                )

    def _beat(self) -> None:
        while True:
            gevent.sleep(SYNC_S * self._rng.uniform(0.9, 1.1))
            active = tuple(self._active())
            self._send(
                Update(self._address.ip, self._incarnation, sync=True, active=active)
            )
            horizon = self._clock.monotonic() - SILENCE_S
            for ip in [ip for ip, at in self._heard.items() if at < horizon]:
                self._lose(ip, 'silent')

    def _send(self, update: Update) -> None:
        data = encode_update(update)
        for ip in self._known | set(self._heard):
            try:
                self._sock.sendto(data, (ip, self._address.port))
            except OSError as exc:
                self._metrics.count('peer_send_failures', reason=str(exc.errno))

    # Receiving.

    def _receive(self) -> None:
        while True:
            try:
                data, (ip, _) = self._sock.recvfrom(MAX_UPDATE_BYTES)
            except OSError as exc:
                self._metrics.count('peer_receive_failures', reason=str(exc.errno))
                continue
            try:
                self._take(ip, decode_update(data))
            except PeerError as exc:
                self._metrics.count('peer_unreadable')
                log_warning('peer_unreadable', peer=ip, reason=exc.message)

    def _take(self, ip: str, update: Update) -> None:
        known = self._incarnations.get(ip, 0)
        if update.host != ip or update.incarnation < known:
            return
        if update.incarnation > known:
            self._incarnations[ip] = update.incarnation
            self._on_lost(ip)
            log_event('peer_joined', peer=ip, incarnation=update.incarnation)
        if update.leaving:
            self._lose(ip, 'leaving')
            return
        self._heard[ip] = self._clock.monotonic()
        self._on_update(update)

    def _lose(self, ip: str, reason: str) -> None:
        self._heard.pop(ip, None)
        self._on_lost(ip)
        log_event('peer_lost', peer=ip, reason=reason)

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
        value = json.dumps({'port': self._address.port}).encode()
        key = HOSTS_PREFIX + self._address.ip
        self._store.write((Write(key, value, self._lease),))
