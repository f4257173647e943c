"""Exchange of datagrams with the other hosts, and this host's registration."""

from __future__ import annotations

import functools
from collections import deque
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket
from gevent.event import Event
from gevent.hub import get_hub

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.errors import PeerError, PlatformError, UnreadableError
from rosemaryseam.common.fairness import apply_each, attempt, run_repeatedly
from rosemaryseam.common.rangestore import EraChangedError, Write
from rosemaryseam.common.skippedvalues import SkippedValues
from rosemaryseam.common.workfailures import describe_error
from rosemaryseam.router.datagramcodec import MAX_DATAGRAM_BYTES, decode, encode
from rosemaryseam.router.datagrams import Datagram, PartMessage
from rosemaryseam.router.hostentries import (
    HOSTS_PREFIX,
    decode_host_entry,
    encode_host_entry,
    host_key,
)
from rosemaryseam.router.hostlink import HostLink
from rosemaryseam.router.outbox import Outbox

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.errors import RosemaryseamError
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import Lease, RangeStore
    from rosemaryseam.router.crashreports import CrashReport
    from rosemaryseam.router.datagrams import DispatchRequest, EndedRequest, Incarnation
    from rosemaryseam.router.dispatch import DispatchPlacer
    from rosemaryseam.router.dispatcher import Dispatcher
    from rosemaryseam.router.feed import OtherItems
    from rosemaryseam.router.originlog import OriginLog
    from rosemaryseam.router.origins import StreamOrigin, StreamOrigins
    from rosemaryseam.router.queries import InFlightReport, PlacedPrompt
    from rosemaryseam.router.requestlimits import LimitReport
    from rosemaryseam.router.upstreamtracker import UpstreamTracker

    MessageHandler = Callable[[str, Any], Iterable[UnreadableError] | None]

LEASE_TTL_S = 600.0  # the store's maximum; allows renewals minutes apart
LEASE_RENEWAL_S = 240.0  # between two renewals, before jitter
REGISTRATION_RETRY_S = 1.0  # after a failed registration or renewal
RESTORED_ENTRY_SPREAD_S = 1.0  # within which the hosts write lost entries again
RESTORED_ENTRY_GRACE_S = 5.0  # until a host without entry is dropped
SYNC_INTERVAL_S = 1.0  # between two lists of in-flight requests to a dispatcher
PEER_TIMEOUT_S = 3.0  # requests of a host that is silent for longer are dropped
DATAGRAMS_PER_TURN = 32  # received before other greenlets get a turn
RECEIVE_RETRY_S = 0.05  # after a socket error
STOPPING_HOST_S = 15.0  # for which a host that stops may still ask for tunnels
MAX_INCARNATIONS = 8  # remembered per host, to drop late datagrams of old processes


