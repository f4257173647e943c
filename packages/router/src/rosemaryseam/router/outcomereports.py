"""Reports outcomes to dispatchers, except those that this host's path caused."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.common.decisionlog import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.reachability import Incarnation, Reachability
    from rosemaryseam.router.upstreams import Upstream

REPORT_DELAY_S = 0.5  # by then a second failed connect shows who is at fault

PATH_OUTCOMES = ('unreachable', 'crashed', 'silent', 'failed')
# Outcomes that have an upstream ejected for all hosts.
DELAYED_OUTCOMES = ('unreachable', 'crashed')


class _DelayedReport(NamedTuple):
    upstream: Incarnation
    outcome: str
    at: float
    send: Callable[[str], None]


class OutcomeReports:
    """Delays or changes the reports of outcomes that a cut path may have caused.

    A host that is cut off must not have sound upstreams ejected for all hosts. The
    report of a failed connect therefore waits until this host has reached an upstream,
    or for :data:`REPORT_DELAY_S`. That of a crash does so also while the host suspects
    itself, as requests that crash upstreams make it do that.

    :param reachability: state of the path to upstreams
    :param is_suspect: returns whether this host may be cut off
    :param may_delay: returns whether others could reach upstreams that this host cannot
    :param clock: clock of the process
    """

    def __init__(
        self,
        reachability: Reachability,
        is_suspect: Callable[[], bool],
        may_delay: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._reachability = reachability
        self._is_suspect = is_suspect
        self._may_delay = may_delay
        self._clock = clock
        self._delayed: list[_DelayedReport] = []

    @property
    def pending(self) -> int:
        """Number of delayed reports."""
        return len(self._delayed)

    def report(
        self, upstream: Upstream, outcome: str, send: Callable[[str], None]
    ) -> None:
        """Report an outcome, possibly later.

        :param upstream: upstream that had the request
        :param outcome: outcome, as passed to :meth:`Ticket.end`
        :param send: reports an outcome
        """
        now = self._clock.monotonic()
        name = upstream.incarnation
        known = self._reachability.is_confirmed_down(name, now)
        if known or outcome not in PATH_OUTCOMES:
            send(outcome)
        elif self._may_delay() and (
            outcome == 'crashed'
            or (outcome in DELAYED_OUTCOMES and not self._is_suspect())
        ):
            self._delayed.append(_DelayedReport(name, outcome, now, send))
        else:
            send('cancelled' if self._is_suspect() else outcome)

    def settle(self) -> None:
        """Send the delayed reports for which it is known who is at fault."""
        if not self._delayed:
            return
        now = self._clock.monotonic()
        delayed, self._delayed = self._delayed, []
        for report in delayed:
            outcome = self._decide(report, now)
            if outcome is None:
                self._delayed.append(report)
                continue
            if report.outcome == 'crashed' and outcome == 'cancelled':
                _log_withheld_crash(report.upstream)
            report.send(outcome)

    def _decide(self, report: _DelayedReport, now: float) -> str | None:
        """Return the outcome to report now, or ``None`` to wait."""
        if self._reachability.is_confirmed_down(report.upstream, now):
            return report.outcome
        if self._reachability.partitioned:
            return 'cancelled'
        if self._reachability.has_contact_since(report.at):
            return report.outcome
        if now - report.at <= REPORT_DELAY_S:
            return None
        return 'cancelled' if self._is_suspect() else report.outcome


def _log_withheld_crash(upstream: Incarnation) -> None:
    """Log a crash that is reported as cancelled, as this host may be cut off."""
    log_event('crash_withheld', upstream=upstream[0], born=upstream[1])
