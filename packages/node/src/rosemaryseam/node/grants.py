"""The gateway's grant task: requests grants from dispatchers and tracks them."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

import gevent
from gevent.event import AsyncResult

from rosemaryseam.common.errors import RequestError, ResultCode
from rosemaryseam.node.assignment import assign_partitions, plan_partitions
from rosemaryseam.node.dispatcher import CatalogueChanged
from rosemaryseam.node.member import MembershipView
from rosemaryseam.node.messages import (
    Ceiling,
    Epoch,
    Grant,
    GrantRequest,
    Held,
    Holdings,
    Lease,
    LeaseAck,
    NotOwner,
    Preempt,
    Received,
    Refusal,
    Release,
    Superseded,
    Takeover,
    Withdraw,
)
from rosemaryseam.node.tasks import Task
from rosemaryseam.node.tickets import HeldGrant, Outcome, RunningCall, Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.node.assignment import PartitionPlan
    from rosemaryseam.node.settings import Timing
    from rosemaryseam.node.transport import Transport

TICK_S = 0.05
MINORITY_RETRY_AFTER_S = 1.0
REPORT_INTERVAL_S = 1.0  # between periodic reports of holdings to a dispatcher
# Time past a class's longest wait after which no dispatcher is expected to answer.
NO_DISPATCHER_GRACE_S = 1.0


class _Acquire(NamedTuple):
    key: str
    ticket: Ticket
    result: AsyncResult


class _ReleaseGrant(NamedTuple):
    grant: HeldGrant
    outcome: Outcome


class _Cancel(NamedTuple):
    key: str


class _Attach(NamedTuple):
    key: str
    call: RunningCall


class _Waiter:
    def __init__(
        self, ticket: Ticket, partition: str, result: AsyncResult, wait_began: float
    ) -> None:
        self.ticket = ticket
        self.wait_began = wait_began
        self.partition = partition
        self.result = result
        self.sent_at = float('-inf')


class GrantTask(Task):
    """Tracks the waiting requests and the grants in use of this host.

    :param host: name of this host
    :param incarnation: incarnation of this process, which is part of each key
    :param transport: delivers messages to the dispatchers
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        timing: Timing,
        host: str,
        incarnation: int,
        transport: Transport,
    ) -> None:
        super().__init__(clock, metrics, TICK_S)
        self._timing = timing
        self._host = host
        self._keys = (f'{host}-{incarnation}-{n}' for n in itertools.count(1))
        self._transport = transport
        self._view: MembershipView | None = None
        self._plans: dict[str, PartitionPlan] = {}
        self._assigned: dict[str, str | None] = {}
        self._waiting: dict[str, _Waiter] = {}
        self._held: dict[str, HeldGrant] = {}
        self._calls: dict[str, RunningCall] = {}
        self._promised: dict[str, Epoch] = {}
        self._sequences: dict[str, int] = {}
        self._ceilings: dict[str, tuple[Ceiling, ...]] = {}
        self._reported_at = 0.0
        self._minority_since: float | None = None

    # Called by request greenlets.

    def acquire(self, ticket: Ticket) -> HeldGrant:
        """Wait for a grant and return it.

        :param ticket: parameters of the request
        :raises RequestError: the request is refused or has waited too long
        """
        key, result = self.request(ticket)
        waited = self.clock.monotonic() - ticket.arrived
        left = ticket.max_wait_s if ticket.resumed else ticket.max_wait_s - waited
        timeout = max(0.0, left) + NO_DISPATCHER_GRACE_S
        try:
            grant = result.get(timeout=timeout)
        except gevent.Timeout as exc:
            self.cancel(key)
            message = 'no dispatcher answered in time'
            raise RequestError(message, ResultCode.NOT_READY, 1.0) from exc
        except BaseException:
            self.cancel(key)
            raise
        return grant

    def request(self, ticket: Ticket) -> tuple[str, AsyncResult]:
        """Queue a request and return its key and the future result with its grant.

        :param ticket: parameters of the request
        """
        key = next(self._keys)
        result = AsyncResult()
        self.post(_Acquire(key, ticket, result))
        return key, result

    def cancel(self, key: str) -> None:
        """Cancel a request, or release its grant unused.

        :param key: key that :meth:`request` returned
        """
        self.post(_Cancel(key))

    def release(self, grant: HeldGrant, outcome: Outcome) -> None:
        """Release a grant.

        :param grant: grant that :meth:`acquire` returned
        :param outcome: how the call ended
        """
        self.post(_ReleaseGrant(grant, outcome))

    def attach(self, grant: HeldGrant, call: RunningCall) -> None:
        """Record which call uses a grant.

        :param grant: grant in use
        :param call: call to query for its progress and to preempt
        """
        self.post(_Attach(grant.key, call))

    # The task.

    @property
    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """Handler of each type of message."""
        return {
            _Acquire: self._on_acquire,
            _ReleaseGrant: self._on_release_grant,
            _Cancel: self._on_cancel,
            _Attach: self._on_attach,
            Received: self._on_received,
            MembershipView: self._on_view,
            CatalogueChanged: self._on_catalogue,
        }

    def tick(self) -> None:
        """Resend waiting requests and report holdings."""
        now = self.clock.monotonic()
        if self._is_in_minority(now):
            self._refuse_waiting()
        for key, waiter in self._waiting.items():
            if now - waiter.sent_at >= self._timing.resend_s:
                self._send_request(key, waiter)
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            for partition, epoch in self._promised.items():
                self._report_holdings(partition, epoch)

    def dump(self) -> dict[str, Any]:
        """Return waiting requests, grants in use and promised epochs as JSON types."""
        return {
            'waiting': {key: waiter.partition for key, waiter in self._waiting.items()},
            'held': {key: grant.upstream for key, grant in self._held.items()},
            'promised': {name: list(epoch) for name, epoch in self._promised.items()},
            'assigned': dict(self._assigned),
        }

    def _on_view(self, view: MembershipView) -> None:
        self._view = view
        if view.has_majority:
            self._minority_since = None
        elif self._minority_since is None:
            self._minority_since = self.clock.monotonic()
        self._assign()

    def _is_in_minority(self, now: float) -> bool:
        """Return whether the majority has been lost for the silence interval.

        Within that interval, silent connections are replaced.
        """
        since = self._minority_since
        return since is not None and now - since >= self._timing.silence_s

    def _refuse_waiting(self) -> None:
        """Refuse all waiting requests at once, as this host cannot serve them now."""
        for key, waiter in list(self._waiting.items()):
            waiter.result.set_exception(_minority_error())
            self._on_cancel(_Cancel(key))

    def _on_catalogue(self, message: CatalogueChanged) -> None:
        self._plans = plan_partitions(message.catalogue)
        self._assign()

    def _assign(self) -> None:
        if self._view is None:
            return
        before = self._assigned
        self._assigned = assign_partitions(self._plans, self._view)
        for key, waiter in self._waiting.items():
            name = waiter.partition
            if before.get(name) != self._assigned.get(name):
                self._send_request(key, waiter)

    def _on_acquire(self, message: _Acquire) -> None:
        if self._view is None or self._is_in_minority(self.clock.monotonic()):
            message.result.set_exception(_minority_error())
            return
        partition = self._pick_partition(message.ticket.pool, message.key)
        if partition is None:
            text = f'no upstreams in pool {message.ticket.pool!r}'
            message.result.set_exception(
                RequestError(text, ResultCode.NO_UPSTREAM, 5.0)
            )
            return
        wait_began = message.ticket.arrived
        if message.ticket.resumed:
            wait_began = self.clock.monotonic()
        waiter = _Waiter(message.ticket, partition, message.result, wait_began)
        self._waiting[message.key] = waiter
        self._send_request(message.key, waiter)

    def _pick_partition(self, pool: str, key: str) -> str | None:
        names = [
            plan.name
            for plan in self._plans.values()
            if plan.pool == pool and plan.upstreams
        ]
        return names[hash(key) % len(names)] if names else None

    def _send_request(self, key: str, waiter: _Waiter) -> None:
        owner = self._assigned.get(waiter.partition)
        if owner is None:
            return
        now = self.clock.monotonic()
        waiter.sent_at = now
        ticket = waiter.ticket
        request = GrantRequest(
            key,
            waiter.partition,
            ticket.request_class,
            ticket.workspace,
            tuple(sorted(ticket.excluded)),
            ticket.prefix,
            int((now - ticket.arrived) * 1000),
            int((now - waiter.wait_began) * 1000),
        )
        self._transport.send(owner, request)

    def _on_cancel(self, message: _Cancel) -> None:
        waiter = self._waiting.pop(message.key, None)
        if waiter is not None:
            self._send_to_dispatcher(
                waiter.partition, Withdraw(message.key, waiter.partition)
            )
        grant = self._held.get(message.key)
        if grant is not None:
            self._on_release_grant(_ReleaseGrant(grant, Outcome('unused')))

    def _on_release_grant(self, message: _ReleaseGrant) -> None:
        grant = message.grant
        self._calls.pop(grant.key, None)
        if self._held.pop(grant.key, None) is None:
            return
        duration = self.clock.monotonic() - grant.since
        outcome = message.outcome
        release = Release(
            grant.key,
            grant.partition,
            grant.upstream,
            outcome.name,
            int(max(0.0, outcome.first_token_s) * 1000),
            outcome.events,
            int(duration * 1000),
        )
        self._send_to_dispatcher(grant.partition, release)

    def _on_attach(self, message: _Attach) -> None:
        if message.key in self._held:
            self._calls[message.key] = message.call

    def _send_to_dispatcher(self, partition: str, message: Any) -> None:
        promised = self._promised.get(partition)
        if promised is not None:
            self._transport.send(promised.host, message)

    def _on_received(self, received: Received) -> None:
        handle = {
            Grant: self._on_grant,
            Refusal: self._on_refusal,
            NotOwner: self._on_not_owner,
            Preempt: self._on_preempt,
            Takeover: self._on_takeover,
            Lease: self._on_lease,
        }[type(received.message)]
        handle(received.host, received.message)

    def _on_grant(self, host: str, grant: Grant) -> None:
        reason = self._reject_reason(grant)
        if grant.epoch == self._promised.get(grant.partition):
            seen = self._sequences.get(grant.partition, 0)
            self._sequences[grant.partition] = max(seen, grant.sequence)
        if grant.key in self._held:
            return
        if reason is not None:
            self.metrics.count('grants_rejected', reason=reason)
            release = Release(
                grant.key, grant.partition, grant.upstream, 'unused', 0, 0, 0
            )
            self._transport.send(host, release)
            return
        waiter = self._waiting.pop(grant.key)
        held = HeldGrant(
            grant.key,
            grant.partition,
            grant.upstream,
            waiter.ticket.request_class,
            waiter.ticket.workspace,
            self.clock.monotonic(),
        )
        self._held[grant.key] = held
        waiter.result.set(held)

    def _reject_reason(self, grant: Grant) -> str | None:
        """Return why a grant may not be used, or ``None`` when it may."""
        waiter = self._waiting.get(grant.key)
        if waiter is None:
            return 'not_waiting'
        if grant.epoch != self._promised.get(grant.partition):
            return 'other_epoch'
        if grant.sequence <= self._sequences.get(grant.partition, 0):
            return 'out_of_order'
        if self.clock.monotonic() - waiter.sent_at > self._timing.grant_ttl_s:
            return 'expired'
        return None

    def _on_refusal(self, host: str, refusal: Refusal) -> None:
        waiter = self._waiting.pop(refusal.key, None)
        if waiter is not None:
            waiter.result.set_exception(
                RequestError(
                    refusal.message,
                    ResultCode(refusal.code),
                    refusal.retry_after_ms / 1000,
                )
            )

    def _on_not_owner(self, host: str, message: NotOwner) -> None:
        waiter = self._waiting.get(message.key)
        if waiter is None:
            return
        if self._assigned.get(waiter.partition) != host:
            self._send_request(message.key, waiter)

    def _on_preempt(self, host: str, message: Preempt) -> None:
        call = self._calls.get(message.key)
        if call is not None:
            call.preempt()

    def _on_takeover(self, host: str, message: Takeover) -> None:
        name = message.partition
        promised = self._promised.get(name)
        if promised is not None and message.epoch < promised:
            self._transport.send(host, Superseded(name, promised))
            return
        if promised != message.epoch:
            self._promised[name] = message.epoch
            self._sequences[name] = 0
            if promised is not None and promised.host != host:
                self._transport.send(promised.host, Superseded(name, message.epoch))
        self._report_holdings(name, message.epoch)
        for key, waiter in self._waiting.items():
            if waiter.partition == name and self._assigned.get(name) == host:
                self._send_request(key, waiter)

    def _report_holdings(self, partition: str, epoch: Epoch) -> None:
        held = tuple(
            Held(
                grant.key,
                grant.upstream,
                grant.request_class,
                grant.workspace,
                self._event_count(grant.key),
            )
            for grant in self._held.values()
            if grant.partition == partition
        )
        holdings = Holdings(
            partition,
            epoch,
            self._sequences.get(partition, 0),
            held,
            self._ceilings.get(partition, ()),
            partition in self._ceilings,
        )
        self._transport.send(epoch.host, holdings)

    def _event_count(self, key: str) -> int:
        call = self._calls.get(key)
        return call.event_count if call is not None else 0

    def _on_lease(self, host: str, lease: Lease) -> None:
        promised = self._promised.get(lease.partition)
        if promised is not None and lease.epoch < promised:
            self._transport.send(host, Superseded(lease.partition, promised))
            return
        if lease.epoch != promised:
            return
        self._ceilings[lease.partition] = lease.ceilings
        ack = LeaseAck(lease.partition, lease.epoch, lease.version)
        self._transport.send(host, ack)


def _minority_error() -> RequestError:
    text = 'this host does not see a majority of the fleet'
    return RequestError(text, ResultCode.MINORITY, MINORITY_RETRY_AFTER_S)
