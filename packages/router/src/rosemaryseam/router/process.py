"""A router process: builds its components, runs them and stops them gracefully."""

from __future__ import annotations

import errno
import functools
import json
import random
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event

from rosemaryseam.common.addresses import Address
from rosemaryseam.common.calleraccount import CallerAccount
from rosemaryseam.common.clock import SystemClock
from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.errors import ResultCode, SettingsError
from rosemaryseam.common.fairness import attempt, run_repeatedly
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.skippedvalues import SkippedValues
from rosemaryseam.common.wsgi import HttpServer, ServerTimeouts
from rosemaryseam.router.autoscaler import Autoscaler
from rosemaryseam.router.callers import CallerServer
from rosemaryseam.router.crashreporter import CrashReporter
from rosemaryseam.router.dispatch import DispatchPlacer
from rosemaryseam.router.dispatcher import Dispatcher
from rosemaryseam.router.duties import Duties
from rosemaryseam.router.feed import StateFeed
from rosemaryseam.router.forwarder import Forwarder
from rosemaryseam.router.mirror import Mirror, build_mirror_app
from rosemaryseam.router.originlog import is_origin_entry
from rosemaryseam.router.partition import open_paths
from rosemaryseam.router.peers import PeerLink
from rosemaryseam.router.pool import ConnectionPool
from rosemaryseam.router.relayedstore import RelayedStore, StoreProber
from rosemaryseam.router.restoredtable import RestoredTable
from rosemaryseam.router.resumption import StreamResumption
from rosemaryseam.router.routes import CallerLimits
from rosemaryseam.router.status import build_metrics_app, build_readiness_app
from rosemaryseam.router.storeconfirmer import StoreConfirmer
from rosemaryseam.router.storedstate import StoredState
from rosemaryseam.router.upstreams import Registry
from rosemaryseam.router.upstreamtracker import UpstreamTracker
from rosemaryseam.router.usagereporter import is_usage_record

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.rangestore import RangeStore
    from rosemaryseam.router.codec import HttpCodec, StateCodec
    from rosemaryseam.router.datagrams import Incarnation
    from rosemaryseam.router.dutyport import DutyPort
    from rosemaryseam.router.feed import OtherItems
    from rosemaryseam.router.routes import Service
    from rosemaryseam.router.settings import RouterSettings
    from rosemaryseam.router.upstreams import UpstreamChange

OPERATOR_CONNECTIONS = 64  # for each of the addresses of operators
OPERATOR_BYTES = 8_388_608  # of memory for them
RESERVED_DESCRIPTORS = 400  # for files, operators and connections to the store
SWEEP_INTERVAL_S = 0.2  # between two removals of expired entries and connections
READINESS_LAG_S = 2.9  # probed each second; two failures end new connections
CUTOFF_MARGIN_S = 0.6  # before the kill, to end the remaining requests in order
CUTOFF_S = 0.1  # for the refusals of the remaining requests to be written
DRAIN_POLL_S = 0.05  # between two checks for requests in flight
FIRST_TABLE_TIMEOUT_S = 0.5  # a healthy store answers in milliseconds
START_POLL_S = 0.005  # between two checks for the first routing table


