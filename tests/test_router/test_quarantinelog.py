"""Tests that quarantines outlive the hosts that found them."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

import gevent
import pytest
from routers import RunningFleet, RunningRouter
from test_handover import RecordingLink

from rosemaryseam.common.clock import ManualClock
from rosemaryseam.policy.quarantine import FIRST_QUARANTINE_S
from rosemaryseam.router import quarantinelog
from rosemaryseam.router.crashes import CrashLedger
from rosemaryseam.router.crashreports import QuarantinedPart
from rosemaryseam.router.feed import OtherItems
from rosemaryseam.router.quarantinelog import QUARANTINES_PREFIX, QuarantineLog
from rosemaryseam.standins.rangestore import MemoryRangeStore

if TYPE_CHECKING:
    from rosemaryseam.common.rangestore import Item, StorePosition

PART, OTHER = 0x1234, 2**64 - 1
LASTING_S = 100.0


class OtherHosts(RecordingLink):
    """A link that knows some hosts and sends nothing."""

    def __init__(self, names: list[str]) -> None:
        super().__init__()
        self._names = names

    def known_hosts(self) -> dict[str, float]:
        """Return the other hosts."""
        return dict.fromkeys(self._names, 1.0)


class Host:
    """A host that follows the entries of a store.

    :param store: store shared with other hosts
    :param others: other hosts that may write, as this one knows them
    """

    def __init__(
        self, store: MemoryRangeStore, clock: ManualClock, ip: str, others: list[str]
    ) -> None:
        self._store = store
        self._position: StorePosition | None = None
        self.ledger = CrashLedger(clock)
        self.log = QuarantineLog(ip, 1.0, store, self.ledger, clock, random.Random(1))
        self.log.connect(OtherHosts(others))

    def quarantine(self, *digests: int, left_s: float = LASTING_S) -> None:
        """Quarantine parts, as if this host had found them."""
        parts = [QuarantinedPart(one, left_s, FIRST_QUARANTINE_S) for one in digests]
        self.ledger.adopt('test', parts)

    def answer(self, digest: int) -> None:
        """Record an answer, which disproves the quarantine of a part."""
        self.ledger._record_answer((digest,), self.ledger._clock.monotonic())

    def quarantined(self) -> set[int]:
        """Return the digests that are quarantined here."""
        return {part.digest for part in self.ledger.quarantined()}

    def read(self) -> None:
        """Read all entries, or the changes since the last read."""
        if self._position is None:
            snapshot = self._store.read_range(QUARANTINES_PREFIX)
            self.log.apply_items(OtherItems(snapshot.items, complete=True))
            self._position = snapshot.position
            return
        changes = self._store.watch_range(QUARANTINES_PREFIX, self._position, 0.0)
        self.log.apply_items(OtherItems(changes.items))
        self._position = changes.position

    def restore(self) -> None:
        """Read all entries of a restored store."""
        self._position = None
        self.read()


class Setup:
    """A store and two hosts, of which either may be the one that writes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(quarantinelog, 'CHECK_INTERVAL_S', 0.0)
        self.clock = ManualClock()
        self.store = MemoryRangeStore(self.clock)
        self.hosts = [self.start('a', 'b'), self.start('b', 'a')]

    def start(self, ip: str, *others: str) -> Host:
        """Return a new process that has read the store."""
        host = Host(self.store, self.clock, ip, list(others))
        host.read()
        return host

    def run(self, seconds: float, *hosts: Host) -> None:
        """Let hosts follow the store and write for a while."""
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)
            for host in hosts or self.hosts:
                host.read()
                host.log.step()

    def items(self) -> tuple[Item, ...]:
        """Return the entries in the store."""
        return self.store.read_range(QUARANTINES_PREFIX).items


@pytest.fixture
def setup(monkeypatch: pytest.MonkeyPatch) -> Setup:
    """Return two hosts with an empty store."""
    return Setup(monkeypatch)


@pytest.mark.parametrize(
    ('finder', 'alive'), [(0, (0,)), (0, (0, 1)), (1, (1,)), (1, (0, 1))]
)
def test_quarantine_is_in_force_at_a_host_that_starts_later(
    finder: int, alive: tuple[int, ...], setup: Setup
) -> None:
    setup.hosts[finder].quarantine(PART, OTHER)
    setup.run(5.0, *(setup.hosts[index] for index in alive))
    setup.clock.advance(60.0)
    late = setup.start('c', 'a', 'b')
    assert late.quarantined() == {PART, OTHER}
    setup.clock.advance(LASTING_S - 65.0)
    assert late.quarantined() == set()


