"""Arithmetic of usage windows: counts of several hosts, and true time."""

from __future__ import annotations

import math
import statistics
from collections import Counter, deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from rosemaryseam.common.clock import Clock

KEPT_WINDOWS = 24  # of counts, for reports after two minutes without a holder
MAX_UNDATED = 20_000  # requests counted before the time is confirmed
MIN_CORRECTION_S = 0.1  # smaller differences may be delays of messages
MAX_ROUND_TRIP_S = 0.1  # a slower answer says too little about the time
OFFSET_SAMPLES = 5  # latest messages of a host; the least delayed one counts
MIN_VOTES = 3  # hosts that a median needs to outvote a wrong clock
CLOSE_AFTER_S = 1.5  # after a window's end, once all hosts have sent counts since
LATEST_CLOSE_AFTER_S = 5.0  # also without some of them, to report within 10 s
HEARD_AFTER_END_S = 0.5  # counts sent by then may miss requests of the window
SILENT_HOST_S = 4.0  # a host that was not heard for longer is not waited for
# Two seconds after all hosts know of a new holder. Reports of the window before a
# holder's crash are due 5 s after the next host has followed it.
NEW_HOLDER_WAIT_S = 2.5

Sender = tuple[str, int]  # address and incarnation of a host
Counts = dict[str, int]  # requests by workspace


def window_at(time_s: float, window_s: float) -> int:
    """Return the number of the window at a time.

    :param time_s: seconds since the start of 1970
    :param window_s: length of a window in seconds
    """
    return math.floor(time_s / window_s)


class TrueTime:
    """Seconds since the start of 1970 by a clock that no step of the wall clock moves.

    :param clock: clock of the process, whose monotonic time counts suspended time
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._base = clock.now().timestamp() - clock.monotonic()
        self.confirmed = False  # by other hosts, or for lack of them

    def now(self) -> float:
        """Return the present true time."""
        return self.at(self._clock.monotonic())

    def at(self, monotonic: float) -> float:
        """Return the true time at a time of the monotonic clock.

        :param monotonic: time of the monotonic clock
        """
        return self._base + monotonic

    def correct(self, difference_s: float) -> bool:
        """Confirm the time and correct it if it differs too much.

        :param difference_s: time of the majority of hosts minus that of this host
        :returns: whether it was corrected
        """
        self.confirmed = True
        if abs(difference_s) <= MIN_CORRECTION_S:
            return False
        self._base += difference_s
        return True

    def correct_by_answer(self, sent_at: float, answered: float) -> float | None:
        """Correct the time by the answer of the holder.

        :param sent_at: monotonic time at which the answered message was sent
        :param answered: true time in the answer
        :returns: the correction in seconds, if there was one
        """
        now = self._clock.monotonic()
        if not 0 <= now - sent_at <= MAX_ROUND_TRIP_S:
            return None  # delayed, for instance while the process was paused
        difference_s = answered - self.at((now + sent_at) / 2)
        return difference_s if self.correct(difference_s) else None


class ClockVotes:
    """Differences between the true times of other hosts and this one's."""

    def __init__(self) -> None:
        self._samples: dict[str, deque[float]] = {}

    def add(self, host: str, difference_s: float) -> None:
        """Add the difference at the receipt of a message, reduced by its delay.

        :param host: address of the sender
        :param difference_s: its true time minus that of this host
        """
        samples = self._samples.setdefault(host, deque(maxlen=OFFSET_SAMPLES))
        samples.append(difference_s)

    def median(self, hosts: Collection[str]) -> float | None:
        """Return the median difference, this host included.

        :param hosts: hosts that are asked
        :returns: ``None`` if too few of them have voted
        """
        votes = [
            max(samples) for host, samples in self._samples.items() if host in hosts
        ]
        if len(votes) + 1 < MIN_VOTES:
            return None
        return statistics.median([*votes, 0.0])

    def clear(self) -> None:
        """Forget all votes, after this host's time was corrected."""
        self._samples.clear()


