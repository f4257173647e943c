"""Reports the usage of all hosts to the platform while this host holds the duty."""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING, Any

import gevent

from rosemaryseam.common.decisionlog import log_event, log_warning
from rosemaryseam.common.decoding import (
    decode_json,
    decoding,
    require_count,
    require_number,
    require_text,
)
from rosemaryseam.common.errors import PlatformError, UnreadableError
from rosemaryseam.common.rangestore import ConflictError, Expected, Write
from rosemaryseam.common.skippedvalues import SkippedValues
from rosemaryseam.policy.usagewindows import (
    KEPT_WINDOWS,
    MIN_VOTES,
    ClockVotes,
    Heard,
    MergedCounts,
    UsageRecord,
    first_window,
    may_close,
    window_at,
)
from rosemaryseam.router.dutyport import DutyResult
from rosemaryseam.router.usagecounts import USAGE_ACK_KIND

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import Item, RangeStore
    from rosemaryseam.router.dutyholder import DutyHolder
    from rosemaryseam.router.dutyport import DutyPort
    from rosemaryseam.router.hostlink import HostLink
    from rosemaryseam.router.usagecounts import UsageCounts

USAGE_KEY = 'rosemaryseam/usage'
POLL_S = 0.1  # between two checks of what is due
STORE_RETRY_S = 0.3  # after a call to the store failed
MIN_RETRY_S = 0.2  # after a refused report, doubled up to the longest
MAX_RETRY_S = 1.0
MAX_UNREPORTED = 120  # windows in the record; ten minutes without the API
TIME_VOTE_S = 1.0  # as a holder of few hosts, until this host's time counts
MISSING_VOTES_S = 4.0  # the same if enough hosts for a vote are known
MAX_WINDOWS_AHEAD = 2  # beyond the present one; the sender's time is wrong then
MAX_CLOCK_ERROR_S = 86_400.0  # a record that is farther ahead is no host's


def is_usage_record(key: str) -> bool:
    """Return whether a key of the store is the record of usage, which no host awaits.

    :param key: key in the store
    """
    return key == USAGE_KEY


