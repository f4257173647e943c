"""Pollers of the platform's host list and of the engines' load reports."""

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

POLL_JITTER = 0.2  # maximum random delay as a fraction of the poll interval


class HostListPoller:
    """Polls the host list and posts changes to the member task.

    :param host_list: the platform's host list
    :param member: task that receives the observed states
    :param replica: source of the catalogue in force
    :param metrics: metrics of this process
    :param interval_s: poll interval in seconds, without jitter
    :param rng: random number generator for the jitter
    """

    def __init__(
        self,
        host_list: HostList,
        member: MemberTask,
        replica: ReplicaTask,
        metrics: Metrics,
        interval_s: float,
        rng: random.Random,
    ) -> None:
        self._host_list = host_list
        self._member = member
        self._replica = replica
        self._metrics = metrics
        self._interval_s = interval_s
        self._rng = rng
        self._last_listed: dict[str, ListedState] = {}

    def run(self) -> None:
        """Poll the host list forever."""
        while True:
            try:
                self._post_changes(self._host_list.read())
            except PlatformError:
                self._metrics.count('host_list_errors')
            gevent.sleep(self._interval_s * (1 + POLL_JITTER * self._rng.random()))

    def _post_changes(self, listed: dict[str, ListedState]) -> None:
        """Post the changed states; a name missing from the list changes nothing."""
        catalogue = self._replica.catalogue
        if catalogue is None:
            return
        upstreams = {entry.name for entry in catalogue.upstreams}
        changed = {
            name: state.leaving or state.ended
            for name, state in listed.items()
            if name in upstreams and state != self._last_listed.get(name)
        }
        if changed:
            self._member.post(ObservedUpstreams(changed))
        ended = {name for name, state in listed.items() if state.ended}
        if ended - upstreams:
            self._member.post(ObservedHosts(frozenset(ended - upstreams)))
        self._last_listed = listed


class LoadReportPoller:
    """Polls the load reports of engines and posts them to the dispatcher.

    Only the engines in the partitions that this host's dispatcher owns are polled.

    :param report_reader: reads the load report of an engine
    :param dispatcher: task that receives the reports
    :param replica: source of the catalogue in force
    :param metrics: metrics of this process
    :param interval_s: poll interval in seconds, without jitter
    :param rng: random number generator for the jitter
    """

    def __init__(
        self,
        report_reader: LoadReportReader,
        dispatcher: DispatcherTask,
        replica: ReplicaTask,
        metrics: Metrics,
        interval_s: float,
        rng: random.Random,
    ) -> None:
        self._report_reader = report_reader
        self._dispatcher = dispatcher
        self._replica = replica
        self._metrics = metrics
        self._interval_s = interval_s
        self._rng = rng

    def run(self) -> None:
        """Poll the load reports forever."""
        while True:
            gevent.joinall(
                [
                    gevent.spawn(self._poll_engine, *engine)
                    for engine in self._engines_to_poll()
                ]
            )
            gevent.sleep(self._interval_s * (1 + POLL_JITTER * self._rng.random()))

    def _engines_to_poll(self) -> list[tuple[str, str]]:
        catalogue = self._replica.catalogue
        if catalogue is None:
            return []
        owned = set(self._dispatcher.partition_upstreams)
        engines = {pool.name for pool in catalogue.pools if pool.kind == 'engine'}
        return [
            (entry.name, entry.address)
            for entry in catalogue.upstreams
            if entry.name in owned and entry.pool in engines
        ]

    def _poll_engine(self, name: str, address: str) -> None:
        try:
            report = self._report_reader.read(parse_address(address))
        except PlatformError:
            self._metrics.count('load_report_errors')
            return
        self._dispatcher.post(LoadReported(name, report.waiting))
