"""The node process: creates its tasks and servers, runs them and stops them."""

from __future__ import annotations

import errno
import json
import random
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from loguru import logger

from rosemaryseam.common.addresses import parse_address
from rosemaryseam.common.calleraccount import CallerAccount
from rosemaryseam.common.errors import ResultCode, SettingsError
from rosemaryseam.common.inspection import DumpResource, MetricsResource
from rosemaryseam.common.keyvalue import open_key_value_store
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.wsgi import HttpServer, ServerTimeouts
from rosemaryseam.node import messages
from rosemaryseam.node.admin import (
    CatalogueResource,
    HealthResource,
    build_admin_application,
)
from rosemaryseam.node.claims import ClaimRegistry
from rosemaryseam.node.dispatcher import CatalogueChanged, DispatcherTask
from rosemaryseam.node.gateway.application import build_application
from rosemaryseam.node.gateway.apps import AppResource
from rosemaryseam.node.gateway.calls import CallRunner
from rosemaryseam.node.gateway.completions import CompletionResource, ModelResource
from rosemaryseam.node.gateway.requestids import RequestIdGenerator
from rosemaryseam.node.grants import GrantTask
from rosemaryseam.node.hostlist import open_host_list
from rosemaryseam.node.loadreports import open_load_report_reader
from rosemaryseam.node.member import (
    ENDED,
    LEAVING,
    STARTING,
    MembershipView,
    MemberTask,
    SetRevision,
    SetState,
)
from rosemaryseam.node.pollers import HostListPoller, LoadReportPoller
from rosemaryseam.node.replica import ReplicaTask
from rosemaryseam.node.transport import TcpTransport
from rosemaryseam.node.upstreams.http import open_upstream_client
from rosemaryseam.policy.retry import RetryBudget

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.node.settings import Settings
    from rosemaryseam.node.tasks import Task

OPERATOR_CONNECTIONS = 64
OPERATOR_BYTES = 8_388_608  # of memory for them
LAST_HEARTBEAT_DELAY_S = 0.1  # lets the last heartbeats be sent before closing
DRAIN_IDLE_TIMEOUT_S = 5.0  # for connections that stay open after draining

_TASK_NAMES = {
    messages.Heartbeat: 'member',
    messages.CatalogueOffer: 'replica',
    messages.CatalogueWant: 'replica',
    messages.GrantRequest: 'dispatcher',
    messages.Withdraw: 'dispatcher',
    messages.Release: 'dispatcher',
    messages.Holdings: 'dispatcher',
    messages.LeaseAck: 'dispatcher',
    messages.Superseded: 'dispatcher',
    messages.Grant: 'grants',
    messages.Refusal: 'grants',
    messages.NotOwner: 'grants',
    messages.Preempt: 'grants',
    messages.Takeover: 'grants',
    messages.Lease: 'grants',
}


def task_name_for(message: messages.Message) -> str:
    """Return the name of the task that handles a message from a peer.

    :param message: message from a peer
    """
    return _TASK_NAMES[type(message)]