class PeerLink(HostLink):
    """Exchanges datagrams with the other hosts and keeps this host registered.

    Messages to one host are batched into one datagram per turn of the event loop. State
    that is handed over goes ahead in datagrams of its own.

    :param address: address on which this host listens
    :param store: store that holds the entries of all hosts
    :param clock: clock of the process
    :param metrics: counters of the process
    :param rng: source of the jitter in periodic work
    :param placer: placer of this host
    :param dispatcher: dispatcher of this host
    :param tracker: upstream tracker of this host
    :param origins: origins of streams that this host knows
    :param origin_log: writes origins of streams to the store
    :param capacity: relative capacity of this host, as published in its entry
    :param on_left: called with upstreams that told another host that they stop
    :param skipped: keeps the entries that cannot be read
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
        origins: StreamOrigins,
        origin_log: OriginLog,
        capacity: float = 1.0,
        on_left: Callable[[Incarnation], None] = lambda _: None,
        skipped: SkippedValues | None = None,
    ) -> None:
        self._address = address
        self._on_left = on_left
        self._left_at: dict[str, float] = {}  # when hosts said that they stop
        self._handlers: dict[str, MessageHandler] = {}
        self._capacity = capacity
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._skipped = skipped or SkippedValues(metrics)
        self._rng = rng
        self._placer = placer
        self._dispatcher = dispatcher
        self._tracker = tracker
        self._origins = origins
        self._origin_log = origin_log
        self._incarnation = rng.getrandbits(63)
        self._last_received_at: dict[str, float] = {}
        self._capacities: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._incarnations: dict[str, deque[int]] = {}  # the last one is current
        self._outboxes: dict[str, Outbox] = {}
        self._flushing = False
        self._closed = False
        self._lease: Lease | None = None
        self._registration_lost = Event()
        self._missing: dict[str, float] = {}  # hosts without entry, until when kept
        self._stopping = False
        self._receive_sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        # Callbacks of the event loop send the datagrams and must not block.
        self._send_sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._send_sock.setblocking(False)

    def start(self) -> list[gevent.Greenlet]:
        """Bind the sockets and start the greenlets that receive, sync and register.

        :raises OSError: the address cannot be used
        """
        self._receive_sock.bind(tuple(self._address))
        self._send_sock.bind((self._address.ip, 0))
        return [
            gevent.spawn(self._receive),
            gevent.spawn(run_repeatedly, 'sync', self._sync, self._metrics),
            gevent.spawn(
                run_repeatedly, 'origins', self._origins.share_step, self._metrics
            ),
            gevent.spawn(self._keep_registered),
        ]

    def host_count(self) -> int:
        """Return the number of registered hosts, this one included."""
        return 1 + len(self._capacities)

    def known_hosts(self) -> dict[str, float]:
        """Return the other hosts that may dispatch, with their capacities."""
        return {
            host: capacity
            for host, capacity in self._capacities.items()
            if host not in self._leaving
        }

    def is_host(self, host: str) -> bool:
        """Return whether an address is that of another host, also of one that stops.

        :param host: address in question
        """
        left_at = self._left_at.get(host)
        if left_at is not None and self._clock.monotonic() - left_at < STOPPING_HOST_S:
            return True
        return host in self._capacities

    def lease(self) -> Lease | None:
        """Return the lease on this host's entry, or ``None`` while there is none."""
        return self._lease

    def renew_registration(self) -> None:
        """Register this host again, because the store lost its entry or its lease."""
        if not self._stopping:
            self._lease = None
            self._registration_lost.set()

    def leave(self) -> None:
        """Announce to the other hosts that this one stops, and remove its entry."""
        self._stopping = True
        data = encode(Datagram(self._address.ip, self._incarnation, leaving=True))
        for host in {*self._capacities, *self._last_received_at}:
            self._transmit(host, data)
        try:
            self._store.write((), (host_key(self._address.ip),))
        except PlatformError as exc:
            log_warning('cannot_unregister', reason=exc.message)

    def close(self) -> None:
        """Close the sockets."""
        self._closed = True
        self._receive_sock.close()
        self._send_sock.close()

    def apply_host_entries(self, others: OtherItems) -> None:
        """Apply the hosts' entries in the store, or changes of them.

        :param others: items of the store, among them the hosts' entries
        """
        values = {
            item.key.removeprefix(HOSTS_PREFIX): item.value
            for item in others.items
            if item.key.startswith(HOSTS_PREFIX)
        }
        before = dict(self._capacities)
        if others.complete:
            self._note_missing_hosts(values.keys(), restored=others.restored)
        # A complete list shows a lost entry by its absence, a change by its removal.
        entry = encode_host_entry(self._address.port, self._capacity)
        own = values.pop(self._address.ip, None if others.complete else entry)
        if own != entry and self._lease is not None:
            log_warning('own_entry_lost', lease=self._lease.id)
            self.renew_registration()
        for host, value in values.items():
            self._apply_host_entry(host, value)
        if self._capacities != before:
            self._placer.hosts_changed()

    def _note_missing_hosts(self, present: Collection[str], *, restored: bool) -> None:
        """Drop the hosts that a complete list lacks.

        A host that is missing because the store was restored registers again soon.
        """
        grace_s = RESTORED_ENTRY_GRACE_S if restored else 0.0
        until = self._clock.monotonic() + grace_s
        for host in self._capacities:
            if host not in present:
                self._missing.setdefault(host, until)
        if not restored:
            self._drop_missing_hosts()

    def _drop_missing_hosts(self) -> None:
        """Drop the hosts that did not register again in time and are not heard."""
        now = self._clock.monotonic()
        for host in [host for host, until in self._missing.items() if until <= now]:
            if host not in self._last_received_at:
                self._drop_host(host)

    def _apply_host_entry(self, host: str, value: bytes | None) -> None:
        self._missing.pop(host, None)
        key = host_key(host)
        if value is None:
            self._leaving.discard(host)
            self._skipped.forget(key)
            self._drop_host(host)
            return
        try:
            capacity = decode_host_entry(host, value)
        except UnreadableError as exc:
            self._skipped.skip('host', key, value, exc)
            self._drop_host(host)  # as in a first read; a live one registers again
            return
        self._skipped.forget(key)
        was_leaving = host in self._leaving
        self._leaving.discard(host)
        if host not in self._capacities:
            self._capacities[host] = capacity
            log_event('peer_registered', peer=host, capacity=capacity)
            self._send(host, Datagram(self._address.ip, self._incarnation))
        elif was_leaving:
            self._placer.hosts_changed()

    def _drop_host(self, host: str) -> None:
        self._missing.pop(host, None)
        if self._capacities.pop(host, None) is not None:
            log_event('peer_unregistered', peer=host)

    # Sending.

    def send_request(self, host: str, request: DispatchRequest) -> None:
        """Send a request to a dispatcher, which places it."""
        self._outbox(host).dispatch_requests.append(request)

    def send_started(self, host: str, number: int) -> None:
        """Report to a dispatcher that an answer has started."""
        self._outbox(host).started.append(number)

    def send_ended(self, host: str, entry: EndedRequest) -> None:
        """Report to a dispatcher how a request ended."""
        self._outbox(host).ended.append(entry)

    def send_left(self, host: str, incarnation: Incarnation) -> None:
        """Report to a dispatcher that an upstream has left."""
        self._outbox(host).left.append(incarnation)

    def send_crash(self, host: str, report: CrashReport) -> None:
        """Tell another host of a crash that this host saw."""
        self._outbox(host).crashes.append(report)

    def send_limit(self, host: str, report: LimitReport) -> None:
        """Report the request limit of an upstream to its dispatcher."""
        self._outbox(host).limits.append(report)

    def send_origin(self, host: str, origin: StreamOrigin) -> None:
        """Tell another host which software began a stream."""
        self._outbox(host).origins.append(origin)

    def send_origin_to_write(self, host: str, origin: StreamOrigin) -> None:
        """Have another host write the origin of a stream to the store."""
        self._outbox(host).origins_to_write.append(origin)

    def send_origin_lookup(self, host: str, request_id: str) -> None:
        """Ask another host which software began a stream."""
        self._outbox(host).origin_lookups.append(request_id)

    def send_message(self, host: str, kind: str, body: Any) -> None:
        """Send a message of one part of the router to the same part of another host."""
        self._outbox(host).messages.append(PartMessage(kind, body))

    def subscribe(self, kind: str, handle: MessageHandler) -> None:
        """Set the handler of a kind of message.

        :param kind: name of the part
        :param handle: called with the address of the sending host and the content; may
            return the errors of entries that it left out
        """
        self._handlers[kind] = handle

    def send_in_flight(self, host: str, report: InFlightReport) -> None:
        """Report an in-flight request to a new dispatcher."""
        self._outbox(host).in_flight.append(report)

    def send_placed(self, host: str, placed: PlacedPrompt) -> None:
        """Report a recently prefilled prompt to a new dispatcher."""
        self._outbox(host).placed.append(placed)

    def _outbox(self, host: str) -> Outbox:
        outbox = self._outboxes.get(host)
        if outbox is None:
            outbox = self._outboxes[host] = Outbox()
        if not self._flushing:
            self._flushing = True
            get_hub().loop.run_callback(self._flush)
        return outbox

    def _flush(self) -> None:
        """Send all messages that were queued in this turn of the event loop."""
        self._flushing = False
        outboxes, self._outboxes = self._outboxes, {}
        empty = Datagram(self._address.ip, self._incarnation)
        for host, outbox in outboxes.items():
            for datagram in outbox.datagrams(empty):
                self._send(host, datagram)

    def _sync(self) -> None:
        gevent.sleep(SYNC_INTERVAL_S * self._rng.uniform(0.9, 1.1))
        for host in self._placer.handover.dispatchers():
            active = tuple(self._placer.handover.active_requests(host))
            self._send(
                host,
                Datagram(
                    self._address.ip,
                    self._incarnation,
                    sync=True,
                    active=active,
                    quarantined=self._tracker.crashes.quarantined(),
                ),
            )
        oldest = self._clock.monotonic() - PEER_TIMEOUT_S
        for host in [
            host for host, at in self._last_received_at.items() if at < oldest
        ]:
            self._forget_peer(host, 'silent')
        now = self._clock.monotonic()
        self._left_at = {
            host: at for host, at in self._left_at.items() if now - at < STOPPING_HOST_S
        }
        count = len(self._capacities)
        self._drop_missing_hosts()
        if len(self._capacities) != count:
            self._placer.hosts_changed()

    def _send(self, host: str, datagram: Datagram) -> None:
        try:
            data = encode(datagram)
        except Exception as exc:  # messages to other hosts must still be sent
            self._metrics.count('peer_unsendable')
            log_warning('peer_unsendable', peer=host, error=describe_error(exc))
            return
        self._transmit(host, data)

    def _transmit(self, host: str, data: bytes) -> None:
        try:
            self._send_sock.sendto(data, (host, self._address.port))
        except OSError as exc:
            self._metrics.count('peer_send_failures', reason=str(exc.errno))

    # Receiving.

    def _receive(self) -> None:
        count = 0
        while not self._closed:
            count += 1
            if count % DATAGRAMS_PER_TURN == 0:
                gevent.sleep(0)  # receiving does not switch while datagrams are ready
            try:
                data, (host, _) = self._receive_sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                if not self._closed:
                    self._metrics.count('peer_receive_failures', reason=str(exc.errno))
                    gevent.sleep(RECEIVE_RETRY_S)
                continue
            try:
                datagram = decode(data)
            except PeerError as exc:
                self._skip_message(host, 'datagram', exc)
                continue
            for reason in datagram.unreadable:
                self._skip_message(host, 'entry of a datagram', UnreadableError(reason))
            attempt(
                'datagram',
                functools.partial(self._handle_datagram, host, datagram),
                self._metrics,
            )

    def _skip_message(self, host: str, kind: str, exc: RosemaryseamError) -> None:
        """Count a message that cannot be read, and log it once for each reason."""
        self._metrics.count('peer_unreadable')
        reason = UnreadableError(exc.message)
        self._skipped.skip(kind, f'{kind} of {host}', exc.message.encode(), reason)

    def _handle_datagram(self, host: str, datagram: Datagram) -> None:
        if datagram.host != host or not self._is_current(host, datagram.incarnation):
            return
        if datagram.leaving:
            self._leaving.add(host)
            self._left_at[host] = self._clock.monotonic()
            log_event('peer_leaving', peer=host)
            self._placer.hosts_changed()
            return
        self._last_received_at[host] = self._clock.monotonic()
        crashes = self._tracker.crashes
        crashes.adopt(host, datagram.quarantined)
        for name, entries, apply in (
            ('left', datagram.left, self._on_left),
            ('replies', datagram.replies, self._placer.handle_reply),
            (
                'crashes',
                datagram.crashes,
                functools.partial(crashes.apply_report, host),
            ),
            (
                'origins',
                datagram.origins,
                functools.partial(self._origins.handle, host),
            ),
            ('origins_to_write', datagram.origins_to_write, self._origin_log.add),
            (
                'messages',
                datagram.messages,
                functools.partial(self._handle_message, host),
            ),
        ):
            apply_each(name, entries, apply, self._metrics)
        for request_id in datagram.origin_lookups:
            self._outbox(host).origins.append(self._origins.answer(request_id))
        for reply in self._dispatcher.handle_datagram(datagram):
            self._outbox(host).replies.append(reply)

    def _handle_message(self, host: str, message: PartMessage) -> None:
        """Pass a message to its part; hosts of another version may send others."""
        handle = self._handlers.get(message.kind)
        if handle is None:
            self._metrics.count('peer_messages_unknown', kind='other')
            return
        try:
            errors = handle(host, message.body) or ()
        except UnreadableError as exc:
            errors = (exc,)
        for exc in errors:
            self._skip_message(host, f'{message.kind} message', exc)

    def _is_current(self, host: str, incarnation: int) -> bool:
        """Return whether a host's current process sent the datagram.

        A new incarnation becomes the current one, and the state of the old one is
        dropped.
        """
        known = self._incarnations.setdefault(host, deque(maxlen=MAX_INCARNATIONS))
        if known and known[-1] == incarnation:
            return True
        if incarnation in known:
            return False
        known.append(incarnation)
        self._leaving.discard(host)
        self._tracker.forget_host(host)
        log_event('peer_heard', peer=host, incarnation=incarnation)
        self._placer.handle_peer_restart(host)
        quarantined = self._tracker.crashes.quarantined()
        if quarantined:
            self._send(
                host,
                Datagram(self._address.ip, self._incarnation, quarantined=quarantined),
            )
        return True

    def _forget_peer(self, host: str, reason: str) -> None:
        self._last_received_at.pop(host, None)
        self._tracker.forget_host(host)
        log_event('peer_forgotten', peer=host, reason=reason)

    # Registration.

    def _keep_registered(self) -> None:
        while not self._stopping:
            self._registration_lost.clear()
            try:
                self._register()
                wait = LEASE_RENEWAL_S
            except Exception as exc:  # the host must not stay unregistered
                reason = exc.message if isinstance(exc, PlatformError) else repr(exc)
                log_warning('cannot_register', reason=reason)
                wait = REGISTRATION_RETRY_S
            if self._registration_lost.wait(wait * self._rng.uniform(0.8, 1.2)):
                # All hosts lose their entries together when the store is restored.
                gevent.sleep(self._rng.uniform(0.0, RESTORED_ENTRY_SPREAD_S))

    def _register(self) -> None:
        if self._lease is not None and self._store.renew_lease(self._lease):
            return
        self._lease = None
        lease = self._store.grant_lease(LEASE_TTL_S)
        value = encode_host_entry(self._address.port, self._capacity)
        key = host_key(self._address.ip)
        position = self._store.write((Write(key, value, lease.id),))
        if position.era != lease.era:
            raise EraChangedError('the store was restored during the registration')
        self._lease = lease
        log_event('registered', lease=lease.id, era=lease.era)
