"""The duties of a host: work for all hosts that one of them does at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from rosemaryseam.common.fairness import run_repeatedly
from rosemaryseam.router.dutyholder import DutyHolder
from rosemaryseam.router.helddutyport import HeldDutyPort
from rosemaryseam.router.usagecounts import (
    USAGE_ACK_KIND,
    USAGE_KIND,
    NoRequestCounter,
    UsageCounts,
)
from rosemaryseam.router.usagereporter import UsageReporter

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import RangeStore
    from rosemaryseam.common.skippedvalues import SkippedValues
    from rosemaryseam.router.dutyport import DutyPort
    from rosemaryseam.router.feed import OtherItems
    from rosemaryseam.router.peers import PeerLink
    from rosemaryseam.router.settings import RouterSettings
    from rosemaryseam.router.usagecounts import RequestCounter

USAGE_DUTY = 'usage'


class Duties:
    """Holds the duties of the settings, if there are any.

    :param cfg: settings of the process
    :param port: makes the calls of the holders, ``None`` without duties
    :param store: store that holds the keys of the duties
    :param peers: link to the other hosts
    :param era: returns the era of the store that this host follows
    :param incarnation: number of this process, different for each start
    :param clock: clock of the process
    :param metrics: counters of the process
    :param skipped: keeps the values that cannot be read
    """

    def __init__(
        self,
        cfg: RouterSettings,
        port: DutyPort | None,
        store: RangeStore,
        peers: PeerLink,
        era: Callable[[], int],
        incarnation: int,
        clock: Clock,
        metrics: Metrics,
        skipped: SkippedValues | None = None,
    ) -> None:
        self._cfg = cfg
        self._port = port
        self._store = store
        self._peers = peers
        self._era = era
        self._incarnation = incarnation
        self._clock = clock
        self._metrics = metrics
        self._skipped = skipped
        self._holders: dict[str, DutyHolder] = {}
        self._usage: tuple[UsageCounts, UsageReporter] | None = None
        if self.has(USAGE_DUTY):
            self._usage = self._build_usage()

    @property
    def counter(self) -> RequestCounter:
        """The counter of the requests of this host."""
        return self._usage[0] if self._usage else NoRequestCounter()

    def has(self, name: str) -> bool:
        """Return whether a duty is in force.

        :param name: name of the duty
        """
        return (
            self._port is not None
            and self._cfg.duties is not None
            and name in self._cfg.duties.names
        )

    def add_holder(self, name: str) -> tuple[DutyHolder, DutyPort]:
        """Return a holder of a duty that is in force, and the port for its calls.

        :param name: name of the duty
        """
        duties = self._cfg.duties
        assert duties is not None
        assert self._port is not None
        holder = self._holders[name] = DutyHolder(
            name,
            self._cfg.ip,
            self._cfg.capacity,
            self._incarnation,
            self._store,
            self._peers.known_hosts,
            self._era,
            duties.lease_s,
            self._clock,
            self._metrics,
            self._skipped,
        )
        return holder, HeldDutyPort(self._port, holder, self._clock)

    def call_interval_s(self) -> float:
        """Return the time between two calls of one duty.

        Each duty may have another holder, and they share the number of calls.
        """
        duties = self._cfg.duties
        assert duties is not None
        return len(duties.names) / duties.calls_per_s

    def start(self) -> list[gevent.Greenlet]:
        """Start the greenlets of the duties."""
        steps = {f'duty_{name}': entry.step for name, entry in self._holders.items()}
        if self._usage is not None:
            counts, reporter = self._usage
            steps |= {'usage_counts': counts.step, 'usage_reports': reporter.step}
        return [
            gevent.spawn(run_repeatedly, name, step, self._metrics)
            for name, step in steps.items()
        ]

    def apply_items(self, others: OtherItems) -> None:
        """Read the keys of the duties, or changes of them.

        :param others: items of the store, among them the keys
        """
        for holder in self._holders.values():
            holder.apply_items(others)

    def release(self) -> None:
        """Hand over all duties of this host, because the process stops."""
        gevent.joinall(
            [gevent.spawn(entry.release) for entry in self._holders.values()]
        )

    def send_last_counts(self) -> None:
        """Send the counts of this host before the process ends."""
        if self._usage is not None:
            self._usage[0].send()

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON-compatible values."""
        state: dict[str, Any] = {
            name: holder.dump() for name, holder in self._holders.items()
        }
        if self._usage is not None:
            counts, reporter = self._usage
            state |= {'counts': counts.dump(), 'reports': reporter.dump()}
        return state

    def _build_usage(self) -> tuple[UsageCounts, UsageReporter]:
        duties = self._cfg.duties
        assert duties is not None
        holder, port = self.add_holder(USAGE_DUTY)
        counts = UsageCounts(
            self._incarnation,
            self._cfg.ip,
            holder,
            self._peers,
            duties.window_s,
            self._clock,
        )
        reporter = UsageReporter(
            self._cfg.ip,
            self._incarnation,
            holder,
            port,
            counts,
            self._store,
            self._peers,
            duties.window_s,
            self.call_interval_s(),
            self._clock,
            self._metrics,
            self._skipped,
        )
        self._peers.subscribe(USAGE_KIND, reporter.handle_counts)
        self._peers.subscribe(USAGE_ACK_KIND, counts.handle_ack)
        return counts, reporter
