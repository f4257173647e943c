"""Tests of the grants that a gateway accepts, with one task and a fake transport."""

from __future__ import annotations

from typing import Any

import pytest
from simulatedfleet import small_catalogue

from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.errors import ResultCode
from rosemaryseam.common.metrics import Metrics
from rosemaryseam.node.dispatcher import CatalogueChanged
from rosemaryseam.node.grants import GrantTask
from rosemaryseam.node.member import LIVE, MembershipView, Peer
from rosemaryseam.node.messages import (
    Epoch,
    Grant,
    Lease,
    LeaseAck,
    Received,
    Takeover,
)
from rosemaryseam.node.settings import Timing
from rosemaryseam.node.tickets import Ticket
from rosemaryseam.node.transport import Transport

OLD, CURRENT, NEW = Epoch(1, 'host-2'), Epoch(2, 'host-2'), Epoch(3, 'host-2')
PARTITION = 'models#0'
TICKET = Ticket('models', 'drafting', 'market', '', 0.0, 30.0)


class _RecordingTransport(Transport):
    """Records the messages sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []

    def send(self, host: str, message: Any) -> None:
        self.sent.append(message)

    def send_to_address(self, address: str, message: Any) -> None:
        self.sent.append(message)

    def register(self, host: str, address: str) -> None:
        pass

    def reset(self, address: str) -> None:
        pass


class _Gateway:
    """Runs a gateway that has promised ``CURRENT``, with one waiting request."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.transport = _RecordingTransport()
        self.task = GrantTask(
            self.clock, Metrics(), Timing(), 'host-1', 1, self.transport
        )
        self.set_view(reachable=True)
        self.task.post(CatalogueChanged(1, small_catalogue(4)))
        self.receive(Takeover(PARTITION, CURRENT))
        self.key, self.result = self.task.request(TICKET)
        self.receive(_grant('another', sequence=1))
        self.transport.sent.clear()

    def set_view(self, *, reachable: bool) -> None:
        mine = Peer('host-1', 1, 'zone-a', LIVE, True, 1)
        others = [
            Peer(name, 1, 'zone-a', LIVE, reachable, 1) for name in ('host-2', 'host-3')
        ]
        self.task.post(MembershipView('host-1', (mine, *others), (), frozenset()))
        self.task.handle_queued()

    def receive(self, message: Any) -> None:
        self.task.post(Received('host-2', message))
        self.task.handle_queued()


def _grant(key: str, **change: Any) -> Grant:
    return Grant(key, PARTITION, CURRENT, 2, 'engine-0')._replace(**change)


@pytest.mark.parametrize(
    ('change', 'delay_s', 'used'),
    [
        ({}, 0.0, True),
        ({}, 0.9, True),
        ({}, 1.1, False),
        ({'epoch': OLD}, 0.0, False),
        ({'epoch': NEW}, 0.0, False),
        ({'sequence': 1}, 0.0, False),
    ],
    ids=['good', 'in time', 'late', 'old', 'not promised', 'out of order'],
)
def test_gateway_uses_only_valid_grants(
    change: dict[str, Any], delay_s: float, used: bool
) -> None:
    gateway = _Gateway()
    gateway.clock.advance(delay_s)
    gateway.receive(_grant(gateway.key, **change))
    assert gateway.result.ready() is used


@pytest.mark.parametrize('epoch', [OLD, NEW])
def test_lease_of_another_epoch_is_not_accepted(epoch: Epoch) -> None:
    gateway = _Gateway()
    gateway.receive(Lease(PARTITION, epoch, 1, ()))
    kinds = [type(message) for message in gateway.transport.sent]
    assert LeaseAck not in kinds


def test_unused_grant_is_released() -> None:
    gateway = _Gateway()
    gateway.receive(_grant('never requested'))
    assert [message.outcome for message in gateway.transport.sent] == ['unused']


@pytest.mark.parametrize(
    ('lost_s', 'regained', 'code'),
    [
        (0.5, True, None),
        (0.95, False, None),
        (1.05, False, ResultCode.MINORITY),
    ],
    ids=['regained at once', 'connections are being replaced', 'refused'],
)
def test_requests_wait_while_silent_connections_are_replaced(
    lost_s: float, regained: bool, code: ResultCode | None
) -> None:
    gateway = _Gateway()
    gateway.set_view(reachable=False)
    gateway.clock.advance(lost_s)
    _, later = gateway.task.request(TICKET)
    if regained:
        gateway.set_view(reachable=True)
    gateway.task.tick()
    gateway.task.handle_queued()
    for result in (gateway.result, later):
        refusal = result.exception if result.ready() else None
        assert getattr(refusal, 'code', None) == code
    if regained:
        gateway.clock.advance(Timing().silence_s)
        gateway.task.tick()
        assert not gateway.result.ready()