class Router:
    """Holds all components of one router process.

    :param cfg: settings of the process
    :param clock: clock of the process
    :param store: store of the configuration and of the registrations
    :param http: codec of HTTP heads
    :param state: decoder of the store's values
    :param listener: listening socket for callers, if it is open already
    :param duty_port: makes the calls of the duties in the settings, if there are any
    """

    def __init__(
        self,
        cfg: RouterSettings,
        clock: Clock,
        store: RangeStore,
        http: HttpCodec,
        state: StateCodec,
        listener: socket.socket | None = None,
        duty_port: DutyPort | None = None,
    ) -> None:
        self._cfg = cfg
        self._clock = clock
        self._rng = random.Random()
        self._stopping = Event()
        self.metrics = Metrics()
        self.skipped = SkippedValues(self.metrics)
        self.registry = Registry()
        self.paths, self.tunnels = open_paths(
            cfg,
            self.registry,
            lambda: self.peers.known_hosts(),
            lambda host: self.peers.is_host(host),
            clock,
            self.metrics,
        )
        self._pool = ConnectionPool(http, clock, self.paths)
        self.tracker = UpstreamTracker(clock, self._find_service, self._rng)
        self.dispatcher = Dispatcher(self.tracker, self.registry, self.metrics)
        self._placer = DispatchPlacer(
            cfg.ip,
            cfg.zone,
            clock,
            self.metrics,
            self.tracker,
            self.dispatcher,
            self.registry,
            self._rng.getrandbits(32),
            cfg.capacity,
        )
        self._placer.handover.filter_outcomes(self.paths.reports.report)
        self.stored = StoredState(
            cfg,
            store,
            self.registry,
            self.tracker.crashes,
            lambda: self.feed.table,
            clock,
            self._rng,
            self.skipped,
        )
        self.peers = PeerLink(
            Address(cfg.ip, cfg.peer_port),
            store,
            clock,
            self.metrics,
            self._rng,
            self._placer,
            self.dispatcher,
            self.tracker,
            self.stored.origins,
            self.stored.origin_log,
            cfg.capacity,
            self._on_upstream_left,
            self.skipped,
        )
        self._placer.connect(self.peers)
        self.tracker.brittleness.connect(cfg.ip, self.peers, self.metrics)
        self.peers.subscribe('load', self._placer.handover.loads.handle)
        self.stored.connect(self.peers)
        self.relayed_store = RelayedStore(
            store, cfg.ip, cfg.peer_port, clock, self.metrics, cfg.capacity
        )
        self.relayed_store.known_hosts = self.peers.known_hosts
        self.store_prober = StoreProber(
            store,
            clock,
            self.peers.lease,
            lambda: self.feed.last_contact_at,
            lambda: self.feed.era(),
            self.peers.renew_registration,
        )
        self.mirror = Mirror(
            lambda: self.feed.staleness_s(),
            self.store_prober.since_contact_s,
            _is_urgent,
        )
        self.feed = StateFeed(
            self.relayed_store,
            state,
            self.registry,
            clock,
            self.metrics,
            self._rng,
            self._on_upstream_changes,
            self._apply_other_items,
            self.mirror,
            self._on_store_restored,
            self.skipped,
        )
        self._store_confirmer = StoreConfirmer(
            store,
            state.root,
            self.feed,
            clock,
            self.metrics,
            _is_urgent,
            self.stored.origin_log.apply_items,
        )
        self._crash_reporter = CrashReporter(
            self.tracker.crashes,
            self.peers,
            cfg.ip,
            self._placer.handover.dispatcher,
        )
        self._restored_table = RestoredTable(
            self.feed, self.peers, cfg.peer_port, clock, self._rng
        )
        self.duties = Duties(
            cfg,
            duty_port,
            store,
            self.peers,
            self.feed.era,
            self._rng.getrandbits(53),
            clock,
            self.metrics,
            self.skipped,
        )
        self.autoscaler = Autoscaler(
            cfg.ip, self.registry, self.feed, clock, self.metrics, self._rng
        )
        self._forwarder = Forwarder(
            self.feed,
            self.registry,
            StreamResumption(
                self.stored.origins,
                self.stored.software,
                self.feed,
                self._store_confirmer,
                self.registry,
            ),
            self._pool,
            self._placer,
            http,
            clock,
            self.metrics,
            cfg.retry_budget_limits,
            self.peers.host_count,
            cfg.max_key_staleness_s,
            self._rng,
            self.autoscaler.counts,
            self.duties.counter,
        )
        self.callers = CallerServer(
            cfg.callers,
            self._forwarder,
            clock,
            self.metrics,
            self._caller_limits,
            CallerAccount(cfg.caller_memory_bytes, clock, self.metrics),
            cfg.descriptors - RESERVED_DESCRIPTORS,
            listener,
        )
        self._readiness_server = HttpServer(
            cfg.readiness,
            build_readiness_app(self.not_ready, self._failing_work),
            ServerTimeouts(),
            OPERATOR_CONNECTIONS,
            self._operator_account('readiness'),
        )
        self._status_server = HttpServer(
            cfg.metrics,
            build_metrics_app(self.metrics, self.dump),
            ServerTimeouts(),
            OPERATOR_CONNECTIONS,
            self._operator_account('operator'),
        )
        self._mirror_server = HttpServer(
            Address(cfg.ip, cfg.peer_port),
            build_mirror_app(self.mirror),
            ServerTimeouts(),
        )
        self._background: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Open the listeners and start to follow the store.

        :raises SettingsError: an address cannot be used
        """
        cfg = self._cfg
        self._start_listener('readiness', self._readiness_server.start)
        self._start_listener('metrics', self._status_server.start)
        self._start_listener('peer_port', self._mirror_server.start)
        self._start_listener('relay_port', self.tunnels.start)
        self._start_listener('callers', self.callers.listen)
        self._background = [
            gevent.spawn(self._accept_callers),
            gevent.spawn(self.feed.run),
            gevent.spawn(run_repeatedly, 'sweep', self._sweep, self.metrics),
            gevent.spawn(run_repeatedly, 'paths', self.paths.step, self.metrics),
            gevent.spawn(
                run_repeatedly,
                'restored_table',
                self._restored_table.step,
                self.metrics,
            ),
            *(
                gevent.spawn(run_repeatedly, name, step, self.metrics)
                for name, step in self.stored.work().items()
            ),
            gevent.spawn(
                run_repeatedly,
                'store_prober',
                lambda: self.store_prober.step(self.mirror),
                self.metrics,
            ),
            gevent.spawn(
                run_repeatedly,
                'crash_reports',
                self._crash_reporter.step,
                self.metrics,
            ),
            *self.autoscaler.start(self.duties, self.peers, cfg.duties),
            *self.duties.start(),
        ]
        self._start_listener('peer_port', self._start_peers)
        log_event('started', zone=cfg.zone, callers=str(cfg.callers))

    def request_stop(self) -> None:
        """Begin the graceful stop; further calls have no effect."""
        self._stopping.set()

    def wait(self) -> None:
        """Run until the graceful stop is complete."""
        self._stopping.wait()
        began = self._clock.monotonic()
        cutoff_at = began + self._cfg.grace_s - CUTOFF_MARGIN_S
        log_event('stopping', busy=self.callers.busy_connections)
        self.callers.begin_drain()
        gevent.spawn(self.duties.release)
        self.tunnels.begin_drain()
        self.peers.leave()
        self._forwarder.begin_drain(cutoff_at)
        gevent.sleep(min(READINESS_LAG_S, self._cfg.grace_s / 2))
        self.callers.close_idle()
        while self._clock.monotonic() < cutoff_at and (
            self.callers.busy_connections or self.tunnels.is_busy()
        ):
            gevent.sleep(DRAIN_POLL_S)
        self.callers.stop_accepting()
        self._serve_last_connections(cutoff_at)
        log_event('stopped', cut_off=self.callers.busy_connections)
        self.callers.cut_off()
        self.duties.send_last_counts()
        gevent.sleep(CUTOFF_S)
        self.tunnels.kill()
        gevent.killall(self._background, block=False)

    def kill(self) -> None:
        """End at once, as in a crash."""
        gevent.killall(self._background, block=False)
        self.peers.close()
        self.callers.kill()
        self.tunnels.kill()
        for server in (
            self._readiness_server,
            self._status_server,
            self._mirror_server,
        ):
            server.stop(timeout=0)

    def reload(self) -> None:
        """Log that the settings file changed; new addresses need a restart."""
        log_event('reloaded')

    def not_ready(self) -> str | None:
        """Return why the host isn't ready for callers, or ``None``."""
        if self._stopping.is_set():
            return 'stopping'
        if self.feed.table is None:
            return 'no configuration'
        if self.feed.staleness_s() >= self._cfg.max_key_staleness_s:
            return 'configuration may be old'
        return None

    def _failing_work(self) -> dict[str, dict[str, Any]]:
        """Return the repeated work whose latest step failed."""
        failing = self.metrics.work_failures.failing()
        return {work: entry._asdict() for work, entry in failing.items()}

    def dump(self) -> dict[str, Any]:
        """Return the whole state as JSON-compatible values."""
        table = self.feed.table
        return {
            'host': self._cfg.host,
            'not_ready': self.not_ready(),
            'version': table.version if table else None,
            'table_age_s': self.feed.staleness_s(),
            'upstreams': [entry._asdict() for entry in self.registry.all()],
            'caller_connections': self.callers.open_connections,
            'hosts': self.peers.host_count(),
            'upstream_books': self.tracker.dump(),
            'quarantined_parts': [
                entry._asdict() for entry in self.tracker.crashes.quarantined()
            ],
            'software_last_registered_s': self.stored.software.dump(),
            'stream_origins': self.stored.origins.size(),
            'duties': self.duties.dump(),
            'upstream_orders': self.autoscaler.dump(),
            'idle_upstream_connections': self._pool.size(),
            'paths': self.paths.dump() | {'relaying': self.tunnels.active},
            'failing_work': self._failing_work(),
            'skipped_values': self.skipped.dump(),
            'counters': self.metrics.dump(),
        }

    def log_dump(self) -> None:
        """Write the whole state to the log."""
        log_event('dump', state=json.loads(json.dumps(self.dump(), default=str)))

    def _serve_last_connections(self, cutoff_at: float) -> None:
        """Serve the requests that arrived since the idle connections were closed."""
        gevent.sleep(DRAIN_POLL_S)  # connections accepted last are not open before
        while self.callers.open_connections and self._clock.monotonic() < cutoff_at:
            self.callers.close_idle()
            gevent.sleep(DRAIN_POLL_S)

    def _caller_limits(self) -> CallerLimits:
        table = self.feed.table
        return table.limits if table is not None else CallerLimits()

    def _operator_account(self, name: str) -> CallerAccount:
        """Return an account of one address, whose connections yield to each other."""
        return CallerAccount(OPERATOR_BYTES, SystemClock(), self.metrics, name)

    def _find_service(self, name: str) -> Service | None:
        table = self.feed.table
        return table.services.get(name) if table is not None else None

    def _on_upstream_changes(self, changes: Iterable[UpstreamChange]) -> None:
        usable = self.registry.all()
        incarnations = {entry.incarnation for entry in usable}
        self._attempt_all(
            ('retain_connections', lambda: self._pool.retain(incarnations)),
            ('retain_paths', self.paths.retain),
            ('retain_books', lambda: self.tracker.retain_upstreams(usable)),
            ('place_again', self._placer.upstreams_changed),
            (
                'retain_loads',
                lambda: self._placer.handover.loads.retain(incarnations),
            ),
            ('software_changed', self.stored.software.registry_changed),
        )

    def _attempt_all(self, *steps: tuple[str, Callable[[], None]]) -> None:
        """Run steps that do not depend on one another, also if one of them fails."""
        for name, step in steps:
            attempt(name, step, self.metrics)

    def _apply_other_items(self, others: OtherItems) -> None:
        self._attempt_all(
            ('host_entries', lambda: self.peers.apply_host_entries(others)),
            *(
                (name, functools.partial(apply, others))
                for name, apply in self.stored.readers().items()
            ),
            ('duty_entries', lambda: self.duties.apply_items(others)),
        )

    def _on_store_restored(self) -> None:
        """Write again what the store may have lost."""
        self._attempt_all(
            ('renew_registration', self.peers.renew_registration),
            ('write_origins_again', self.stored.origins.write_again),
        )

    def _on_upstream_left(self, incarnation: Incarnation) -> None:
        for upstream in self.registry.all():
            if upstream.incarnation == incarnation:
                self.feed.mark_left(upstream, 'left')

    def _start_peers(self) -> None:
        self._background += self.peers.start()

    def _accept_callers(self) -> None:
        """Accept callers once there is a routing table, or after a timeout.

        Without a table, callers get an error that states the reason.
        """
        deadline = self._clock.monotonic() + FIRST_TABLE_TIMEOUT_S
        while self.feed.table is None and self._clock.monotonic() < deadline:
            gevent.sleep(START_POLL_S)
        self.callers.start()

    def _sweep(self) -> None:
        gevent.sleep(SWEEP_INTERVAL_S)
        self._attempt_all(
            ('expire_entries', self.feed.expire),
            ('expire_connections', self._pool.close_expired),
            ('report_loads', self._placer.handover.loads.step),
            ('expire_tunnels', self.tunnels.sweep),
        )

    def _start_listener(self, key: str, start: Callable[[], None]) -> None:
        try:
            start()
        except OSError as exc:
            code = ResultCode.ADDRESS_INVALID
            if exc.errno == errno.EADDRINUSE:
                code = ResultCode.ADDRESS_IN_USE
            raise SettingsError(f'{key}: {exc.strerror or exc}', code) from exc


def _is_urgent(key: str) -> bool:
    """Return whether hosts that read through others wait for changes of a key."""
    return not (is_origin_entry(key) or is_usage_record(key))
