"""A platform that starts and reclaims upstreams, for tests of upstream orders."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from rosemaryseam.policy.upstreamorders import Line

NOTICE_S = 2.5  # between the notice of a reclaimed upstream and its end


class Machine(NamedTuple):
    """An upstream that serves from ``ready_at`` and is gone at ``gone_at``."""

    line: Line
    ready_at: float
    gone_at: float


class Cloud:
    """Starts upstreams after a while; spot ones may be reclaimed or be unavailable.

    :param initial: ordinary upstreams in each zone at the start
    :param zones: availability zones
    :param boot_s: time that an upstream takes to start
    """

    def __init__(
        self, initial: int, zones: tuple[str, ...] = ('a', 'b', 'c', 'd'), boot_s=4.0
    ) -> None:
        self.now = 0.0
        self.boot_s = boot_s
        self.dry: set[str] = set()
        self.broken: set[Line] = set()  # kinds whose upstreams never start
        self.orders: list[tuple[float, Line, int]] = []
        self.upstream_s: Counter[bool] = Counter()
        self.machines = [
            Machine(Line(zone, False), 0.0, float('inf'))
            for zone in zones
            for _ in range(initial)
        ]

    def order(self, line: Line, count: int) -> bool:
        """Order a number of upstreams; return false if there are none."""
        self.orders.append((self.now, line, count))
        current = [one for one in self.machines if one.line == line]
        current = [one for one in current if one.gone_at == float('inf')]
        if count > len(current):
            if line.spot and line.zone in self.dry:
                return False
            ready_at = self.now + self.boot_s
            ready_at += 1e9 if line in self.broken else 0.0
            machine = Machine(line, ready_at, float('inf'))
            self.machines += [machine] * (count - len(current))
        for machine in current[count:]:
            self._end(machine, 0.5)
        return True

    def reclaim(self, *zones: str) -> None:
        """Reclaim all spot upstreams of zones, which have none until further notice."""
        self.dry.update(zones)
        for machine in list(self.machines):
            if machine.line.spot and machine.line.zone in zones:
                self._end(machine, NOTICE_S)

    def advance(self, seconds: float) -> None:
        """Let time pass; every upstream is billed."""
        self.now += seconds
        self.machines = [one for one in self.machines if one.gone_at > self.now]
        for machine in self.machines:
            if machine.ready_at <= self.now:
                self.upstream_s[machine.line.spot] += seconds

    def registered(self) -> Counter[Line]:
        """Return the number of upstreams that take requests."""
        return Counter(
            one.line
            for one in self.machines
            if one.ready_at <= self.now and one.gone_at == float('inf')
        )

    def serving(self) -> int:
        """Return the number of upstreams that still work, leaving ones included."""
        return sum(one.ready_at <= self.now for one in self.machines)

    def cost(self, spot_price: float = 0.15) -> float:
        """Return what has been billed, in seconds of ordinary upstreams."""
        return self.upstream_s[False] + spot_price * self.upstream_s[True]

    def _end(self, machine: Machine, after_s: float) -> None:
        self.machines.remove(machine)
        self.machines.append(machine._replace(gone_at=self.now + after_s))
