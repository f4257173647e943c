"""What a dispatcher tells the gateways of requests that wait, and how long."""

from __future__ import annotations

import pytest
from fabric import Fabric, small_catalogue

from rosemaryseam.common.errors import RequestError, ResultCode
from rosemaryseam.node.tickets import Ticket

NAMES = ('host-1', 'host-2', 'host-3')
LIMIT = 1


def _full_fabric() -> Fabric:
    """Return a fleet whose only slot is in use by the top tier."""
    fabric = Fabric(NAMES, small_catalogue(LIMIT, engines=1))
    for name in NAMES:
        fabric.start(name)
    fabric.run(2.0)
    fabric.hosts['host-1'].ask('coaching', fabric.clock.monotonic())
    fabric.run(0.5)
    assert fabric.in_use() == {'engine-0': LIMIT}
    return fabric


@pytest.mark.parametrize(
    ('request_class', 'max_wait_s'),
    [('drafting', 30.0), ('listing', 30.0), ('coaching', 0.46)],
)
def test_wait_ends_with_a_refusal_in_time(
    request_class: str, max_wait_s: float
) -> None:
    """At the longest wait, or at the target for a class that sheds."""
    fabric = _full_fabric()
    host = fabric.hosts['host-2']
    key = host.ask(request_class, fabric.clock.monotonic())
    fabric.run(max_wait_s - 0.2)
    assert host.refused == []
    fabric.run(0.4)
    assert [entry[0] for entry in host.refused] == [key]
    error = host.refused[0][1]
    assert isinstance(error, RequestError)
    assert error.code == ResultCode.DEADLINE_EXCEEDED
    assert error.retry_after >= 1.0


@pytest.mark.parametrize('request_class', ['drafting', 'coaching'])
@pytest.mark.parametrize('resumed', [True, False])
def test_interrupted_answer_waits_anew(request_class: str, resumed: bool) -> None:
    """A request whose answer ran longer than its class may wait is not given up."""
    fabric = _full_fabric()
    fabric.run(100.0)
    host = fabric.hosts['host-3']
    ticket = Ticket(
        'models', request_class, 'market', '', 0.0, 30.0, frozenset(), resumed
    )
    key, result = host.grants.request(ticket)
    host.waiting[key] = result
    fabric.run(0.3)
    assert bool(host.refused) is not resumed
    holder = fabric.hosts['host-1']
    holder.finish(next(iter(holder.held)))
    fabric.run(0.3)
    assert (key in host.held) is resumed
