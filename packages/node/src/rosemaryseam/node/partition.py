"""A partition's state at its dispatcher: queue, grants in use and lease."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from rosemaryseam.common.errors import ResultCode
from rosemaryseam.node.holdings import Holding, HoldingTracker
from rosemaryseam.node.messages import (
    Ceiling,
    Epoch,
    Grant,
    Lease,
    Preempt,
    Refusal,
    Takeover,
)
from rosemaryseam.node.preemptor import Preemptor
from rosemaryseam.node.recovery import Recovery
from rosemaryseam.node.requestqueue import RefusedRequest, RequestQueue
from rosemaryseam.policy.leases import (
    CeilingKey,
    DispatcherLease,
    UpstreamUsage,
    next_ceiling,
)
from rosemaryseam.policy.lengths import LengthPredictor
from rosemaryseam.policy.placement import place
from rosemaryseam.policy.rates import TokenRateLimits
from rosemaryseam.policy.requests import QueuedRequest, UpstreamCapacity

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.node.assignment import PartitionConfig
    from rosemaryseam.node.member import MembershipView
    from rosemaryseam.node.messages import Holdings, Message, Release
    from rosemaryseam.node.settings import Bounds, Timing

LEASE_RENEWAL_SHARE = 0.25  # share of the lease time after which it is renewed
MINORITY_RETRY_AFTER_S = 1.0

COMPLETED_OUTCOME = 'done'  # the whole answer was received
REQUEUED_OUTCOMES = ('preempted', 'unused')  # the request may be queued again

RECOVERING = 'recovering'
CONFIRMING = 'confirming'
SERVING = 'serving'


class Partition:
    """Decides, for one epoch, which request is granted which upstream.

    :param name: name of the partition
    :param epoch: epoch in which this host dispatches the partition
    :param view: membership as this host sees it
    :param config: upstreams and request classes of the partition
    :param send: sends a message to a host
    :param now: seconds on the monotonic clock
    """

    def __init__(
        self,
        name: str,
        epoch: Epoch,
        view: MembershipView,
        config: PartitionConfig,
        timing: Timing,
        bounds: Bounds,
        metrics: Metrics,
        send: Callable[[str, Message], None],
        now: float,
    ) -> None:
        self.name = name
        self.epoch = epoch
        self.phase = RECOVERING
        self._view = view
        self._config = config
        self._timing = timing
        self._metrics = metrics
        self._send = send
        self._queue = RequestQueue(
            timing.starvation_s,
            bounds.queue_length,
            timing.lease_s + timing.resend_s,
        )
        self._holdings = HoldingTracker()
        self._preemptor = Preemptor(self._holdings)
        self._recovery = Recovery(timing.resend_s)
        self._sequences: Counter[str] = Counter()
        self._lease = DispatcherLease(timing.lease_s)
        self._wanted_grants: Counter[CeilingKey] = Counter()
        self._renew_at = now
        self._lease_valid_at = now
        self._reported_waiting: dict[str, int] = {}
        self._length_predictor = LengthPredictor()
        self._token_limits = TokenRateLimits()
        self._set_token_limits(now)
        self._incarnations = {peer.host: peer.incarnation for peer in view.peers}
        self._send_takeover(view.roster)

    def update(self, view: MembershipView, config: PartitionConfig, now: float) -> None:
        """Apply a new membership view or a new catalogue.

        :param view: membership as this host sees it
        :param config: upstreams and request classes of the partition
        :param now: seconds on the monotonic clock
        """
        self._view = view
        self._config = config
        self._set_token_limits(now)
        restarted = self._restarted_hosts(view)
        for host in (self._known_hosts() - view.roster) | restarted:
            self._drop_host(host, now)
        self.grant_waiting(now)

    def set_reported_waiting(self, upstream: str, count: int) -> None:
        """Record the length of an upstream's own queue, from its load report.

        :param upstream: name of the upstream
        :param count: number of requests waiting there
        """
        self._reported_waiting[upstream] = count

    def on_holdings(self, host: str, holdings: Holdings, now: float) -> None:
        """Apply a host's report of the grants that it holds.

        :param host: name of the host that reports
        :param holdings: the report
        :param now: seconds on the monotonic clock
        """
        if holdings.epoch != self.epoch:
            return
        self._reconcile(host, holdings, now)
        self._recovery.record(host, holdings.ceilings, informed=holdings.informed)
        self._holdings.cancel_reservation(host)
        self.grant_waiting(now)

    def on_request(self, request: QueuedRequest, now: float) -> None:
        """Queue a request, or repeat the grant of one that was resent.

        :param request: request as received
        :param now: seconds on the monotonic clock
        """
        holding = self._holdings.get(request.key)
        if holding is not None:
            self._resend_grant(request.key, holding)
            return
        if self._queue.refresh(request, now):
            return
        shed = self._shed_on_arrival(request, now)
        if shed is not None:
            self._refuse(shed)
            return
        self._queue.push(request, now)
        overflow = self._queue.overflow(now)
        if overflow is not None:
            self._refuse(overflow)
        self.grant_waiting(now)

    def on_withdraw(self, host: str, key: str, now: float) -> None:
        """Drop a request that no longer waits, and its grant.

        :param host: name of the host that sent the request
        :param key: key of the request
        :param now: seconds on the monotonic clock
        """
        self._queue.remove(key)
        holding = self._holdings.get(key)
        if holding is not None and holding.host == host:
            self._holdings.remove(key)
            self.grant_waiting(now)

    def on_release(self, host: str, release: Release, now: float) -> None:
        """Free the slot of a call that ended.

        :param host: name of the host that held the grant
        :param release: how the call ended
        :param now: seconds on the monotonic clock
        """
        holding = self._holdings.get(release.key)
        if holding is not None and holding.host == host:
            self._settle_charge(holding, release, now)
            self._holdings.remove(release.key)
            if release.outcome not in REQUEUED_OUTCOMES:
                self._queue.record_drain(now)
            self.grant_waiting(now)

    def on_ack(self, host: str, version: int, now: float) -> None:
        """Record that a host accepted the lease.

        :param host: name of the host
        :param version: version of the accepted announcement
        :param now: seconds on the monotonic clock
        """
        self._lease.acknowledge(host, version, self._view.roster)
        self.grant_waiting(now)

    def tick(self, now: float) -> None:
        """Renew the lease, resend takeovers, and refuse requests whose wait is over.

        :param now: seconds on the monotonic clock
        """
        if self.phase != RECOVERING and now >= self._renew_at:
            self._renew(now)
        self._send_takeover(self._view.reachable - self._recovery.replied)
        self._advance_recovery(now)
        self._holdings.expire(self._longest_run_s(), now)
        self._queue.drop_stale(now)
        for refused in self._queue.expired(now):
            self._refuse(refused)
        self._refuse_without_lease(now)
        self.grant_waiting(now)
        self._preempt(now)

    def waiting_requests(self) -> list[QueuedRequest]:
        """Return the waiting requests, so that another dispatcher can serve them."""
        return list(self._queue)

    def grant_waiting(self, now: float) -> None:
        """Grant upstreams to waiting requests as far as capacity and lease allow.

        :param now: seconds on the monotonic clock
        """
        self._advance_recovery(now)
        if self.phase != SERVING or not len(self._queue):
            return
        if not self._lease.is_valid(self._view.roster, now):
            return
        while self._grant_next(now):
            pass

    def backlog(self) -> dict[int, int]:
        """Return how many requests wait in each tier."""
        return self._queue.backlog()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON types."""
        return {
            'epoch': list(self.epoch),
            'phase': self.phase,
            'waiting': {str(tier): n for tier, n in self._queue.backlog().items()},
            'used': {
                entry.name: self._holdings.in_use(entry.name)
                for entry in self._config.upstreams
            },
            'stranded': {
                host: dict(counts) for host, counts in self._holdings.reserved().items()
            },
            'replied': sorted(self._recovery.replied),
            'lease_version': self._lease.version,
        }

    # Recovery of the state from the reports of the hosts.

    def _send_takeover(self, hosts: Iterable[str]) -> None:
        for host in hosts:
            if host not in self._view.unmet_seeds:
                self._send(host, Takeover(self.name, self.epoch))

    def _advance_recovery(self, now: float) -> None:
        """Enter the next phase when its condition is met.

        First a majority must reply; other reachable hosts get a little more time. The
        ceilings known to the majority bound the grants that the remaining hosts may
        hold. Then a majority must accept a lease whose ceilings include these bounds.
        """
        view = self._view
        if self.phase == RECOVERING and self._recovery.is_complete(
            view.roster, view.reachable, now
        ):
            for host in view.roster - self._recovery.replied:
                self._reserve_capacity(host, now)
            self.phase = CONFIRMING
            self._renew(now)
        if self.phase == CONFIRMING and self._lease.is_valid(view.roster, now):
            self.phase = SERVING
            self._lease_valid_at = now
            self._metrics.count('partitions_taken_over', partition=self.name)

    def _reserve_capacity(self, host: str, now: float) -> None:
        """Reserve capacity for the grants that a silent host may hold."""
        counts: Counter[str] = Counter()
        for entry in self._config.upstreams:
            limit = entry.limits.concurrent
            counts[entry.name] = self._recovery.max_held(
                host, entry.name, limit, self._view.roster
            )
        self._holdings.reserve(host, +counts, now)
        self._metrics.count('hosts_stranded', partition=self.name)

    def _reconcile(self, host: str, holdings: Holdings, now: float) -> None:
        """Reconcile the counted grants of a host with its own report."""
        reported = {entry.key: entry for entry in holdings.held}
        for key, holding in self._holdings.by_host(host):
            settled = holding.sequence <= holdings.sequence
            if settled and key not in reported:
                self._holdings.remove(key)
        for key, entry in reported.items():
            if self._holdings.get(key) is None:
                holding = Holding(
                    host, entry.upstream, entry.request_class, entry.workspace, 0, now
                )
                self._holdings.add(key, holding)
                self._queue.remove(key)
            self._charge_up_to(key, entry.events, now)

    def _longest_run_s(self) -> float:
        return max(entry.max_run_ms for entry in self._config.classes.values()) / 1000

    def _restarted_hosts(self, view: MembershipView) -> set[str]:
        """Return the hosts whose process has been replaced since the last view."""
        now = {peer.host: peer.incarnation for peer in view.peers}
        before = self._incarnations
        self._incarnations = now
        return {host for host in now if before.get(host, now[host]) != now[host]}

    def _known_hosts(self) -> set[str]:
        return self._holdings.hosts() | self._recovery.replied

    def _drop_host(self, host: str, now: float) -> None:
        """Drop the grants, replies and requests of a host whose process has ended."""
        self._holdings.drop_host(host, now)
        self._recovery.drop_host(host)
        self._queue.drop_host(host)
        self._sequences.pop(host, None)

    # The lease and its ceilings.

    def _renew(self, now: float) -> None:
        ceilings = self._ceilings(now)
        version = self._lease.announce(ceilings, now)
        self._renew_at = now + self._timing.lease_s * LEASE_RENEWAL_SHARE
        self._wanted_grants.clear()
        entries = tuple(
            Ceiling(host, upstream, count)
            for (host, upstream), count in ceilings.items()
        )
        lease = Lease(self.name, self.epoch, version, entries)
        for host in self._view.reachable:
            self._send(host, lease)

    def _ceilings(self, now: float) -> dict[CeilingKey, int]:
        """Return the ceilings to announce.

        They lie a little above the grants in use; for silent hosts they are the
        numbers of grants for which capacity is reserved.
        """
        active = self._queue.active_hosts(now)
        held = self._holdings.grant_counts()
        ceilings: dict[CeilingKey, int] = {}
        for host in self._recovery.replied:
            for entry in self._config.upstreams:
                key = (host, entry.name)
                use = UpstreamUsage(held[key], self._wanted_grants[key], host in active)
                ceilings[key] = next_ceiling(use, entry.limits.concurrent)
        for host, counts in self._holdings.reserved().items():
            for upstream, count in counts.items():
                ceilings[host, upstream] = count
        for key, used in held.items():
            ceilings[key] = max(used, ceilings.get(key, 0))
        return ceilings

    def _refuse_without_lease(self, now: float) -> None:
        if self.phase == SERVING and self._lease.is_valid(self._view.roster, now):
            self._lease_valid_at = now
            return
        if self._view.has_majority or now - self._lease_valid_at < self._timing.lease_s:
            return
        for request in list(self._queue):
            message = 'this host does not see a majority of the fleet'
            refused = RefusedRequest(
                request, ResultCode.MINORITY, message, MINORITY_RETRY_AFTER_S
            )
            self._refuse(refused)

    # Granting.

    def _grant_next(self, now: float) -> bool:
        upstreams = self._upstream_capacities(now)
        request = self._queue.next(now, lambda entry: self._fits(entry, upstreams))
        if request is None:
            return False
        allowed = [
            upstream
            for upstream in upstreams
            if self._below_ceiling(request.host, upstream)
        ]
        upstream = place(request, allowed)
        if upstream is None:
            self._raise_ceilings(request, upstreams, now)
            return False
        self._queue.serve(request, now)
        self._sequences[request.host] += 1
        holding = Holding(
            request.host,
            upstream.name,
            request.request_class,
            request.workspace,
            self._sequences[request.host],
            now,
        )
        self._holdings.add(request.key, holding)
        expected = self._length_predictor.mean(request.request_class, request.workspace)
        self._charge_up_to(request.key, expected or 0.0, now)
        self._send_grant(request.key, holding)
        self._metrics.count('grants', request_class=request.request_class)
        self._metrics.observe(
            'grant_wait', now - request.arrived, request_class=request.request_class
        )
        return True

    def _fits(self, request: QueuedRequest, upstreams: list[UpstreamCapacity]) -> bool:
        if request.host not in self._recovery.replied:
            return False
        return any(upstream.free and upstream.serves(request) for upstream in upstreams)

    def _below_ceiling(self, host: str, upstream: UpstreamCapacity) -> bool:
        key = (host, upstream.name)
        return self._holdings.grant_counts()[key] < self._lease.max_grants(
            key, self._view.roster
        )

    def _raise_ceilings(
        self, request: QueuedRequest, upstreams: list[UpstreamCapacity], now: float
    ) -> None:
        """Announce a higher ceiling for a host, unless an announcement is pending."""
        pending = self._lease.version > self._lease.agreed_version(self._view.roster)
        for upstream in upstreams:
            if upstream.free and upstream.serves(request):
                self._wanted_grants[request.host, upstream.name] += 1
        if not pending:
            self._renew(now)

    def _resend_grant(self, key: str, holding: Holding) -> None:
        """Resend a grant whose message may have been lost."""
        self._sequences[holding.host] += 1
        sequence = self._sequences[holding.host]
        self._send_grant(key, self._holdings.update(key, sequence=sequence))

    def _send_grant(self, key: str, holding: Holding) -> None:
        grant = Grant(key, self.name, self.epoch, holding.sequence, holding.upstream)
        self._send(holding.host, grant)

    def _upstream_capacities(self, now: float) -> list[UpstreamCapacity]:
        leaving = self._view.leaving_upstreams
        return [
            UpstreamCapacity(
                entry.name,
                entry.zone,
                frozenset(entry.classes),
                entry.limits.concurrent,
                self._holdings.in_use(entry.name),
                self._reported_waiting.get(entry.name, 0),
                not self._token_limits.is_open(entry.name, now),
                entry.drain or entry.name in leaving,
            )
            for entry in self._config.upstreams
        ]

    # Limits on tokens per second.

    def _set_token_limits(self, now: float) -> None:
        rates = {
            entry.name: entry.limits.tokens_per_second
            for entry in self._config.upstreams
            if entry.limits.tokens_per_second is not None
        }
        self._token_limits.set_rates(rates, now)

    def _charge_up_to(self, key: str, tokens: float, now: float) -> None:
        """Charge the known or expected tokens of a call that are not charged yet."""
        holding = self._holdings.get(key)
        if tokens > holding.charged:
            self._token_limits.charge(holding.upstream, tokens - holding.charged, now)
            self._holdings.update(key, charged=tokens)

    def _settle_charge(self, holding: Holding, release: Release, now: float) -> None:
        """Correct the charge of an ended call to the tokens that it generated."""
        beyond = release.events - holding.charged
        self._token_limits.charge(holding.upstream, beyond, now)
        if release.outcome == COMPLETED_OUTCOME:
            self._length_predictor.record(
                holding.request_class, holding.workspace, release.events
            )

    # Refusals.

    def _shed_on_arrival(
        self, request: QueuedRequest, now: float
    ) -> RefusedRequest | None:
        """Return the refusal of a request that cannot meet its target, or ``None``.

        Preemptible calls of lower tiers count as slots that become free at once.
        """
        if not request.shed_on_miss or any(
            entry.free for entry in self._upstream_capacities(now)
        ):
            return None
        spare = self._preemptor.preemptible_calls(self._config, now)
        lower = [call for call in spare if call.tier > request.tier]
        position = self._queue.position(request) - len(lower)
        wait = self._queue.wait_s(position, now)
        if wait is None or now + wait <= request.due:
            return None
        message = 'the target cannot be met at the present load'
        return RefusedRequest(request, ResultCode.NO_CAPACITY, message, wait)

    def _refuse(self, refused: RefusedRequest) -> None:
        """Remove a request and send its refusal to the caller's gateway."""
        request, code = refused.request, int(refused.code)
        self._queue.remove(request.key)
        retry_after_ms = int(refused.retry_after_s * 1000)
        refusal = Refusal(request.key, code, refused.message, retry_after_ms)
        self._send(request.host, refusal)
        self._metrics.count(
            'sheds', request_class=request.request_class, code=str(code)
        )

    # Preemption.

    def _preempt(self, now: float) -> None:
        """Preempt calls for requests that have waited a share of their target."""
        if self.phase != SERVING or not len(self._queue):
            return
        upstreams = self._upstream_capacities(now)
        for key in self._preemptor.choose_victims(
            self._queue, upstreams, self._config, now
        ):
            holding = self._holdings.update(key, preempted_at=now)
            self._send(holding.host, Preempt(key, self.name))
            self._metrics.count('preemptions', request_class=holding.request_class)
