"""The dispatcher task, which runs the partitions assigned to this host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.errors import ResultCode
from rosemaryseam.node.assignment import (
    PartitionConfig,
    assign_partitions,
    plan_partitions,
)
from rosemaryseam.node.member import MembershipView
from rosemaryseam.node.messages import (
    Epoch,
    GrantRequest,
    Holdings,
    LeaseAck,
    NotOwner,
    Received,
    Refusal,
    Release,
    Superseded,
    Withdraw,
)
from rosemaryseam.node.partition import Partition
from rosemaryseam.node.tasks import Task
from rosemaryseam.policy.requests import QueuedRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.catalogue import Catalogue
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.node.assignment import PartitionPlan
    from rosemaryseam.node.settings import Bounds, Timing
    from rosemaryseam.node.transport import Transport

TICK_S = 0.05


class CatalogueChanged(NamedTuple):
    """Notifies a task that a catalogue revision came into force on this host."""

    revision: int
    catalogue: Catalogue


class LoadReported(NamedTuple):
    """Reports the number of requests that wait at an upstream."""

    upstream: str
    waiting: int


class DispatcherTask(Task):
    """Takes over, runs and hands over the partitions assigned to this host.

    :param host: name of this host
    :param transport: delivers messages to the gateways
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        timing: Timing,
        bounds: Bounds,
        host: str,
        transport: Transport,
    ) -> None:
        super().__init__(clock, metrics, TICK_S)
        self._timing = timing
        self._bounds = bounds
        self._host = host
        self._transport = transport
        self._view: MembershipView | None = None
        self._catalogue: Catalogue | None = None
        self._plans: dict[str, PartitionPlan] = {}
        self._partitions: dict[str, Partition] = {}
        self._highest_epochs: dict[str, Epoch] = {}
        self._retry_at: dict[str, float] = {}

    @property
    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """Handler of each type of message."""
        return {
            Received: self._on_received,
            MembershipView: self._on_view,
            CatalogueChanged: self._on_catalogue,
            LoadReported: self._on_load_report,
        }

    @property
    def partition_upstreams(self) -> list[str]:
        """Names of the upstreams in the partitions that this host dispatches."""
        return [
            upstream.name
            for name in self._partitions
            for upstream in self._plans[name].upstreams
        ]

    def tick(self) -> None:
        """Take over and hand over partitions, then run the periodic work of each."""
        self._reassign()
        now = self.clock.monotonic()
        for partition in self._partitions.values():
            partition.tick(now)

    def dump(self) -> dict[str, Any]:
        """Return the state of each partition as JSON types."""
        return {name: entry.dump() for name, entry in self._partitions.items()}

    def _on_received(self, received: Received) -> None:
        handle = {
            GrantRequest: self._on_grant_request,
            Withdraw: self._on_withdraw,
            Release: self._on_release,
            Holdings: self._on_holdings,
            LeaseAck: self._on_ack,
            Superseded: self._on_superseded,
        }[type(received.message)]
        handle(received.host, received.message)

    def _on_view(self, view: MembershipView) -> None:
        self._view = view
        self._update_partitions()

    def _on_catalogue(self, message: CatalogueChanged) -> None:
        self._catalogue = message.catalogue
        self._plans = plan_partitions(message.catalogue)
        self._update_partitions()

    def _on_load_report(self, message: LoadReported) -> None:
        for name, partition in self._partitions.items():
            if any(
                entry.name == message.upstream for entry in self._plans[name].upstreams
            ):
                partition.set_reported_waiting(message.upstream, message.waiting)

    def _on_grant_request(self, host: str, message: GrantRequest) -> None:
        partition = self._partitions.get(message.partition)
        if partition is None:
            not_owner = NotOwner(message.key, message.partition)
            self._transport.send(host, not_owner)
            return
        request = self._queued_request(host, message)
        if request is None:
            code = int(ResultCode.CLASS_NOT_ALLOWED)
            refusal = Refusal(message.key, code, 'unknown class or workspace', 0)
            self._transport.send(host, refusal)
            return
        partition.on_request(request, self.clock.monotonic())

    def _queued_request(self, host: str, message: GrantRequest) -> QueuedRequest | None:
        classes = {entry.name: entry for entry in self._catalogue.classes}
        workspaces = {entry.name: entry for entry in self._catalogue.workspaces}
        request_class = classes.get(message.request_class)
        workspace = workspaces.get(message.workspace)
        if request_class is None or workspace is None:
            return None
        now = self.clock.monotonic()
        arrived = now - message.age_ms / 1000
        wait_began = now - message.waiting_ms / 1000
        due = wait_began + request_class.target.latency_s
        longest_wait_end = wait_began + request_class.max_wait_ms / 1000
        resumed = message.waiting_ms < message.age_ms
        sheds = request_class.on_miss == 'shed' and not resumed
        return QueuedRequest(
            key=message.key,
            host=host,
            request_class=request_class.name,
            tier=request_class.tier,
            workspace=workspace.name,
            weight=workspace.weight,
            arrived=arrived,
            due=due,
            expires_at=min(due, longest_wait_end) if sheds else longest_wait_end,
            floor=request_class.floor,
            shed_on_miss=sheds,
            excluded=frozenset(message.excluded),
            prefix=message.prefix,
        )

    def _on_withdraw(self, host: str, message: Withdraw) -> None:
        partition = self._partitions.get(message.partition)
        if partition is not None:
            partition.on_withdraw(host, message.key, self.clock.monotonic())

    def _on_release(self, host: str, message: Release) -> None:
        partition = self._partitions.get(message.partition)
        if partition is not None:
            partition.on_release(host, message, self.clock.monotonic())

    def _on_holdings(self, host: str, message: Holdings) -> None:
        partition = self._partitions.get(message.partition)
        if partition is not None:
            partition.on_holdings(host, message, self.clock.monotonic())

    def _on_ack(self, host: str, message: LeaseAck) -> None:
        partition = self._partitions.get(message.partition)
        if partition is not None and message.epoch == partition.epoch:
            partition.on_ack(host, message.version, self.clock.monotonic())

    def _on_superseded(self, host: str, message: Superseded) -> None:
        self._record_epoch(message.partition, message.epoch)
        partition = self._partitions.get(message.partition)
        if partition is not None and partition.epoch < message.epoch:
            self._hand_over(message.partition)
            pause = self._timing.heartbeat_s * 2
            self._retry_at[message.partition] = self.clock.monotonic() + pause

    def _record_epoch(self, name: str, epoch: Epoch) -> None:
        self._highest_epochs[name] = max(epoch, self._highest_epochs.get(name, epoch))

    def _update_partitions(self) -> None:
        self._reassign()
        now = self.clock.monotonic()
        for name, partition in self._partitions.items():
            partition.update(self._view, self._config(name), now)

    def _reassign(self) -> None:
        if self._view is None or self._catalogue is None:
            return
        assigned = assign_partitions(self._plans, self._view)
        own = {name for name, host in assigned.items() if host == self._host}
        for name in set(self._partitions) - own:
            self._hand_over(name)
        if not self._view.has_majority:
            return
        for name in own - set(self._partitions):
            if self._retry_at.get(name, 0.0) <= self.clock.monotonic():
                self._take_over(name)

    def _take_over(self, name: str) -> None:
        highest = self._highest_epochs.get(name, Epoch(0, ''))
        wall_ms = int(self.clock.now().timestamp() * 1000)
        epoch = Epoch(max(wall_ms, highest.number + 1), self._host)
        self._record_epoch(name, epoch)
        self._partitions[name] = Partition(
            name,
            epoch,
            self._view,
            self._config(name),
            self._timing,
            self._bounds,
            self.metrics,
            self._transport.send,
            self.clock.monotonic(),
        )

    def _hand_over(self, name: str) -> None:
        partition = self._partitions.pop(name)
        self.metrics.count('partitions_handed_over', partition=name)
        for request in partition.waiting_requests():
            self._transport.send(request.host, NotOwner(request.key, name))

    def _config(self, name: str) -> PartitionConfig:
        classes = {entry.name: entry for entry in self._catalogue.classes}
        return PartitionConfig(self._plans[name].upstreams, classes)
