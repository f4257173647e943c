"""One partition as its dispatcher sees it: queue, grants in use, lease."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any, NamedTuple

from rosemaryseam.common.errors import ResultCode
from rosemaryseam.node.messages import (
    Ceiling,
    Epoch,
    Grant,
    Lease,
    Preempt,
    Refusal,
    Takeover,
)
from rosemaryseam.policy.drain import DrainRate
from rosemaryseam.policy.leases import CeilingKey, LeaseBook
from rosemaryseam.policy.ordering import WaitQueue
from rosemaryseam.policy.placement import place
from rosemaryseam.policy.preemption import Running, choose_victim
from rosemaryseam.policy.quorum import has_majority
from rosemaryseam.policy.requests import Demand, Supply

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from rosemaryseam.common.catalogue import RequestClass, Upstream
    from rosemaryseam.node.member import View
    from rosemaryseam.node.messages import Holdings, Message, Release
    from rosemaryseam.node.metrics import Metrics
    from rosemaryseam.node.settings import Bounds, Timing

MAX_HEADROOM = 2  # grants above those in use that a ceiling leaves open
HEADROOM_DIVISOR = 4  # of a limit; small limits get no headroom
ACTIVE_S = 5.0  # how long after a request a host's ceilings keep their headroom
RENEW_SHARE = 0.25  # of a lease's time after which it is renewed
RETRY_SOON_S = 1.0
PREEMPT_AGAIN_S = 1.0  # after which an unanswered preemption is repeated
PREEMPT_SHARE = 0.25  # of the target that passes before a call is preempted

RECOVERING = 'recovering'
CONFIRMING = 'confirming'
SERVING = 'serving'


class Holding(NamedTuple):
    """A grant in use, or on its way to the host that asked."""

    host: str
    upstream: str
    request_class: str
    sequence: int
    since: float
    preempted_at: float | None = None


class Rules(NamedTuple):
    """What the catalogue says of a partition."""

    upstreams: tuple[Upstream, ...]
    classes: dict[str, RequestClass]


class Partition:
    """Decides, for one epoch, which request gets which upstream.

    :param name: of the partition
    :param epoch: of this dispatcher
    :param view: what this host knows of the fleet
    :param rules: from the catalogue
    :param send: takes a host and a message for it
    """

    def __init__(
        self,
        name: str,
        epoch: Epoch,
        view: View,
        rules: Rules,
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
        self._rules = rules
        self._timing = timing
        self._bounds = bounds
        self._metrics = metrics
        self._send = send
        self._queue = WaitQueue(timing.starvation_s)
        self._refreshed: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}
        self._holdings: dict[str, Holding] = {}
        self._used: Counter[CeilingKey] = Counter()
        self._used_by_upstream: Counter[str] = Counter()
        self._stranded: dict[str, Counter[str]] = {}
        self._stranded_at: dict[str, float] = {}
        self._replied: set[str] = set()
        self._informed: set[str] = set()
        self._reported: Counter[CeilingKey] = Counter()
        self._sequences: Counter[str] = Counter()
        self._lease = LeaseBook(timing.lease_s)
        self._wanted: Counter[CeilingKey] = Counter()
        self._majority_at: float | None = None
        self._renew_at = now
        self._valid_at = now
        self._drain = DrainRate()
        self._waiting: dict[str, int] = {}
        self._incarnations = {peer.host: peer.incarnation for peer in view.peers}
        self._ask(view.roster)

    def update(self, view: View, rules: Rules, now: float) -> None:
        """Take over a new view of the fleet or a new catalogue.

        :param view: what this host knows of the fleet
        :param rules: from the catalogue
        :param now: seconds on the monotonic clock
        """
        self._view = view
        self._rules = rules
        restarted = self._restarted(view)
        for host in (self._known_hosts() - view.roster) | restarted:
            self._forget(host)
        self.pump(now)

    def set_reported_waiting(self, upstream: str, count: int) -> None:
        """Note an upstream's own queue, from its load report.

        :param upstream: its name
        :param count: waiting requests
        """
        self._waiting[upstream] = count

    def on_holdings(self, host: str, holdings: Holdings, now: float) -> None:
        """Take over what a host holds.

        :param host: who reports
        :param holdings: the report
        :param now: seconds on the monotonic clock
        """
        if holdings.epoch != self.epoch:
            return
        for ceiling in holdings.ceilings:
            key = (ceiling.host, ceiling.upstream)
            self._reported[key] = max(self._reported[key], ceiling.count)
        self._reconcile(host, holdings, now)
        self._replied.add(host)
        if holdings.informed:
            self._informed.add(host)
        self._stranded.pop(host, None)
        self._stranded_at.pop(host, None)
        self.pump(now)

    def on_request(self, demand: Demand, now: float) -> None:
        """Queue a request, or answer one that was sent again.

        :param demand: the request
        :param now: seconds on the monotonic clock
        """
        holding = self._holdings.get(demand.key)
        if holding is not None:
            self._send_again(demand.key, holding)
            return
        self._refreshed[demand.key] = now
        self._asked_at[demand.host] = now
        if demand.key in self._queue:
            return
        if self._sheds_on_arrival(demand, now):
            return
        self._queue.push(demand, now)
        self._shed_overflow(now)
        self.pump(now)

    def on_withdraw(self, host: str, key: str, now: float) -> None:
        """Forget a request that no longer waits.

        :param host: who asked
        :param key: the request's key
        :param now: seconds on the monotonic clock
        """
        self._leave_queue(key)
        holding = self._holdings.get(key)
        if holding is not None and holding.host == host:
            self._drop_holding(key)
            self.pump(now)

    def on_release(self, host: str, release: Release, now: float) -> None:
        """Free the slot of a call that ended.

        :param host: who held the grant
        :param release: how the call ended
        :param now: seconds on the monotonic clock
        """
        holding = self._holdings.get(release.key)
        if holding is not None and holding.host == host:
            self._drop_holding(release.key)
            self._drain.record(now)
            self.pump(now)

    def on_ack(self, host: str, version: int, now: float) -> None:
        """Note that a host accepted the lease.

        :param host: who accepts
        :param version: the announcement
        :param now: seconds on the monotonic clock
        """
        self._lease.acknowledge(host, version, self._view.roster)
        self.pump(now)

    def tick(self, now: float) -> None:
        """Renew the lease, ask silent hosts again, end waits that are due.

        :param now: seconds on the monotonic clock
        """
        if self.phase != RECOVERING and now >= self._renew_at:
            self._renew(now)
        self._ask(self._view.reachable - self._replied)
        self._advance_recovery(now)
        self._release_stranded(now)
        self._drop_stale(now)
        self._refuse_expired(now)
        self._refuse_without_lease(now)
        self.pump(now)
        self._preempt(now)

    def abandon(self) -> list[Demand]:
        """Return the requests that wait, for another dispatcher to serve."""
        return list(self._queue)

    def pump(self, now: float) -> None:
        """Grant what can be granted.

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
        """Return the state in JSON's types."""
        return {
            'epoch': list(self.epoch),
            'phase': self.phase,
            'waiting': {str(tier): n for tier, n in self._queue.backlog().items()},
            'used': {name: self._total_used(name) for name in self._upstream_names()},
            'stranded': {host: dict(held) for host, held in self._stranded.items()},
            'replied': sorted(self._replied),
            'lease_version': self._lease.version,
        }

    # Recovery of the state from the hosts that hold it.

    def _ask(self, hosts: Iterable[str]) -> None:
        for host in hosts:
            if host not in self._view.unmet:
                self._send(host, Takeover(self.name, self.epoch))

    def _advance_recovery(self, now: float) -> None:
        """Go on to the next phase when its condition is met.

        First a majority replies; hosts that can be reached get a moment longer. What
        the others may hold is bounded by the ceilings that the majority heard of.
        Then a majority accepts a lease whose ceilings say all that.
        """
        roster = self._view.roster
        if self.phase == RECOVERING and self._has_replies(now):
            informed = has_majority(self._informed, roster)
            for host in roster - self._replied:
                self._strand(host, now, informed=informed)
            self.phase = CONFIRMING
            self._renew(now)
        if self.phase == CONFIRMING and self._lease.is_valid(roster, now):
            self.phase = SERVING
            self._valid_at = now
            self._metrics.count('partitions_taken_over', partition=self.name)

    def _has_replies(self, now: float) -> bool:
        if not has_majority(self._replied, self._view.roster):
            return False
        if self._majority_at is None:
            self._majority_at = now
        waited = now - self._majority_at
        missing = self._view.reachable - self._replied
        return not missing or waited >= self._timing.resend_s

    def _strand(self, host: str, now: float, *, informed: bool) -> None:
        """Count what a silent host may hold as held.

        :param informed: whether a majority heard a former dispatcher's ceilings;
            otherwise the host may hold as much as the owners lend
        """
        held: Counter[str] = Counter()
        for entry in self._rules.upstreams:
            count = entry.limits.concurrent
            if informed:
                count = self._reported[host, entry.name]
            if count:
                held[entry.name] = count
        self._stranded[host] = held
        self._stranded_at[host] = now
        self._metrics.count('hosts_stranded', partition=self.name)

    def _release_stranded(self, now: float) -> None:
        """Free what a silent host can no longer hold: its longest call is over."""
        longest = max(entry.max_run_ms for entry in self._rules.classes.values())
        for host, since in list(self._stranded_at.items()):
            if now - since > longest / 1000:
                del self._stranded_at[host]
                del self._stranded[host]

    def _reconcile(self, host: str, holdings: Holdings, now: float) -> None:
        """Make the counts of a host agree with its own report."""
        reported = {entry.key: entry for entry in holdings.held}
        for key, holding in list(self._holdings.items()):
            settled = holding.sequence <= holdings.sequence
            if holding.host == host and settled and key not in reported:
                self._drop_holding(key)
        for key, entry in reported.items():
            if key not in self._holdings:
                holding = Holding(host, entry.upstream, entry.request_class, 0, now)
                self._add_holding(key, holding)
                self._leave_queue(key)

    def _restarted(self, view: View) -> set[str]:
        """Return hosts whose process is another one than before."""
        now = {peer.host: peer.incarnation for peer in view.peers}
        before = self._incarnations
        self._incarnations = now
        return {host for host in now if before.get(host, now[host]) != now[host]}

    def _known_hosts(self) -> set[str]:
        holders = {holding.host for holding in self._holdings.values()}
        return holders | self._replied | set(self._stranded)

    def _forget(self, host: str) -> None:
        """Drop everything of a host whose process has ended."""
        self._replied.discard(host)
        self._informed.discard(host)
        self._stranded.pop(host, None)
        self._stranded_at.pop(host, None)
        for key, holding in list(self._holdings.items()):
            if holding.host == host:
                self._drop_holding(key)
        for demand in list(self._queue):
            if demand.host == host:
                self._leave_queue(demand.key)
        for key in [entry for entry in self._reported if entry[0] == host]:
            del self._reported[key]
        self._sequences.pop(host, None)
        self._asked_at.pop(host, None)

    # The lease and its ceilings.

    def _renew(self, now: float) -> None:
        ceilings = self._ceilings(now)
        version = self._lease.announce(ceilings, now)
        self._renew_at = now + self._timing.lease_s * RENEW_SHARE
        self._wanted.clear()
        entries = tuple(
            Ceiling(host, upstream, count)
            for (host, upstream), count in ceilings.items()
        )
        lease = Lease(self.name, self.epoch, version, entries)
        for host in self._view.reachable:
            self._send(host, lease)

    def _ceilings(self, now: float) -> dict[CeilingKey, int]:
        """Return ceilings a little above use, and what silent hosts may hold."""
        limits = {
            entry.name: entry.limits.concurrent for entry in self._rules.upstreams
        }
        active = {host for host, at in self._asked_at.items() if now - at < ACTIVE_S}
        ceilings: dict[CeilingKey, int] = {}
        for host in self._replied:
            for upstream, limit in limits.items():
                used = self._used[host, upstream]
                headroom = self._wanted[host, upstream]
                if host in active:
                    headroom += min(MAX_HEADROOM, limit // HEADROOM_DIVISOR)
                ceilings[host, upstream] = max(used, min(limit, used + headroom))
        for host, held in self._stranded.items():
            for upstream, count in held.items():
                ceilings[host, upstream] = count
        for key, used in self._used.items():
            ceilings[key] = max(used, ceilings.get(key, 0))
        return ceilings

    def _refuse_without_lease(self, now: float) -> None:
        if self.phase == SERVING and self._lease.is_valid(self._view.roster, now):
            self._valid_at = now
            return
        if self._view.has_majority or now - self._valid_at < self._timing.lease_s:
            return
        for demand in list(self._queue):
            message = 'this host does not see a majority of the fleet'
            self._refuse(demand, ResultCode.MINORITY, message, RETRY_SOON_S)

    # Granting.

    def _grant_next(self, now: float) -> bool:
        supplies = self._supplies()
        demand = self._queue.next(now, lambda entry: self._fits(entry, supplies))
        if demand is None:
            return False
        allowed = [
            supply for supply in supplies if self._below_ceiling(demand.host, supply)
        ]
        supply = place(demand, allowed)
        if supply is None:
            self._raise_ceilings(demand, supplies, now)
            return False
        self._queue.serve(demand, now)
        self._refreshed.pop(demand.key, None)
        self._sequences[demand.host] += 1
        holding = Holding(
            demand.host,
            supply.name,
            demand.request_class,
            self._sequences[demand.host],
            now,
        )
        self._add_holding(demand.key, holding)
        self._send_grant(demand.key, holding)
        self._metrics.count('grants', request_class=demand.request_class)
        self._metrics.observe(
            'grant_wait', now - demand.arrived, request_class=demand.request_class
        )
        return True

    def _fits(self, demand: Demand, supplies: list[Supply]) -> bool:
        if demand.host not in self._replied:
            return False
        return any(supply.free and supply.serves(demand) for supply in supplies)

    def _below_ceiling(self, host: str, supply: Supply) -> bool:
        key = (host, supply.name)
        return self._used[key] < self._lease.allowed(key, self._view.roster)

    def _raise_ceilings(
        self, demand: Demand, supplies: list[Supply], now: float
    ) -> None:
        """Announce room for a host, unless an announcement is on its way."""
        pending = self._lease.version > self._lease.agreed_version(self._view.roster)
        for supply in supplies:
            if supply.free and supply.serves(demand):
                self._wanted[demand.host, supply.name] += 1
        if not pending:
            self._renew(now)

    def _send_again(self, key: str, holding: Holding) -> None:
        """Repeat a grant whose message may be lost."""
        self._sequences[holding.host] += 1
        holding = holding._replace(sequence=self._sequences[holding.host])
        self._holdings[key] = holding
        self._send_grant(key, holding)

    def _send_grant(self, key: str, holding: Holding) -> None:
        grant = Grant(key, self.name, self.epoch, holding.sequence, holding.upstream)
        self._send(holding.host, grant)

    def _supplies(self) -> list[Supply]:
        leaving = self._view.leaving_upstreams
        return [
            Supply(
                entry.name,
                entry.zone,
                frozenset(entry.classes),
                entry.limits.concurrent,
                self._total_used(entry.name),
                self._waiting.get(entry.name, 0),
                False,
                entry.drain or entry.name in leaving,
            )
            for entry in self._rules.upstreams
        ]

    def _total_used(self, upstream: str) -> int:
        stranded = sum(counts[upstream] for counts in self._stranded.values())
        return self._used_by_upstream[upstream] + stranded

    def _upstream_names(self) -> list[str]:
        return [entry.name for entry in self._rules.upstreams]

    def _add_holding(self, key: str, holding: Holding) -> None:
        self._holdings[key] = holding
        self._used[holding.host, holding.upstream] += 1
        self._used_by_upstream[holding.upstream] += 1

    def _drop_holding(self, key: str) -> None:
        holding = self._holdings.pop(key)
        self._used[holding.host, holding.upstream] -= 1
        self._used_by_upstream[holding.upstream] -= 1

    # Ending waits.

    def _sheds_on_arrival(self, demand: Demand, now: float) -> bool:
        if not demand.sheds or any(entry.free for entry in self._supplies()):
            return False
        wait = self._drain.wait_s(self._ahead(demand), now)
        if wait is None or now + wait <= demand.due:
            return False
        message = 'the target cannot be met at the present load'
        self._refuse(demand, ResultCode.NO_CAPACITY, message, wait)
        return True

    def _shed_overflow(self, now: float) -> None:
        while len(self._queue) > self._bounds.queue_length:
            demand = self._queue.lowest()
            wait = self._drain.retry_after_s(len(self._queue), now)
            self._refuse(demand, ResultCode.NO_CAPACITY, 'the queue is full', wait)

    def _refuse_expired(self, now: float) -> None:
        for demand in self._queue.expired(now):
            wait = self._drain.retry_after_s(self._ahead(demand), now)
            message = 'no upstream came free in time'
            self._refuse(demand, ResultCode.DEADLINE_EXCEEDED, message, wait)

    def _refuse(
        self, demand: Demand, code: ResultCode, message: str, retry_after_s: float
    ) -> None:
        self._leave_queue(demand.key)
        refusal = Refusal(demand.key, int(code), message, int(retry_after_s * 1000))
        self._send(demand.host, refusal)
        self._metrics.count(
            'sheds', request_class=demand.request_class, code=str(int(code))
        )

    def _ahead(self, demand: Demand) -> int:
        backlog = self._queue.backlog()
        return 1 + sum(n for tier, n in backlog.items() if tier <= demand.tier)

    def _drop_stale(self, now: float) -> None:
        """Forget requests whose host stopped asking."""
        horizon = now - self._timing.lease_s - self._timing.resend_s
        for demand in list(self._queue):
            if self._refreshed.get(demand.key, now) < horizon:
                self._leave_queue(demand.key)

    def _leave_queue(self, key: str) -> None:
        self._queue.remove(key)
        self._refreshed.pop(key, None)

    # Preemption.

    def _preempt(self, now: float) -> None:
        """Make room for requests that have waited a share of their target."""
        if self.phase != SERVING or not len(self._queue):
            return
        supplies = [entry for entry in self._supplies() if not entry.leaving]
        pending = Counter(
            holding.upstream
            for holding in self._holdings.values()
            if _is_preempting(holding, now)
        )
        for demand in sorted(self._queue, key=lambda entry: (entry.tier, entry.due)):
            serving = frozenset(
                entry.name for entry in supplies if entry.serves(demand)
            )
            if any(pending[name] > 0 for name in serving):
                pending.subtract([name for name in serving if pending[name] > 0][:1])
                continue
            if not self._is_late(demand, now):
                continue
            if any(entry.free and entry.name in serving for entry in supplies):
                continue
            victim = choose_victim(demand, self._running(now), serving)
            if victim is None:
                continue
            holding = self._holdings[victim.key]
            self._holdings[victim.key] = holding._replace(preempted_at=now)
            self._send(holding.host, Preempt(victim.key, self.name))
            self._metrics.count('preemptions', request_class=holding.request_class)

    def _is_late(self, demand: Demand, now: float) -> bool:
        return now >= demand.arrived + PREEMPT_SHARE * (demand.due - demand.arrived)

    def _running(self, now: float) -> list[Running]:
        running = []
        for key, holding in self._holdings.items():
            entry = self._rules.classes.get(holding.request_class)
            if (
                entry is not None
                and entry.preemptible
                and not _is_preempting(holding, now)
            ):
                call = Running(key, entry.tier, holding.upstream, holding.since)
                running.append(call)
        return running


def _is_preempting(holding: Holding, now: float) -> bool:
    since = holding.preempted_at
    return since is not None and now - since < PREEMPT_AGAIN_S
