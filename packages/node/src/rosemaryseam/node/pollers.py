"""Greenlets that read the platform's host list and the engines' load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from rosemaryseam.common.addresses import parse_address
from rosemaryseam.common.errors import PlatformError
from rosemaryseam.node.dispatcher import DispatcherTask, LoadReported
from rosemaryseam.node.member import MemberTask, ObservedHosts, ObservedUpstreams

if TYPE_CHECKING:
    import random

    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.node.hostlist import HostList, ListedState
    from rosemaryseam.node.loadreports import LoadReportReader
    from rosemaryseam.node.replica import ReplicaTask

JITTER = 0.2  # share of an interval


class HostListPoller:
    """Tells the member task what the host list says."""

    def __init__(
        self,
        hosts: HostList,
        member: MemberTask,
        replica: ReplicaTask,
        metrics: Metrics,
        interval_s: float,
        rng: random.Random,
    ) -> None:
        self._hosts = hosts
        self._member = member
        self._replica = replica
        self._metrics = metrics
        self._interval_s = interval_s
        self._rng = rng
        self._last: dict[str, ListedState] = {}

    def run(self) -> None:
        """Read the list for ever."""
        while True:
            try:
                self._report(self._hosts.read())
            except PlatformError:
                self._metrics.count('host_list_errors')
            gevent.sleep(self._interval_s * (1 + JITTER * self._rng.random()))

    def _report(self, listed: dict[str, ListedState]) -> None:
        """Pass on what changed; what the list lacks says nothing."""
        catalogue = self._replica.catalogue
        if catalogue is None:
            return
        upstreams = {entry.name for entry in catalogue.upstreams}
        changed = {
            name: state.leaving or state.gone
            for name, state in listed.items()
            if name in upstreams and state != self._last.get(name)
        }
        if changed:
            self._member.post(ObservedUpstreams(changed))
        gone = {name for name, state in listed.items() if state.gone}
        if gone - upstreams:
            self._member.post(ObservedHosts(frozenset(gone - upstreams)))
        self._last = listed


class LoadReportPoller:
    """Tells the dispatcher what the engines of its partitions report."""

    def __init__(
        self,
        reports: LoadReportReader,
        dispatcher: DispatcherTask,
        replica: ReplicaTask,
        metrics: Metrics,
        interval_s: float,
        rng: random.Random,
    ) -> None:
        self._reports = reports
        self._dispatcher = dispatcher
        self._replica = replica
        self._metrics = metrics
        self._interval_s = interval_s
        self._rng = rng

    def run(self) -> None:
        """Read the reports for ever."""
        while True:
            gevent.joinall([gevent.spawn(self._read, *pair) for pair in self._due()])
            gevent.sleep(self._interval_s * (1 + JITTER * self._rng.random()))

    def _due(self) -> list[tuple[str, str]]:
        catalogue = self._replica.catalogue
        if catalogue is None:
            return []
        mine = set(self._dispatcher.partition_upstreams)
        engines = {pool.name for pool in catalogue.pools if pool.kind == 'engine'}
        return [
            (entry.name, entry.address)
            for entry in catalogue.upstreams
            if entry.name in mine and entry.pool in engines
        ]

    def _read(self, name: str, address: str) -> None:
        try:
            report = self._reports.read(parse_address(address))
        except PlatformError:
            self._metrics.count('load_report_errors')
            return
        self._dispatcher.post(LoadReported(name, report.waiting))
