"""Hosts that hold duties, on a clock that tests advance, with faulty store and API."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.errors import UnknownOutcomeError
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.common.rangestore import RefusedError
from rosemaryseam.router.dutyholder import DutyHolder
from rosemaryseam.router.dutyport import DutyPort, DutyResult
from rosemaryseam.router.feed import OtherItems
from rosemaryseam.router.helddutyport import HeldDutyPort
from rosemaryseam.standins.dutyapi import DutyLedger
from rosemaryseam.standins.rangestore import MemoryRangeStore

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemaryseam.policy.dutylease import Permission

LEASE_S = 3.0
TICK_S = 0.1
KEY = 'rosemaryseam/duties/usage'
_INCARNATIONS = itertools.count(1)


class FaultyStore(MemoryRangeStore):
    """One host's access to a store that all hosts share.

    ``faults`` are those of the next writes: ``lose`` executes a write without an
    answer, ``late`` executes it when the test says so, ``refuse`` refuses it.
    """

    def __init__(self, shared: MemoryRangeStore) -> None:
        self.__dict__.update(shared.__dict__)
        self.shared = shared
        self.faults: list[str] = []
        self.late: list[Callable[[], object]] = []
        self.away = False

    def __getattribute__(self, name: str) -> Any:
        """Return attributes and calls of the shared store."""
        own = ('shared', 'faults', 'late', 'away', 'write', 'run_late', '__dict__')
        if name in own or name.startswith('__'):
            return object.__getattribute__(self, name)
        if object.__getattribute__(self, 'away'):
            raise UnknownOutcomeError('the store is away')
        return getattr(object.__getattribute__(self, 'shared'), name)

    def write(self, *arguments: Any) -> Any:
        """Write, subject to the next fault."""
        fault = self.faults.pop(0) if self.faults else ''
        if self.away or fault == 'late':
            self.late.append(lambda: self.shared.write(*arguments))
            raise UnknownOutcomeError('no answer')
        if fault == 'refuse':
            raise RefusedError('refused')
        position = self.shared.write(*arguments)
        if fault == 'lose':
            raise UnknownOutcomeError('the answer was lost')
        return position

    def run_late(self) -> list[str]:
        """Execute the late writes; return the kinds of error that they met."""
        errors = []
        while self.late:
            try:
                self.late.pop(0)()
            except RefusedError as exc:
                errors.append(type(exc).__name__)
        return errors


class LedgerPort(DutyPort):
    """Makes calls to a ledger, as the client of the platform's API does.

    ``before_send`` runs after the call began, for instance to pause the process.
    """

    def __init__(self, ledger: DutyLedger, host: str, clock: ManualClock) -> None:
        self._ledger = ledger
        self._host = host
        self._clock = clock
        self.reachable = True
        self.before_send: Callable[[], None] = lambda: None

    def report_usage(
        self, window: int, counts: Mapping[str, int], permission: Permission
    ) -> DutyResult:
        """Report a window."""
        body = {'window': window, 'counts': dict(counts)}
        return self._call('/usage', body, permission)

    def order_upstreams(
        self, service: str, zone: str, count: int, spot: bool, permission: Permission
    ) -> DutyResult:
        """Order upstreams."""
        body = {'service': service, 'zone': zone, 'desired': count, 'spot': spot}
        return self._call('/scale', body, permission)

    def _call(
        self, path: str, body: dict[str, Any], permission: Permission
    ) -> DutyResult:
        self.before_send()
        if not self.reachable or self._clock.monotonic() >= permission.valid_until:
            return DutyResult.REFUSED
        status = self._ledger.call(path, self._host, permission.fence, body)
        self.answered_at = self._clock.monotonic()
        if self._ledger.mode == 'lose':
            return DutyResult.UNKNOWN
        return DutyResult.ACCEPTED if status == 200 else DutyResult.REFUSED


class DutyHost:
    """One process that may hold a duty; ``paused`` ones do nothing."""

    def __init__(self, fleet: DutyFleet, name: str) -> None:
        self.name = name
        self.fleet = fleet
        self.paused = False
        self.store = FaultyStore(fleet.store)
        self.port = LedgerPort(fleet.ledger, name, fleet.clock)
        self.era = fleet.store.era
        self.start()

    def start(self) -> None:
        """Start the process, again after a crash."""
        self.incarnation = next(_INCARNATIONS)
        self.holder = DutyHolder(
            'usage',
            self.name,
            1.0,
            self.incarnation,
            self.store,
            lambda: {name: 1.0 for name in self.fleet.names if name != self.name},
            lambda: self.era,
            LEASE_S,
            self.fleet.clock,
            Metrics(),
        )
        self.held_port = HeldDutyPort(self.port, self.holder, self.fleet.clock)
        self.watch()

    def watch(self) -> None:
        """Receive the current items of the store."""
        if not self.store.away:
            self.era = self.fleet.store.era
            items = self.fleet.store.read_range('rosemaryseam/').items
            self.holder.apply_items(OtherItems(items, complete=True))

    def act(self) -> None:
        """Do what is due."""
        self.holder.act()
        self.order()

    def order(self) -> DutyResult | None:
        """Make a call if permitted."""
        permission = self.holder.permission()
        if permission is None:
            return None
        return self.held_port.order_upstreams('work', 'a', 1, False, permission)


class DutyFleet:
    """Hosts that share a store, an API and a clock."""

    def __init__(
        self,
        count: int,
        host_type: type[DutyHost] | None = None,
        calls_per_s: int = 1000,
    ) -> None:
        self.clock = ManualClock()
        self.store = MemoryRangeStore(self.clock)
        self.ledger = DutyLedger(self.clock, calls_per_s, LEASE_S)
        self.names = [f'10.0.0.{number}' for number in range(1, count + 1)]
        hosts = [(host_type or DutyHost)(self, name) for name in self.names]
        ranked = hosts[0].holder.candidates()
        # In the order in which they claim the duty.
        self.hosts = sorted(hosts, key=lambda host: ranked.index(host.name))

    def run(self, seconds: float) -> None:
        """Let the hosts that are not paused act for some time."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            for host in self.hosts:
                if not host.paused:
                    host.watch()
                    host.act()

    def holders(self) -> list[int]:
        """Return the numbers of the hosts that may act."""
        return [
            number
            for number, host in enumerate(self.hosts)
            if host.holder.permission() is not None
        ]
