"""Claims a duty for this host, keeps it and hands it over."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.rangestore import Expected, Item, RefusedError
from rosemaryseam.common.skippedvalues import SkippedValues
from rosemaryseam.policy.dutylease import (
    CLAIM_STEP_S,
    ClaimTiming,
    HandoverTiming,
    Permission,
    permission_end,
    renewal_due_at,
)
from rosemaryseam.policy.rendezvous import rank_by_capacity
from rosemaryseam.router.dutyclaim import (
    DutyKey,
    PendingClaim,
    Tenure,
    decode_owner,
    read_owner,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import RangeStore
    from rosemaryseam.router.feed import OtherItems

DUTIES_PREFIX = 'rosemaryseam/duties/'
POLL_S = 0.1  # between two checks of what is due
# Between two checks of a host that may only claim; a change of the key wakes it up.
IDLE_POLL_S = 0.5
RETRY_S = 0.3  # after a call to the store failed
CALLS_POLL_S = 0.01  # between two checks for calls in flight before a hand-over


class DutyHolder:
    """Holds one duty while the store's lease and the permission last.

    :param name: name of the duty
    :param host: address of this host
    :param capacity: relative capacity of this host
    :param incarnation: number of this process, different for each start
    :param store: store that holds the duty's key
    :param hosts: returns the other hosts with their capacities
    :param era: returns the era of the store that this host follows
    :param lease_s: seconds after which the store removes the key of a silent holder
    :param clock: clock of the process, which counts suspended time
    :param metrics: counters of the process
    :param skipped: keeps the keys that cannot be read
    """

    def __init__(
        self,
        name: str,
        host: str,
        capacity: float,
        incarnation: int,
        store: RangeStore,
        hosts: Callable[[], Mapping[str, float]],
        era: Callable[[], int],
        lease_s: float,
        clock: Clock,
        metrics: Metrics,
        skipped: SkippedValues | None = None,
    ) -> None:
        self.name = name
        self._host = host
        self._capacity = capacity
        self._store = store
        self._key = DutyKey(DUTIES_PREFIX + name, host, incarnation, store)
        self._hosts = hosts
        self._era = era
        self._lease_s = lease_s
        self._clock = clock
        self._metrics = metrics
        self._skipped = skipped or SkippedValues(metrics)
        self._timing = ClaimTiming(lease_s, clock.monotonic())
        self._handover = HandoverTiming()
        self._item: Item | None = None  # the key, as this host last knew it
        self._item_since = 0.0
        self._seen_revision = 0  # of the key, also of its removal
        self._item_known = False
        self._tenure: Tenure | None = None
        self._acquired_at = 0.0
        self._doubtful = False  # the watch shows another key than this host's
        self._acting = True
        self._stopping = False
        self._claims = 0
        self._pending: PendingClaim | None = None
        self._retry_at = 0.0
        self._calls_in_flight = 0
        self._last_call_at = clock.monotonic() - lease_s
        self._unanswered_since: float | None = None
        self._wakeup = Event()
        metrics.gauge(f'duty_{name}_held', lambda: float(self.is_holder()))

    # For the work of the duty.

    def permission(self) -> Permission | None:
        """Return the permission to act now, or ``None``."""
        tenure = self._tenure
        if tenure is None or self._doubtful or not self._acting:
            return None
        if self._era() > tenure.lease.era:
            return None
        now = self._clock.monotonic()
        valid_until = permission_end(tenure.renewed_at, self._lease_s)
        if now >= valid_until:
            return None
        self._last_call_at = now
        return Permission(tenure.fence, valid_until)

    def is_holder(self) -> bool:
        """Return whether this host holds the duty."""
        return self._tenure is not None

    def holder(self) -> str | None:
        """Return the address of the host that holds the duty, if one does."""
        if self._tenure is not None:
            return self._host
        return read_owner(self._item).get('host')

    def acquired_at(self) -> float:
        """Return the monotonic time at which this host became the holder."""
        return self._acquired_at

    def claim_revision(self) -> int | None:
        """Return the revision of the claim of the host that holds the duty."""
        return self._item.revision if self._item is not None else None

    def claim_condition(self) -> Expected | None:
        """Return the condition of a write that this host still holds the duty."""
        return Expected(self._key.name, self._tenure.revision) if self._tenure else None

    def era_of_claim(self) -> int | None:
        """Return the era in which this host claimed the duty."""
        return self._tenure.lease.era if self._tenure else None

    def era_learned_at(self) -> float:
        """Return the monotonic time at which this host learned of the store's era."""
        return self._timing.era_learned_at

    def candidates(self) -> list[str]:
        """Return all hosts in the order in which they claim the duty."""
        return rank_by_capacity(
            self._key.name, {**self._hosts(), self._host: self._capacity}
        )

    def doubt(self) -> None:
        """Have the claim checked, because a write found that the duty was lost."""
        self._doubtful = True
        self._wakeup.set()

    def begin_call(self) -> None:
        """Take note that a call to the API begins."""
        self._calls_in_flight += 1
        if self._unanswered_since is None:
            self._unanswered_since = self._clock.monotonic()

    def end_call(self, *, answered: bool) -> None:
        """Take note that a call to the API has ended.

        :param answered: whether the API answered it
        """
        self._calls_in_flight -= 1
        self._last_call_at = self._clock.monotonic()
        if answered:
            self._unanswered_since = None
        if self._tenure is None:
            self._timing.note_lost(self._last_call_at)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        tenure = self._tenure
        return {
            'holder': self.holder(),
            'fence': tenure.fence if tenure else None,
            'renewed_s_ago': self._clock.monotonic() - tenure.renewed_at
            if tenure
            else None,
            'claims': self._claims,
        }

    # The duty's key.

    def apply_items(self, others: OtherItems) -> None:
        """Read the duty's key in the store, or a change of it.

        :param others: items of the store, among them the key
        """
        self._timing.note_era(self._clock.monotonic(), self._era())
        found = [item for item in others.items if item.key == self._key.name]
        if found or others.complete:
            item = found[-1] if found else None
            self._seen_revision = item.revision if item else 0
            self._set_item(item if item and item.value is not None else None)

    def _set_item(self, item: Item | None) -> None:
        now = self._clock.monotonic()
        before, self._item = self._item, item
        if item != before:
            self._item_since = now
        owner = read_owner(item).get('incarnation')
        if item is not None and owner != read_owner(before).get('incarnation'):
            self._handover.note_change(now)
        self._record_skipped(item)
        self._item_known = True
        self._timing.note_key(now, present=item is not None)
        tenure = self._tenure
        if tenure is not None and (item is None or item.revision != tenure.revision):
            self._doubtful = True
        self._wakeup.set()

    def _record_skipped(self, item: Item | None) -> None:
        if item is None or item.value is None:
            self._skipped.forget(self._key.name)
            return
        try:
            decode_owner(item.value)
        except UnreadableError as exc:
            self._skipped.skip('duty', item.key, item.value, exc)
        else:
            self._skipped.forget(item.key)

    def step(self) -> None:
        """Wait, and do what is due; called repeatedly."""
        is_idle = self._tenure is None and self._pending is None
        self._wakeup.wait(IDLE_POLL_S if is_idle else POLL_S)
        self._wakeup.clear()
        self.act()

    def act(self) -> None:
        """Claim, renew or hand over the duty if that is due."""
        now = self._clock.monotonic()
        if not self._acting or now < self._retry_at:
            return
        try:
            if self._tenure is not None:
                self._keep(self._tenure, now)
            elif self._pending is not None:
                self._send_claim(self._pending)
            elif self._is_stray(now):
                self._key.remove(self._item.revision)
            elif self._is_unknown(now):
                self._remove_unless_leased(self._item)
            elif self._item_known and now >= self._timing.claim_at(self._place()):
                self._claim()
        except PlatformError as exc:
            log_warning('duty_store_call_failed', duty=self.name, reason=exc.message)
            self._retry_at = self._clock.monotonic() + RETRY_S

    def release(self) -> None:
        """Hand the duty over, because the process stops."""
        self._stopping = True
        if self._tenure is not None:
            self._hand_over(self._tenure, 'stopping')
        self._acting = False

    def _place(self) -> int:
        return self.candidates().index(self._host)

    # Claiming.

    def _claim(self) -> None:
        """Begin to claim the duty under a new lease."""
        sent_at = self._clock.monotonic()
        lease = self._store.grant_lease(self._lease_s)
        self._timing.note_era(self._clock.monotonic(), lease.era)
        if self._clock.monotonic() < self._timing.claim_at(self._place()):
            return
        self._claims += 1
        self._pending = PendingClaim(
            self._key.build_claim(self._claims, lease), lease, sent_at
        )
        self._send_claim(self._pending)

    def _send_claim(self, claim: PendingClaim) -> None:
        """Write the key, repeatedly until the outcome is known.

        The claim has the same content each time it is sent, and the same lease. So it
        succeeds once, however many of the calls are executed, and not after the lease.
        """
        item = None
        failure = 'no answer'
        if self._clock.monotonic() < permission_end(claim.sent_at, self._lease_s):
            try:
                item = self._key.send_claim(claim.write, claim.lease)
            except RefusedError as exc:
                failure = exc.message
            else:
                if item is None:
                    self._retry_at = self._clock.monotonic() + RETRY_S
                    return
        self._pending = None
        if item is not None and item.value == claim.write.value:
            self._acquire(Tenure(claim.lease, item.revision, claim.sent_at), item)
            return
        if item is not None:
            failure = 'another host was first'
            self._adopt_read(item)
        self._retry_at = self._clock.monotonic() + RETRY_S
        self._metrics.count('duty_claims', duty=self.name, result='failed')
        log_event('duty_claim_failed', duty=self.name, reason=failure)

    def _acquire(self, tenure: Tenure, item: Item) -> None:
        self._set_item(item)
        if self._stopping:
            self._key.remove(item.revision)
            return
        self._tenure = tenure
        self._doubtful = False
        self._unanswered_since = None
        self._acquired_at = self._clock.monotonic()
        self._metrics.count('duty_claims', duty=self.name, result='acquired')
        log_event(
            'duty_acquired',
            duty=self.name,
            fence=tenure.fence,
            place=self._place(),
            lease=tenure.lease.id,
        )

    def _is_stray(self, now: float) -> bool:
        """Return whether a claim was executed that this process had given up.

        Its lease ends soon, unless it belongs to another host since a restoration.
        """
        return (
            self._item is not None
            and self._key.is_of_this_process(self._item)
            and now - self._item_since > 2 * self._lease_s
        )

    def _is_unknown(self, now: float) -> bool:
        """Return whether the key has long named no host that may hold the duty."""
        if self._item is None or read_owner(self._item).get('host') in self._hosts():
            return False
        wait_s = 2 * self._lease_s + self._place() * CLAIM_STEP_S
        return now - self._item_since > wait_s

    def _remove_unless_leased(self, item: Item) -> None:
        """Remove the key if another writer left it; those of hosts have a lease."""
        self._item_since = self._clock.monotonic()  # asked again after as long
        if self._store.read_key(self._key.name).lease == 0:
            log_warning('duty_key_removed', duty=self.name, revision=item.revision)
            self._key.remove(item.revision)

    # Keeping and handing over.

    def _keep(self, tenure: Tenure, now: float) -> None:
        if self._era() > tenure.lease.era:
            self._lose('store restored')
        elif self._doubtful:
            self._check(tenure)
        elif now >= renewal_due_at(tenure.renewed_at, self._lease_s):
            if not self._store.renew_lease(tenure.lease):
                self._lose('lease ended')
            elif self._tenure is tenure:
                self._tenure = tenure._replace(renewed_at=now)
        elif self._handover.is_due(now, self._unanswered_since):
            self._handover.note_handover(now)
            self._hand_over(tenure, 'API unreachable')

    def _check(self, tenure: Tenure) -> None:
        state = self._store.read_key(self._key.name)
        if self._tenure is not tenure:
            return
        if self._key.is_own(state, tenure):
            self._doubtful = False
            self._set_item(state.item)
            return
        self._lose('key removed')
        if state.item is not None:
            self._adopt_read(state.item)
        elif self._item is not None and self._item.revision == tenure.revision:
            self._set_item(None)

    def _adopt_read(self, item: Item) -> None:
        """Adopt the key as it was read, unless the watch has shown a later change."""
        if item.revision >= self._seen_revision:
            self._set_item(item)

    def _lose(self, reason: str) -> None:
        tenure, self._tenure = self._tenure, None
        if tenure is None:
            return  # handed over meanwhile
        self._timing.note_lost(self._last_call_at)
        self._unanswered_since = None
        self._metrics.count('duty_losses', duty=self.name, reason=reason)
        log_event(
            'duty_lost',
            duty=self.name,
            reason=reason,
            fence=tenure.fence,
        )

    def _hand_over(self, tenure: Tenure, reason: str) -> None:
        """Stop acting, wait for the calls in flight and remove the key.

        If a call to the store fails, the lease ends without renewal.
        """
        self._acting = False
        try:
            while self._calls_in_flight:
                gevent.sleep(CALLS_POLL_S)
            # The revision may be another claim's if the store was restored.
            if self._key.is_own(self._store.read_key(self._key.name), tenure):
                self._key.remove(tenure.revision)
                self._store.end_lease(tenure.lease)
        except PlatformError as exc:
            log_warning('duty_not_handed_over', duty=self.name, reason=exc.message)
        finally:
            self._lose(reason)
            self._acting = not self._stopping