class OwnCounts:
    """Counts of this host by window; they only grow.

    Until the time is confirmed, requests are kept with their monotonic times, as their
    window may be another one than this host's wall clock says.

    :param time: true time of this host
    :param window_s: length of a window in seconds
    """

    def __init__(self, time: TrueTime, window_s: float) -> None:
        self._time = time
        self._window_s = window_s
        self._windows: dict[int, Counter[str]] = {}
        self.done = -1  # latest window whose counts are recorded; they are final
        self._undated: deque[tuple[float, str]] = deque(maxlen=MAX_UNDATED)

    def add(self, workspace: str, began_at: float) -> None:
        """Count a request.

        :param workspace: name of its workspace
        :param began_at: monotonic time at which an upstream began to execute it
        """
        self._undated.append((began_at, workspace))
        if self._time.confirmed:
            self.windows()

    def windows(self) -> dict[int, Counter[str]]:
        """Return the counts of the latest windows, once the time is confirmed."""
        if not self._time.confirmed:
            return {}
        while self._undated:
            at, workspace = self._undated.popleft()
            window = window_at(self._time.at(at), self._window_s)
            self._windows.setdefault(window, Counter())[workspace] += 1
        present = window_at(self._time.now(), self._window_s)
        oldest = max(self.done + 1, present - KEPT_WINDOWS)
        for window in [entry for entry in self._windows if entry < oldest]:
            del self._windows[window]
        return self._windows


class MergedCounts:
    """Cumulative counts of all hosts, of which the latest of each sender is kept."""

    def __init__(self) -> None:
        self._windows: dict[int, dict[Sender, Counter[str]]] = {}

    def merge(self, window: int, sender: Sender, counts: Mapping[str, int]) -> int:
        """Merge the counts of a sender; duplicates and late messages are harmless.

        :param window: number of the window
        :param sender: host and process that counted
        :param counts: its requests in the window so far, by workspace
        :returns: the number of its requests that are known now
        """
        known = self._windows.setdefault(window, {}).setdefault(sender, Counter())
        known |= Counter(counts)
        self._windows[window][sender] = known
        return known.total()

    def total(self, window: int) -> Counts:
        """Return the sums over all senders by workspace.

        :param window: number of the window
        """
        total: Counter[str] = Counter()
        for counts in self._windows.get(window, {}).values():
            total.update(counts)
        return dict(sorted(total.items()))

    def oldest(self) -> int | None:
        """Return the oldest window with counts."""
        return min(self._windows, default=None)

    def forget_before(self, window: int) -> None:
        """Drop the counts of windows before one.

        :param window: the oldest window to keep
        """
        for old in [entry for entry in self._windows if entry < window]:
            del self._windows[old]


class Heard(NamedTuple):
    """A host's latest message, and the true time up to which it has the counts."""

    at: float
    sent: float


def may_close(
    window_end: float,
    now: float,
    monotonic: float,
    acquired_at: float,
    heard: Iterable[Heard],
) -> bool:
    """Return whether the counts of a window are final.

    A new holder gives the hosts the time to send it their counts again.

    :param window_end: true time of the window's end
    :param now: true time
    :param monotonic: monotonic time
    :param acquired_at: monotonic time at which this host became the holder
    :param heard: the latest message of each other host
    """
    held_s = monotonic - acquired_at
    if now < window_end + CLOSE_AFTER_S or held_s < CLOSE_AFTER_S:
        return False
    if now >= window_end + LATEST_CLOSE_AFTER_S and held_s >= NEW_HOLDER_WAIT_S:
        return True
    for entry in heard:
        if entry.at <= acquired_at:
            if held_s < NEW_HOLDER_WAIT_S:
                return False
        elif (
            entry.sent < window_end + HEARD_AFTER_END_S
            and monotonic - entry.at <= SILENT_HOST_S
        ):
            return False
    return True


class UsageRecord(NamedTuple):
    """Counts of windows as they were or will be reported.

    ``era`` is the era of the store in which it was written, ``last`` the latest
    recorded window. ``unreported`` holds the counts of windows that may not have been
    accepted yet.
    """

    era: int
    last: int
    unreported: dict[int, Counts]


def first_window(
    record: UsageRecord | None,
    era: int,
    era_learned: float,
    oldest_counts: int | None,
    now: float,
    window_s: float,
) -> int:
    """Return the first window without record that may be reported.

    A window that ended before the store was restored may have been reported with other
    counts, as its record may be lost.

    :param record: the record in the store
    :param era: era of the store
    :param era_learned: true time at which this host learned of the era
    :param oldest_counts: oldest window with counts
    :param now: true time
    :param window_s: length of a window in seconds
    """
    oldest_kept = window_at(now, window_s) - KEPT_WINDOWS
    if record is not None and record.era == era:
        return max(record.last + 1, oldest_kept)
    first = window_at(era_learned, window_s)
    if record is not None:
        first = max(first, record.last + 1)
    elif era == 0 and oldest_counts is not None:
        first = min(first, max(oldest_counts, oldest_kept))
    return first
