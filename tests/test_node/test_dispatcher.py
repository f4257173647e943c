"""Tests of how long requests wait at a dispatcher and how their wait ends."""

from __future__ import annotations

import pytest
from simulatedfleet import SimulatedFleet, small_catalogue

from rosemaryseam.common.errors import RequestError, ResultCode
from rosemaryseam.node.tickets import Ticket

NAMES = ('host-1', 'host-2', 'host-3')
LIMIT = 1


def _saturated_fleet() -> SimulatedFleet:
    """Return a fleet whose only slot is in use by a call of the highest tier."""
    fleet = SimulatedFleet(NAMES, small_catalogue(LIMIT, engines=1))
    for name in NAMES:
        fleet.start(name)
    fleet.run(2.0)
    fleet.hosts['host-1'].request_grant('coaching', fleet.clock.monotonic())
    fleet.run(0.5)
    assert fleet.in_use() == {'engine-0': LIMIT}
    return fleet


@pytest.mark.parametrize(
    ('request_class', 'max_wait_s'),
    [('drafting', 30.0), ('listing', 30.0), ('coaching', 0.46)],
)
def test_request_is_refused_at_the_end_of_its_longest_wait(
    request_class: str, max_wait_s: float
) -> None:
    """The wait ends earlier, at the target, for a class that sheds."""
    fleet = _saturated_fleet()
    host = fleet.hosts['host-2']
    key = host.request_grant(request_class, fleet.clock.monotonic())
    fleet.run(max_wait_s - 0.2)
    assert host.refused == []
    fleet.run(0.4)
    assert [entry[0] for entry in host.refused] == [key]
    error = host.refused[0][1]
    assert isinstance(error, RequestError)
    assert error.code == ResultCode.DEADLINE_EXCEEDED
    assert error.retry_after >= 1.0


@pytest.mark.parametrize('request_class', ['drafting', 'coaching'])
@pytest.mark.parametrize('resumed', [True, False])
def test_request_with_interrupted_answer_starts_a_new_wait(
    request_class: str, resumed: bool
) -> None:
    """The time that the answer ran before does not count towards the longest wait."""
    fleet = _saturated_fleet()
    fleet.run(100.0)
    host = fleet.hosts['host-3']
    ticket = Ticket(
        'models', request_class, 'market', '', 0.0, 30.0, frozenset(), resumed
    )
    key, result = host.grants.request(ticket)
    host.waiting[key] = result
    fleet.run(0.3)
    assert bool(host.refused) is not resumed
    holder = fleet.hosts['host-1']
    holder.release_grant(next(iter(holder.held)))
    fleet.run(0.3)
    assert (key in host.held) is resumed