class Node:
    """One node with its tasks, pollers, gateway and admin server.

    :param cfg: settings of the node
    :param clock: clock of the process
    :param settings_path: path of the settings file, for error messages
    """

    def __init__(self, cfg: Settings, clock: Clock, settings_path: str) -> None:
        self._cfg = cfg
        self._clock = clock
        self._settings_path = settings_path
        self._incarnation = int(clock.now().timestamp() * 1000)
        self._rng = random.Random(f'{cfg.host}-{self._incarnation}')
        self._stopping = Event()
        self._view: MembershipView | None = None
        self.metrics = Metrics()
        self._transport = TcpTransport(
            cfg.host,
            self._incarnation,
            self._deliver,
            self._on_connection_refused,
            self.metrics,
        )
        self._member = self._build_member()
        self._dispatcher = DispatcherTask(
            clock, self.metrics, cfg.timing, cfg.bounds, cfg.host, self._transport
        )
        self._grants = GrantTask(
            clock,
            self.metrics,
            cfg.timing,
            cfg.host,
            self._incarnation,
            self._transport,
        )
        self._store = open_key_value_store(
            parse_address(cfg.key_value), cfg.timing.key_value_s
        )
        self._replica = ReplicaTask(
            clock,
            self.metrics,
            cfg.timing,
            cfg.host,
            self._store,
            self._transport,
            self._rng,
            self._on_catalogue_changed,
        )
        self._tasks: dict[str, Task] = {
            'member': self._member,
            'replica': self._replica,
            'dispatcher': self._dispatcher,
            'grants': self._grants,
        }
        self._gateway = self._build_gateway()
        self._admin = self._build_admin()
        self._pollers: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Open the listening ports and start all tasks and pollers.

        :raises SettingsError: an address of the settings cannot be used
        """
        cfg = self._cfg
        peer_address = parse_address(cfg.peer_listen)
        self._open_listener('peer_listen', lambda: self._transport.listen(peer_address))
        self._open_listener('admin_listen', self._admin.start)
        self._open_listener('listen', self._gateway.start)
        for task in self._tasks.values():
            task.start()
        self._pollers = [gevent.spawn(poller.run) for poller in self._build_pollers()]
        logger.info('host {} started, accepts requests at {}', cfg.host, cfg.listen)

    def request_stop(self) -> None:
        """Begin the graceful stop; repeated calls have no effect."""
        self._stopping.set()

    def wait(self) -> None:
        """Run until the graceful stop is complete."""
        self._stopping.wait()
        logger.info('host {} is leaving', self._cfg.host)
        self._member.post(SetState(LEAVING))
        self._gateway.begin_drain()
        gevent.sleep(self._cfg.timing.drain_s)
        self._gateway.close_listener()
        self._gateway.close_idle_connections(DRAIN_IDLE_TIMEOUT_S)
        self._gateway.wait_connections_closed()
        self._member.post(SetState(ENDED))
        gevent.sleep(LAST_HEARTBEAT_DELAY_S)
        self._close()
        logger.info('host {} stopped', self._cfg.host)

    def dump(self) -> dict[str, Any]:
        """Return the state of all parts in JSON types."""
        return {
            'host': self._cfg.host,
            'incarnation': self._incarnation,
            'zone': self._cfg.zone,
            'not_ready': self.not_ready(),
            'connections': self._gateway.connections,
            'requests': self._gateway.requests,
            'member': self._member.dump(),
            'dispatcher': self._dispatcher.dump(),
            'grants': self._grants.dump(),
            'catalogue': self._replica.dump(),
            'counters': self.metrics.dump(),
        }

    def log_dump(self) -> None:
        """Log the output of :meth:`dump`."""
        logger.info('dump {}', json.dumps(self.dump()))

    def not_ready(self) -> str | None:
        """Return the reason why the node is not ready, ``None`` if it is."""
        if self._stopping.is_set():
            return 'leaving'
        if self._replica.catalogue is None:
            return 'no catalogue'
        if self._view is None or not self._view.has_majority:
            return 'no majority'
        return None

    def _close(self) -> None:
        gevent.killall(self._pollers, block=False)
        for task in self._tasks.values():
            task.stop()
        self._admin.stop(timeout=0)
        self._transport.close()

    def _open_listener(self, key: str, start: Callable[[], None]) -> None:
        try:
            start()
        except OSError as exc:
            code = ResultCode.ADDRESS_INVALID
            if exc.errno == errno.EADDRINUSE:
                code = ResultCode.ADDRESS_IN_USE
            value = getattr(self._cfg, key)
            message = f'{self._settings_path}: {key}: {value}: {exc.strerror or exc}'
            raise SettingsError(message, code) from exc

    # Delivery of messages to the tasks.

    def _deliver(self, received: messages.Received) -> None:
        self._tasks[task_name_for(received.message)].post(received)

    def _on_connection_refused(self, refused: Any) -> None:
        self._member.post(refused)

    def _on_view(self, view: MembershipView) -> None:
        self._view = view
        self._dispatcher.post(view)
        self._grants.post(view)
        self._replica.post(view)

    def _on_catalogue_changed(self, message: CatalogueChanged) -> None:
        self._dispatcher.post(message)
        self._grants.post(message)
        self._member.post(SetRevision(message.revision))

    def _has_ended(self, host: str, incarnation: int) -> bool:
        """Return whether a host's process of an incarnation is known to have ended."""
        if self._view is None:
            return False
        for peer in self._view.peers:
            if peer.host == host:
                newer = peer.incarnation > incarnation
                return newer or (
                    peer.incarnation == incarnation and peer.state == ENDED
                )
        return False

    # Construction of the parts.

    def _build_member(self) -> MemberTask:
        cfg = self._cfg
        address = cfg.peer_advertise or cfg.peer_listen
        local_member = messages.MemberInfo(
            cfg.host, self._incarnation, cfg.zone, address, STARTING
        )
        return MemberTask(
            self._clock,
            self.metrics,
            cfg.timing,
            self._transport,
            self._rng,
            local_member,
            cfg.seeds,
            self._on_view,
        )

    def _build_gateway(self) -> HttpServer:
        cfg = self._cfg
        claims = ClaimRegistry(
            self._store,
            self._clock,
            self.metrics,
            cfg.host,
            self._incarnation,
            cfg.bounds.kept_answer_bytes,
            self._has_ended,
        )
        runner = CallRunner(
            self._clock,
            self.metrics,
            cfg.timing,
            self._grants,
            self._replica,
            open_upstream_client(),
            RetryBudget(),
            self._member.post,
        )
        ids = RequestIdGenerator(cfg.host, self._incarnation)
        application = build_application(
            CompletionResource(self._replica, runner, cfg.bounds, ids),
            ModelResource(self._replica),
            AppResource(self._replica, runner, claims, cfg.bounds, ids),
            self.metrics,
        )
        bounds = ServerTimeouts(
            cfg.bounds.idle_connection_s, cfg.bounds.head_s, cfg.bounds.send_s
        )
        return HttpServer(
            parse_address(cfg.listen),
            application,
            bounds,
            cfg.bounds.connections,
            CallerAccount(cfg.bounds.memory_bytes, self._clock, self.metrics),
            cfg.bounds.head_bytes,
        )

    def _build_admin(self) -> HttpServer:
        application = build_admin_application(
            self._cfg.admin_token,
            HealthResource(self.not_ready),
            MetricsResource(self.metrics),
            DumpResource(self.dump),
            CatalogueResource(self._replica),
        )
        address = parse_address(self._cfg.admin_listen)
        return HttpServer(
            address,
            application,
            ServerTimeouts(),
            OPERATOR_CONNECTIONS,
            CallerAccount(OPERATOR_BYTES, self._clock, self.metrics, 'operator'),
        )

    def _build_pollers(self) -> list[HostListPoller | LoadReportPoller]:
        timing = self._cfg.timing
        host_list = open_host_list(
            parse_address(self._cfg.host_list), timing.key_value_s
        )
        report_reader = open_load_report_reader(timing.upstream_connect_s)
        return [
            HostListPoller(
                host_list,
                self._member,
                self._replica,
                self.metrics,
                timing.host_list_poll_s,
                self._rng,
            ),
            LoadReportPoller(
                report_reader,
                self._dispatcher,
                self._replica,
                self.metrics,
                timing.load_report_poll_s,
                self._rng,
            ),
        ]


def build_node(cfg: Settings, clock: Clock, settings_path: str) -> Node:
    """Create a node without starting it.

    :param cfg: settings of the node
    :param clock: clock of the process
    :param settings_path: path of the settings file, for error messages
    """
    return Node(cfg, clock, settings_path)