def test_entry_of_a_fast_clock_lasts_no_longer_than_its_quarantine(
    setup: Setup,
) -> None:
    until_ms = int((setup.clock.now().timestamp() + 10**6) * 1000)
    value = json.dumps({'untilMs': until_ms, 'seconds': FIRST_QUARANTINE_S})
    setup.store.put(f'{QUARANTINES_PREFIX}{PART:016x}', value.encode())
    host = setup.start('c')
    assert host.quarantined() == {PART}
    setup.clock.advance(FIRST_QUARANTINE_S)
    assert host.quarantined() == set()


def test_ended_quarantines_are_removed_once(setup: Setup) -> None:
    setup.hosts[0].quarantine(PART)
    setup.run(5.0)
    assert len(setup.items()) == 1
    setup.clock.advance(LASTING_S)
    setup.run(5.0)
    assert setup.items() == ()
    assert setup.store.calls['write'] == 2


@pytest.mark.parametrize('other', [0, 1])
def test_disproved_quarantine_ends_at_all_hosts(other: int, setup: Setup) -> None:
    setup.hosts[0].quarantine(PART)
    setup.run(5.0)
    assert setup.hosts[1].quarantined() == {PART}
    setup.hosts[1 - other].answer(PART)
    setup.run(5.0)
    assert [host.quarantined() for host in setup.hosts] == [set(), set()]
    assert setup.items() == ()
    setup.hosts[other].quarantine(PART)  # as a late message of another host
    assert setup.hosts[other].quarantined() == set()


# Guards against an older copy of the store, which lacks a quarantine or has one again
# that an answer disproved.
@pytest.mark.parametrize('disproved', [False, True], ids=['in-force', 'disproved'])
def test_restored_store_is_brought_up_to_date(disproved: bool, setup: Setup) -> None:
    if disproved:
        setup.hosts[0].quarantine(PART)
        setup.run(5.0)
    copy = setup.store.copy()
    if disproved:
        setup.hosts[0].answer(PART)
    else:
        setup.hosts[0].quarantine(PART)
    setup.run(5.0)
    setup.store.restore(copy)
    for host in setup.hosts:
        host.restore()
    setup.run(5.0)
    assert len(setup.items()) == (0 if disproved else 1)
    expected = set() if disproved else {PART}
    assert [host.quarantined() for host in setup.hosts] == [expected, expected]
    assert setup.start('c', 'a', 'b').quarantined() == expected


# Guards against a host that asks a store whose answers are lost again and again.
def test_quarantines_are_written_when_the_store_is_back(setup: Setup) -> None:
    host = setup.start('alone')
    setup.store.set_mode('lose')
    host.quarantine(PART)
    for _ in range(10):
        setup.clock.advance(0.25)
        host.log.step()
    assert setup.store.calls['write'] == 3  # at once, and then each second
    setup.store.set_mode('up')
    setup.run(1.0, host)
    assert len(setup.items()) == 1


# Guards against an older copy of the store in which a quarantine ends too early, or
# has ended, while a later one of the same part is in force.
@pytest.mark.parametrize('left_s', [20.0, 1.0], ids=['earlier', 'ended'])
def test_a_later_quarantine_replaces_an_earlier_one(
    left_s: float, setup: Setup
) -> None:
    host = setup.start('alone')
    host.quarantine(PART, left_s=left_s)
    setup.run(1.0, host)
    copy = setup.store.copy()
    setup.clock.advance(left_s)
    host.quarantine(PART)
    setup.run(1.0, host)
    setup.store.restore(copy)
    host.restore()
    host.log.step()
    (item,) = setup.items()
    until_s = json.loads(item.value)['untilMs'] / 1000
    assert until_s - setup.clock.now().timestamp() > LASTING_S - 10.0


# Guards against a part that crashes engines again after all hosts were killed, or one
# after the other: the quarantines were in their memory alone (BUDGET).
@pytest.mark.parametrize('at_once', [True, False], ids=['at-once', 'in-turn'])
def test_restart_of_all_hosts_ends_no_quarantine(at_once: bool) -> None:
    fleet = RunningFleet(2)
    try:
        known = QuarantinedPart(PART, 60.0, FIRST_QUARANTINE_S)
        fleet.hosts[0].router.tracker.crashes.adopt('test', [known])
        fleet.hosts[0].wait(lambda: bool(_stored(fleet)), timeout_s=6.0)
        if at_once:
            for host in fleet.hosts:
                host.router.kill()
        for number in range(2):
            fleet.hosts[number].router.kill()
            gevent.sleep(0.1)
            fleet.hosts[number] = fleet.make_host(number + 1)
            fleet.hosts[number].start()
            assert _quarantined(fleet.hosts[number]) == {PART}
    finally:
        fleet.stop()


def _stored(fleet: RunningFleet) -> tuple[Item, ...]:
    return fleet.store.read_range(QUARANTINES_PREFIX).items


def _quarantined(host: RunningRouter) -> set[int]:
    return {part.digest for part in host.router.tracker.crashes.quarantined()}
