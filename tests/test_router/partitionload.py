"""Sends callers' first tries to hosts of which some are cut off from upstreams."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import gevent
from cutpaths import Cut, PathSwitch
from routers import RunningFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from routers import RunningRouter

    from rosemaryseam.standins.scripted import ScriptedExchange

SETTLED_S = 3.0  # after the cut began, from when callers must be served


class Tries(NamedTuple):
    """First tries at hosts, by outcome, before and after the cut has settled."""

    early: Counter[int]
    settled: Counter[int]

    def share(self) -> float:
        """Return the share of settled tries that were served."""
        return self.settled[200] / max(1, self.settled.total())


class PartitionLoad:
    """A fleet with a switch on each host's path, and callers of all hosts.

    :param upstreams: number of upstreams
    :param script: behaviour of the upstreams
    :param hosts: number of hosts
    """

    def __init__(
        self,
        upstreams: int,
        script: Callable[[ScriptedExchange], None],
        hosts: int = 6,
    ) -> None:
        self.fleet = RunningFleet(hosts)
        for number in range(upstreams):
            self.fleet.add(f'u{number}', script)
        self.switches = [PathSwitch(host) for host in self.fleet.hosts]
        self.cut_at = float('inf')
        self._tries = {
            host.cfg.ip: Tries(Counter(), Counter()) for host in self.fleet.hosts
        }

    def cut(self, count: int, cut: Cut) -> None:
        """Cut the first hosts off, in the way given."""
        self.cut_at = min(self.cut_at, self.fleet.hosts[0].clock.monotonic())
        for switch in self.switches[:count]:
            switch.cut = cut

    def run(
        self, seconds: float, interval_s: float, routes: list[str], patience_ms: int
    ) -> None:
        """Send requests to all hosts, one each after every interval."""
        callers = []
        for number in range(int(seconds / interval_s)):
            route = routes[number % len(routes)]
            for host in self.fleet.hosts:
                callers.append(gevent.spawn(self._call, host, route, patience_ms))
            gevent.sleep(interval_s)
        gevent.joinall(callers, timeout=6.0)

    def tries(self, count: int) -> tuple[Tries, Tries]:
        """Return the tries at the first hosts, and those at the others."""
        parts = list(self._tries.values())
        return _total(parts[:count]), _total(parts[count:])

    def _call(self, host: RunningRouter, route: str, patience_ms: int) -> None:
        since_cut_s = host.clock.monotonic() - self.cut_at
        if since_cut_s < 0.0:
            host.call(route, patience_ms=patience_ms)
            return
        try:
            response = host.call(route, patience_ms=patience_ms)
            status = response.status if response.complete else 0
        except (OSError, gevent.Timeout):
            status = 0
        part = self._tries[host.cfg.ip]
        (part.settled if since_cut_s >= SETTLED_S else part.early)[status] += 1


def _total(parts: list[Tries]) -> Tries:
    return Tries(
        sum((part.early for part in parts), Counter()),
        sum((part.settled for part in parts), Counter()),
    )