class UsageReporter:
    """Merges the counts of all hosts, and reports each window once it is final.

    The counts are written to the store before they are reported, so that a host which
    takes the duty over never reports other counts for the window.

    :param host: address of this host
    :param incarnation: number of this process, different for each start
    :param holder: holder of the duty
    :param port: makes the calls
    :param counts: counts of this host
    :param store: store that holds the record
    :param link: link to the other hosts
    :param window_s: length of a window in seconds
    :param interval_s: shortest time between two calls
    :param clock: clock of the process
    :param metrics: counters of the process
    :param skipped: keeps the records that cannot be read
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        holder: DutyHolder,
        port: DutyPort,
        counts: UsageCounts,
        store: RangeStore,
        link: HostLink,
        window_s: float,
        interval_s: float,
        clock: Clock,
        metrics: Metrics,
        skipped: SkippedValues | None = None,
    ) -> None:
        self._sender = (host, incarnation)
        self._holder = holder
        self._port = port
        self._counts = counts
        self._time = counts.time
        self._store = store
        self._link = link
        self._window_s = window_s
        self._interval_s = interval_s
        self._clock = clock
        self._metrics = metrics
        self._skipped = skipped or SkippedValues(metrics)
        self._merged = MergedCounts()
        self._votes = ClockVotes()
        self._heard: dict[str, Heard] = {}
        self._fence: int | None = None  # of the claim for which the record was read
        self._record: UsageRecord | None = None
        self._revision = 0  # of the record
        self._accepted: set[int] = set()  # recorded windows
        self._next_call_at = 0.0
        self._retry_s = MIN_RETRY_S
        self._store_retry_at = 0.0

    # Counts of the other hosts.

    def handle_counts(self, host: str, body: Any) -> None:
        """Merge the counts of a host and acknowledge them.

        :param host: address of the host
        :param body: content of the message
        """
        with decoding('counts of a host'):
            sent, incarnation = require_number(body['t']), require_count(body['i'])
            windows = [
                (int(window), _decode_counts(counts)) for window, counts in body['w']
            ]
            sent_s = require_number(body['b'])
        now = self._time.now()
        # A host sends no counts before its time is confirmed.
        complete_at = sent if body.get('c') else -math.inf
        self._heard[host] = Heard(self._clock.monotonic(), complete_at)
        self._votes.add(host, sent - now)
        present = window_at(now, self._window_s)
        received = []
        for window, counts in windows:
            # Before this host's time is confirmed, it may be this host's that is wrong.
            ahead = window - present if self._time.confirmed else 0
            if -KEPT_WINDOWS <= ahead <= MAX_WINDOWS_AHEAD:
                number = self._merged.merge(window, (host, incarnation), counts)
                received.append((window, number))
        known = self._holder.is_holder() and self._time.confirmed
        answer = {
            'i': incarnation,
            'b': sent_s,
            't': self._time.now() if known else None,
            'd': self._counts.own.done,
            'w': received,
        }
        self._link.send_message(host, USAGE_ACK_KIND, answer)

    # Reporting.

    def step(self) -> None:
        """Wait, and record and report what is due while this host is the holder."""
        gevent.sleep(POLL_S)
        self.report_due()

    def report_due(self) -> None:
        """Record the windows that are final and report the oldest unreported one."""
        now = self._clock.monotonic()
        permission = self._holder.permission()
        self._merge_own()
        if permission is None or now < self._store_retry_at:
            return
        self._agree_on_time(now)
        try:
            if self._fence != permission.fence:
                self._read_record(permission.fence)
            if self._fence == permission.fence:
                self._record_final(now)
                self._report_next()
        except ConflictError as exc:
            self._fence = None
            for item in exc.items:
                if not is_usage_record(item.key):
                    self._holder.doubt()
        except PlatformError as exc:
            # The write may have been executed, so the record is read again.
            self._fence = None
            self._store_retry_at = self._clock.monotonic() + STORE_RETRY_S
            log_warning('usage_store_call_failed', reason=exc.message)

    def _merge_own(self) -> None:
        for window, counts in self._counts.own.windows().items():
            self._merged.merge(window, self._sender, counts)
        if self._time.confirmed:
            oldest = window_at(self._time.now(), self._window_s) - KEPT_WINDOWS
            self._merged.forget_before(max(oldest, self._counts.own.done + 1))

    def _agree_on_time(self, now: float) -> None:
        """Correct the time of this host by the majority of all hosts."""
        hosts = self._link.known_hosts()
        difference_s = self._votes.median(hosts)
        if difference_s is None:
            wait_s = MISSING_VOTES_S if len(hosts) + 1 >= MIN_VOTES else TIME_VOTE_S
            if now - self._holder.acquired_at() < wait_s:
                return
            difference_s = 0.0
        if self._time.correct(difference_s):
            self._votes.clear()
            log_event('usage_time_corrected', seconds=difference_s, holder=None)

    def _read_record(self, fence: int) -> None:
        state = self._store.read_key(USAGE_KEY)
        if state.era != self._holder.era_of_claim():
            self._holder.doubt()
            return
        self._record = self._decode_record(state.item) if state.item else None
        self._revision = state.item.revision if state.item else 0
        self._accepted &= set(self._record.unreported if self._record else ())
        self._fence = fence

    def _decode_record(self, item: Item) -> UsageRecord | None:
        """Return a record, or ``None`` if it cannot be read."""
        value = item.value or b''
        try:
            record = _decode(value)
            self._check_time(record)
        except UnreadableError as exc:
            self._skipped.skip('usage record', item.key, value, exc)
            return None
        self._skipped.forget(item.key)
        return record

    def _check_time(self, record: UsageRecord) -> None:
        """Check that the last window can have ended, as all others wait for it.

        :raises UnreadableError: it is too far in the future
        """
        latest = self._time.now() + MAX_CLOCK_ERROR_S
        if record.last > window_at(latest, self._window_s):
            raise UnreadableError('usage record: the last window is in the future')

    def _record_final(self, now: float) -> None:
        """Write the counts of the windows that are final to the store."""
        condition, era = self._holder.claim_condition(), self._holder.era_of_claim()
        if condition is None or era is None or not self._time.confirmed:
            return
        time_s = self._time.now()
        first = first_window(
            self._record,
            era,
            self._time.at(self._holder.era_learned_at()),
            self._merged.oldest(),
            time_s,
            self._window_s,
        )
        window = first
        while self._is_final(window, time_s, now):
            window += 1
        if window == first:
            return
        unreported = self._unreported()
        unreported |= {
            final: self._merged.total(final) for final in range(first, window)
        }
        for old in sorted(unreported)[:-MAX_UNREPORTED]:
            log_warning('usage_window_dropped', window=old)
            del unreported[old]
        record = UsageRecord(era, window - 1, unreported)
        position = self._store.write(
            (Write(USAGE_KEY, _encode(record)),),
            (),
            (Expected(USAGE_KEY, self._revision), condition),
        )
        if position.era != era:
            self._fence = None
            self._holder.doubt()
            return
        self._record, self._revision = record, position.revision
        self._counts.own.done = record.last
        self._accepted &= set(unreported)
        self._metrics.count('usage_windows_recorded', window - first)
        log_event(
            'usage_recorded',
            first=first,
            last=record.last,
            requests=sum(unreported[record.last].values()),
            revision=self._revision,
        )

    def _is_final(self, window: int, time_s: float, now: float) -> bool:
        acquired_at = self._holder.acquired_at()
        unheard = Heard(acquired_at, -math.inf)
        heard = [self._heard.get(host, unheard) for host in self._link.known_hosts()]
        end = (window + 1) * self._window_s
        return may_close(end, time_s, now, acquired_at, heard)

    def _unreported(self) -> dict[int, dict[str, int]]:
        recorded = self._record.unreported if self._record else {}
        return {
            window: counts
            for window, counts in sorted(recorded.items())
            if window not in self._accepted
        }

    def _report_next(self) -> None:
        """Report the oldest recorded window, as the platform may need them in order."""
        unreported = self._unreported()
        permission = self._holder.permission()
        if not unreported or self._clock.monotonic() < self._next_call_at:
            return
        if permission is None or permission.fence != self._fence:
            return
        window, counts = next(iter(unreported.items()))
        result = self._port.report_usage(window, counts, permission)
        self._metrics.count('usage_reports', result=result.value)
        late_s = self._time.now() - (window + 1) * self._window_s
        log_event(
            'usage_reported',
            window=window,
            requests=sum(counts.values()),
            result=result.value,
            fence=permission.fence,
            since_end_s=round(late_s, 3),
        )
        pause_s = self._interval_s
        if result in (DutyResult.ACCEPTED, DutyResult.NONE_AVAILABLE):
            self._accepted.add(window)
            self._retry_s = MIN_RETRY_S
        else:
            pause_s = max(pause_s, self._retry_s)
            self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
        self._next_call_at = self._clock.monotonic() + pause_s

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        record = self._record
        return {
            'last_recorded': record.last if record else None,
            'unreported': sorted(self._unreported()),
            'hosts_heard': len(self._heard),
        }


def _encode(record: UsageRecord) -> bytes:
    windows = {str(window): counts for window, counts in record.unreported.items()}
    return json.dumps(
        {'era': record.era, 'last': record.last, 'unreported': windows}
    ).encode()


def _decode(value: bytes) -> UsageRecord:
    with decoding('usage record'):
        data = decode_json(value)
        unreported = {
            require_count(int(window)): _decode_counts(counts)
            for window, counts in data['unreported'].items()
        }
        last = require_count(data['last'])
        if any(window > last for window in unreported):
            raise UnreadableError('it has counts of a window after the last one')
        return UsageRecord(require_count(data['era']), last, unreported)


def _decode_counts(counts: dict[str, Any]) -> dict[str, int]:
    return {require_text(name): require_count(count) for name, count in counts.items()}
