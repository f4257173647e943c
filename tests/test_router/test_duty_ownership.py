"""Tests that one host at a time holds a duty, whatever the store and hosts do."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from dutyfleet import KEY, LEASE_S, DutyFleet, DutyHost

from rosemaryseam.common.rangestore import Write
from rosemaryseam.router.dutyport import DutyResult

if TYPE_CHECKING:
    from collections.abc import Callable


@pytest.fixture
def fleet() -> DutyFleet:
    """Four hosts, the first of which holds the duty."""
    running = DutyFleet(4)
    running.run(LEASE_S + 0.5)
    assert running.holders() == [0]
    return running


def test_no_host_claims_within_a_lease_after_its_start() -> None:
    """A process before it may have acted just before it crashed."""
    fleet = DutyFleet(3)
    fleet.run(LEASE_S - 0.2)
    assert fleet.ledger.holders == []
    fleet.run(0.5)
    assert len(fleet.ledger.holders) == 1


def test_hosts_that_claim_at_once_do_not_both_get_the_duty() -> None:
    """The watch of a host may lag behind the claim of another one."""
    fleet = DutyFleet(3)
    fleet.clock.advance(2 * LEASE_S)
    for host in fleet.hosts:
        host.holder.act()
    assert fleet.holders() == [0]


def lose_answer(host: DutyHost) -> None:
    host.store.faults = ['lose']


def lose_two_answers(host: DutyHost) -> None:
    host.store.faults = ['late', 'lose']


def refuse(host: DutyHost) -> None:
    host.store.faults = ['refuse']


@pytest.mark.parametrize('fault', [lose_answer, lose_two_answers, refuse])
def test_a_claim_whose_answer_is_lost_is_resolved(
    fault: Callable[[DutyHost], None],
) -> None:
    """Otherwise the key of a host that does not act stays until its lease ends."""
    fleet = DutyFleet(3)
    fault(fleet.hosts[0])
    fleet.run(LEASE_S + 1.0)
    assert fleet.holders() == [0]
    assert fleet.hosts[0].store.run_late() in ([], ['ConflictError'])
    fleet.run(2 * LEASE_S)
    assert fleet.holders() == [0]
    assert fleet.ledger.violations == []


def test_a_late_claim_leaves_no_key_of_a_host_that_gave_up() -> None:
    """A claim may be executed seconds after the call was given up."""
    fleet = DutyFleet(3)
    first = fleet.hosts[0]
    first.store.faults = ['late'] * 100
    fleet.run(LEASE_S + 1.5)
    assert fleet.holders() == [1]
    fleet.hosts[1].holder.release()
    assert set(first.store.run_late()) <= {'ConflictError'}
    assert fleet.store.read_key(KEY).item is not None
    first.store.faults = []
    fleet.run(LEASE_S + 1.5)
    assert len(fleet.holders()) == 1
    assert fleet.ledger.violations == []


def crash(host: DutyHost) -> None:
    host.paused = True


def partition(host: DutyHost) -> None:
    host.store.away = True


@pytest.mark.parametrize('fault', [crash, partition])
def test_a_silent_holder_is_replaced_after_its_permission_ended(
    fleet: DutyFleet, fault: Callable[[DutyHost], None]
) -> None:
    fault(fleet.hosts[0])
    fleet.run(LEASE_S + 0.3)
    assert fleet.hosts[0].holder.permission() is None
    fleet.run(0.5)
    assert fleet.hosts[1].holder.permission() is not None
    fleet.hosts[0].paused = fleet.hosts[0].store.away = False
    fleet.run(3 * LEASE_S)
    assert fleet.holders() == [1]
    assert fleet.ledger.violations == []


def test_a_host_that_lost_the_duty_does_not_act_again_within_a_lease(
    fleet: DutyFleet,
) -> None:
    """The order A, B, A within a lease is forbidden, also if B hands over at once."""
    fleet.hosts[0].holder.begin_call()
    gevent.spawn(fleet.hosts[0].holder.release)
    fleet.hosts[0].holder.end_call(answered=True)
    gevent.sleep(0.02)
    fleet.hosts[0].holder._stopping = False
    fleet.hosts[0].holder._acting = True
    fleet.run(0.7)
    assert fleet.holders() == [1]
    for host in fleet.hosts[1:]:
        host.holder.release()
    fleet.run(2.5 * LEASE_S)
    assert fleet.holders() == [0]
    assert fleet.ledger.violations == []


def test_a_stopping_holder_waits_for_its_calls_and_is_replaced_at_once(
    fleet: DutyFleet,
) -> None:
    """The next holder must not act while a call of this one is on its way."""
    first = fleet.hosts[0]
    first.holder.begin_call()
    stopping = gevent.spawn(first.holder.release)
    gevent.sleep(0.05)
    assert first.holder.permission() is None
    fleet.run(1.0)
    assert fleet.holders() == []
    first.holder.end_call(answered=True)
    stopping.join()
    fleet.run(0.7)
    assert fleet.holders() == [1]


def test_a_holder_paused_between_check_and_send_does_not_send(
    fleet: DutyFleet,
) -> None:
    """The permission may end after the holder has read it."""
    first = fleet.hosts[0]

    def pause() -> None:
        first.paused = True
        fleet.run(2 * LEASE_S)

    first.port.before_send = pause
    assert first.order() is DutyResult.REFUSED
    assert fleet.ledger.holders[-1] == fleet.hosts[1].name
    assert fleet.ledger.violations == []


# Guards against a duty that no host holds any more, as another writer left a value
# under its key (issue 42).
@pytest.mark.parametrize('held', [True, False])
@pytest.mark.parametrize(
    'value', [b'', b'{', b'[' * 5000, b'{"host": "10.9.9.9", "incarnation": 7}']
)
def test_a_key_of_another_writer_is_removed(value: bytes, held: bool) -> None:
    fleet = DutyFleet(4)
    if held:
        fleet.run(LEASE_S + 0.5)
    fleet.store.put(KEY, value)
    fleet.run(5 * LEASE_S)
    assert fleet.holders() == [0]
    assert fleet.ledger.violations == []


def test_a_key_with_a_lease_is_kept_while_its_host_is_unknown(
    fleet: DutyFleet,
) -> None:
    """A host may be missing from the list of the others for a while."""
    owner = fleet.hosts[0].name
    fleet.names.remove(owner)
    fleet.run(6 * LEASE_S)
    assert fleet.holders() == [0]
    assert fleet.ledger.holders == [owner]


def test_fences_increase_when_the_store_is_restored(fleet: DutyFleet) -> None:
    """Revisions are reused, and the key of the present holder is lost."""
    copy = fleet.store.copy()
    fleet.run(1.0)
    for number in range(50):
        fleet.store.put('other', str(number).encode())
    fleet.hosts[0].paused = True
    fleet.run(LEASE_S + 1.0)
    assert fleet.holders() == [1]
    fleet.store.restore(copy)
    fleet.hosts[0].paused = False
    fleet.run(3 * LEASE_S)
    assert len(fleet.holders()) == 1
    assert fleet.ledger.violations == []


def test_hosts_wait_for_the_holder_of_the_era_before() -> None:
    """A holder that does not know of the restored store acts until its lease ends."""
    fleet = DutyFleet(3)
    before = fleet.store.copy()
    fleet.run(LEASE_S + 0.5)
    first = fleet.hosts[0]
    fleet.store.restore(before)
    first.store.away = True
    fleet.run(LEASE_S - 0.3)
    assert [entry for entry in fleet.holders() if entry] == []
    fleet.run(1.5)
    assert fleet.holders() == [1]
    assert fleet.ledger.violations == []


def test_a_claim_under_a_lease_of_another_era_is_removed() -> None:
    """The number of the lease may be another host's, which renews it for ever."""
    fleet = DutyFleet(2)
    first = fleet.hosts[0]
    empty = fleet.store.copy()
    fleet.run(LEASE_S - 0.1)
    write = first.store.write

    def restore_before(*arguments: object) -> object:
        del first.store.__dict__['write']
        fleet.store.restore(empty)
        other = fleet.store.grant_lease(600.0)
        assert other.id == arguments[0][0].lease
        return write(*arguments)

    first.store.__dict__['write'] = restore_before
    fleet.run(0.3)
    assert fleet.store.era == 1
    assert fleet.store.read_key(KEY).item is None
    fleet.run(2 * LEASE_S)
    assert len(fleet.holders()) == 1


@pytest.mark.parametrize('unreachable', [1, 4], ids=['one', 'all'])
def test_a_holder_that_cannot_reach_the_api_hands_over(
    fleet: DutyFleet, unreachable: int
) -> None:
    """If no host can reach it, the duty must not circulate."""
    for host in fleet.hosts[:unreachable]:
        host.port.reachable = False
    fleet.run(4.0)
    assert fleet.hosts[0].holder.permission() is None
    fleet.run(26.0)
    claims = sum(host.holder.dump()['claims'] for host in fleet.hosts)
    assert claims == 2 if unreachable == 1 else claims <= 6
    assert fleet.ledger.violations == []


def test_few_calls_to_the_store_are_needed(fleet: DutyFleet) -> None:
    """Each call of each host costs money."""
    fleet.store.calls.clear()
    fleet.run(10.0)
    fleet.store.calls.pop('read')  # the test's own
    assert fleet.store.calls == {'lease': pytest.approx(10, abs=1)}


def test_a_key_that_another_wrote_ends_the_duty(fleet: DutyFleet) -> None:
    """A holder must stop when its key is gone, although its lease is valid."""
    fleet.store.write((Write(KEY, b'{}'),))
    fleet.run(0.2)
    assert fleet.holders() == []
