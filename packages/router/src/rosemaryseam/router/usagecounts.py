"""Counts the requests of this host by workspace and sends the counts to the holder."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING, Any

import gevent

from rosemaryseam.common.decisionlog import log_event
from rosemaryseam.common.decoding import decoding, require_count, require_number
from rosemaryseam.policy.usagewindows import OwnCounts, TrueTime

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.admission import AdmittedRequest, AttemptHistory
    from rosemaryseam.router.dutyholder import DutyHolder
    from rosemaryseam.router.hostlink import HostLink

USAGE_KIND = 'usage'
USAGE_ACK_KIND = 'usage_ack'
SEND_INTERVAL_S = 1.0
NEW_HOLDER_SPREAD_S = 0.5  # within which all hosts send their counts to it
POLL_S = 0.1  # between two checks for a new holder
EXTRA_CANDIDATES = 2  # hosts besides the holder that get the counts
FIRST_EVENT_DELAY_S = 0.01  # time for the tokens of a first event and the network
MAX_BROKEN_OFF_AGE_S = 1.0  # older sendings may be of windows that were reported
INITIAL_WORK_S = 0.03
MAX_WORK_S = 1.0
WORK_QUANTILE = 0.25  # of the times of answers: those that hardly waited
WORK_STEP = 0.05  # relative change of the estimate by one answer


class RequestCounter(abc.ABC):
    """Is told when upstreams begin to execute requests."""

    @abc.abstractmethod
    def began(self, admitted: AdmittedRequest, attempts: AttemptHistory) -> None:
        """Take note of the first event of a stream.

        :param admitted: the request
        :param attempts: attempts to serve it
        """

    @abc.abstractmethod
    def answered(self, admitted: AdmittedRequest, attempts: AttemptHistory) -> None:
        """Take note of an answer that is not a stream.

        :param admitted: the request
        :param attempts: attempts to serve it
        """

    @abc.abstractmethod
    def broken_off(self, admitted: AdmittedRequest, attempts: AttemptHistory) -> None:
        """Take note that a connection broke after the request was sent.

        :param admitted: the request
        :param attempts: attempts to serve it
        """


class NoRequestCounter(RequestCounter):
    """Counts nothing."""

    def began(self, admitted: AdmittedRequest, attempts: AttemptHistory) -> None:
        """Do nothing."""

    def answered(self, admitted: AdmittedRequest, attempts: AttemptHistory) -> None:
        """Do nothing."""

    def broken_off(self, admitted: AdmittedRequest, attempts: AttemptHistory) -> None:
        """Do nothing."""


class UsageCounts(RequestCounter):
    """Counts requests once per attempt of their callers and sends the counts.

    They go to the holder and to the hosts that would follow it, until acknowledged.

    :param incarnation: number of this process, different for each start
    :param host: address of this host
    :param holder: holder of the duty
    :param link: link to the other hosts
    :param window_s: length of a window in seconds
    :param clock: clock of the process
    """

    def __init__(
        self,
        incarnation: int,
        host: str,
        holder: DutyHolder,
        link: HostLink,
        window_s: float,
        clock: Clock,
    ) -> None:
        self._incarnation = incarnation
        self._host = host
        self._holder = holder
        self._link = link
        self._clock = clock
        self.time = TrueTime(clock)
        self.own = OwnCounts(self.time, window_s)
        self._work_s: dict[str, float] = {}  # typical time of work by service
        # Number of requests that a host has acknowledged, by host and window.
        self._acknowledged: dict[str, dict[int, int]] = {}
        self._claim_revision: int | None = None  # of the latest holder
        # Different for each host, as all of them learn of a new holder together.
        self._phase = incarnation % 1000 / 1000
        self._next_send_at = clock.monotonic() + self._phase * SEND_INTERVAL_S

    def began(self, admitted: AdmittedRequest, attempts: AttemptHistory) -> None:
        """Count a stream at its first event."""
        self._count(admitted, attempts, self._clock.monotonic() - FIRST_EVENT_DELAY_S)

    def answered(self, admitted: AdmittedRequest, attempts: AttemptHistory) -> None:
        """Count a request at the typical time of work before its answer."""
        now = self._clock.monotonic()
        self._count(
            admitted,
            attempts,
            now - self._learn_work(admitted.service.name, now - attempts.sent_at),
        )

    def broken_off(self, admitted: AdmittedRequest, attempts: AttemptHistory) -> None:
        """Count a request that may have run, at the time when it was sent."""
        oldest = self._clock.monotonic() - MAX_BROKEN_OFF_AGE_S
        self._count(admitted, attempts, max(attempts.sent_at, oldest))

    def _count(
        self, admitted: AdmittedRequest, attempts: AttemptHistory, began_at: float
    ) -> None:
        if admitted.workspace is not None and not attempts.counted:
            attempts.counted = True
            self.own.add(admitted.workspace.name, began_at)

    def _learn_work(self, service: str, taken_s: float) -> float:
        """Learn from the time of an answer; return the typical time of work."""
        work_s = self._work_s.get(service, INITIAL_WORK_S)
        if taken_s < work_s:
            work_s *= 1 - WORK_STEP * (1 - WORK_QUANTILE)
        else:
            work_s *= 1 + WORK_STEP * WORK_QUANTILE
        self._work_s[service] = min(work_s, MAX_WORK_S)
        return min(work_s, taken_s)

    # Sending.

    def step(self) -> None:
        """Wait, and send the counts if that is due."""
        gevent.sleep(POLL_S)
        self.send_if_due()

    def send_if_due(self) -> None:
        """Send the counts each second, and soon again to a new holder."""
        now = self._clock.monotonic()
        holder = self._holder.holder()
        revision = self._holder.claim_revision()
        if holder is not None and revision != self._claim_revision:
            self._claim_revision = revision
            self._acknowledged.pop(holder, None)
            soon = now + self._phase * NEW_HOLDER_SPREAD_S
            self._next_send_at = min(self._next_send_at, soon)
        if now >= self._next_send_at:
            self._next_send_at = now + SEND_INTERVAL_S
            self.send()

    def send(self) -> None:
        """Send what is not acknowledged; to the holder also without any counts."""
        holder = self._holder.holder()
        targets = [holder] if holder else []
        targets += self._holder.candidates()[:EXTRA_CANDIDATES]
        for target in dict.fromkeys(targets):
            counts = self._unacknowledged(target)
            if target != self._host and (counts or target == holder):
                body = {
                    'i': self._incarnation,
                    'b': self._clock.monotonic(),
                    't': self.time.now(),
                    'c': self.time.confirmed,
                    'w': counts,
                }
                self._link.send_message(target, USAGE_KIND, body)
        for old in self._acknowledged.keys() - set(targets):
            del self._acknowledged[old]

    def _unacknowledged(self, host: str) -> list[tuple[int, dict[str, int]]]:
        known = self._acknowledged.get(host, {})
        return [
            (window, dict(counts))
            for window, counts in self.own.windows().items()
            if counts.total() > known.get(window, 0)
        ]

    def handle_ack(self, host: str, body: Any) -> None:
        """Take note of what a host has received, and correct the time by its answer.

        :param host: address of the host
        :param body: content of the message
        """
        with decoding('acknowledgement of counts'):
            numbers = {int(window): require_count(one) for window, one in body['w']}
            sent_s, done = require_number(body['b']), int(body['d'])
            answered_s = None if body['t'] is None else require_number(body['t'])
            incarnation = require_count(body['i'])
        if incarnation != self._incarnation:
            return  # for the process before this one
        kept = self.own.windows()
        known = self._acknowledged.setdefault(host, {})
        for window, number in numbers.items():
            known[window] = max(known.get(window, 0), number)
        for window in known.keys() - kept.keys():
            del known[window]
        if answered_s is not None and host == self._holder.holder():
            self.own.done = max(self.own.done, done)
            confirmed = self.time.confirmed
            corrected = self.time.correct_by_answer(sent_s, answered_s)
            if self.time.confirmed and not confirmed:
                self._next_send_at = self._clock.monotonic()  # first counts
            if corrected is not None:
                log_event('usage_time_corrected', seconds=corrected, holder=host)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        return {
            'windows': {
                str(window): counts.total()
                for window, counts in self.own.windows().items()
            },
            'true_time': self.time.now(),
            'time_confirmed': self.time.confirmed,
            'work_s': dict(self._work_s),
        }
