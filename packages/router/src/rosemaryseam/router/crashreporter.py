"""Tells the other hosts of the crashes of upstreams that this host saw."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from rosemaryseam.router.crashes import REPORT_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemaryseam.router.crashes import CrashLedger
    from rosemaryseam.router.crashreports import CrashReport
    from rosemaryseam.router.hostlink import HostLink

MAX_TOLD_HOSTS = 24  # by each host that saw a crash; many hosts see each of them


class CrashReporter:
    """Sends the reports of a ledger to all hosts, as each of them may dispatch next.

    In a large fleet the dispatcher of the upstream collects the reports of all hosts
    and sends one to each host.

    :param ledger: crashes that this host saw
    :param link: link to the other hosts
    :param host: address of this host
    :param find_dispatcher: returns the address of an upstream's dispatcher by the
        upstream's id, or ``None`` if it is not known
    """

    def __init__(
        self,
        ledger: CrashLedger,
        link: HostLink,
        host: str,
        find_dispatcher: Callable[[str], str | None],
    ) -> None:
        self._ledger = ledger
        self._link = link
        self._host = host
        self._find_dispatcher = find_dispatcher

    def step(self) -> None:
        """Wait for crashes and report those of which no more requests are awaited."""
        self._ledger.wait_for_crash()
        gevent.sleep(REPORT_DELAY_S)
        for report in self._ledger.take_reports():
            self._send(report)

    def _send(self, report: CrashReport) -> None:
        hosts = self._link.known_hosts()
        dispatcher = self._find_dispatcher(report.upstream)
        if (
            len(hosts) > MAX_TOLD_HOSTS
            and not report.collected
            and dispatcher != self._host
            and dispatcher in hosts
        ):
            self._link.send_crash(dispatcher, report._replace(to_collect=True))
            return
        for host in hosts:
            self._link.send_crash(host, report)
