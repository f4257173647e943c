"""Tests that odd messages of other hosts cost these messages alone."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import gevent
import pytest
from routers import RunningFleet

from rosemaryseam.router.datagramcodec import encode
from rosemaryseam.router.datagrams import Datagram, PartMessage
from rosemaryseam.router.statedload import _decode_learned, _decode_report

if TYPE_CHECKING:
    from collections.abc import Iterator

HUGE = 10**400


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Yield two hosts."""
    running = RunningFleet(2)
    yield running
    running.stop()


REPORT = ['one', 1, 0.1, [1, 2, 3, 100], 0.01, 5, 0.02]
LEARNED = ['one', 1, 0.1, [1000.0, 0.01, 0.001], 0.02]
ODD_FIELDS: list[tuple[int, Any]] = [
    (0, 7),
    (0, ''),
    (0, '\ud800'),
    (1, HUGE),
    (1, 2**70),
    (1, 'x'),
    (1, None),
    (2, HUGE),
    (2, 'x'),
    (2, True),
    (3, 'abcd'),
    (3, ['a', 'b', 'c', 'd']),
    (3, [HUGE, 1, 1, 1]),
    (4, 'x'),
    (4, HUGE),
    (4, -1),
]


# Guards against evidence that breaks later decisions of a dispatcher.
@pytest.mark.parametrize(('place', 'value'), ODD_FIELDS)
@pytest.mark.parametrize('decode', [_decode_report, _decode_learned])
def test_odd_evidence_is_unreadable(decode: Any, place: int, value: Any) -> None:
    entry = [*(REPORT if decode is _decode_report else LEARNED)]
    decode(entry)
    entry[place] = value
    with pytest.raises(Exception):  # noqa: B017 - readable() accepts any error
        decode(entry)


ODD_MESSAGES: list[tuple[str, Any]] = [
    ('load', None),
    ('load', []),
    ('load', {'seen': 7}),
    ('load', {'seen': [[]], 'learned': [None]}),
    ('load', {'seen': [['one', 1, 0.1, ['a', 'b', 'c'], 0.01, 5]]}),
    ('brittle', None),
    ('brittle', 'text'),
    ('brittle', [None, ['one'], ['one', 'x', 1, 1], ['one', 1, 'x', 1]]),
    ('brittle', [['one', HUGE, HUGE, HUGE]]),
    ('unknown kind', {}),
]


# Guards against hosts that stop to hear one another at a message of an older version.
@pytest.mark.parametrize(('kind', 'body'), ODD_MESSAGES)
def test_an_odd_message_stops_nothing_else(
    kind: str, body: Any, fleet: RunningFleet
) -> None:
    sender, receiver = (host.router.peers for host in fleet.hosts)
    fleet.add('one', lambda exchange: exchange.answer(200))
    heard = []
    receiver.subscribe('test', lambda _, body: heard.append(body))
    for message in (PartMessage(kind, body), PartMessage('test', 'after')):
        sender.send_message(receiver._address.ip, *message)
    fleet.hosts[0].wait(lambda: heard == ['after'])
    assert all(host.call('safe').status == 200 for host in fleet.hosts)
    for host in fleet.hosts:
        assert host.router.metrics.value('internal_errors') == 0


# Guards against entries of messages that are skipped without a trace.
@pytest.mark.parametrize(
    ('kind', 'body'),
    [
        ('load', {'seen': [REPORT, ['one'], REPORT]}),
        ('load', {'learned': [LEARNED, ['one'], LEARNED]}),
        ('brittle', [['one', 1, 2.0, 0.1], ['one'], ['one', 1, 2.0, 0.1]]),
    ],
)
def test_an_odd_entry_of_a_message_is_shown_once(
    kind: str, body: Any, fleet: RunningFleet
) -> None:
    sender, receiver = (host.router for host in fleet.hosts)
    for _ in range(3):
        sender.peers.send_message(receiver.peers._address.ip, kind, body)
    fleet.hosts[1].wait(lambda: receiver.metrics.value('peer_unreadable') == 3)
    (shown,) = receiver.dump()['skipped_values'].items()
    assert f'{kind} message' in shown[0]
    values = receiver.metrics.dump().items()
    assert sum(number for name, number in values if 'values_skipped' in name) == 1


# Guards against messages of a whole turn that are lost with one that is not encoded.
def test_a_message_that_cannot_be_encoded_stops_no_other(fleet: RunningFleet) -> None:
    sender, receiver = (host.router.peers for host in fleet.hosts)
    heard = []
    receiver.subscribe('test', lambda _, body: heard.append(body))
    host = receiver._address.ip
    sender.send_started(host, 2**40)  # too large for its field
    sender.send_message(host, 'test', 'first')
    gevent.sleep(0.05)
    sender.send_message(host, 'test', 'second')
    fleet.hosts[0].wait(lambda: 'second' in heard)
    assert heard == ['first', 'second']
    assert fleet.hosts[0].router.metrics.value('peer_unsendable') == 1


def test_a_datagram_of_noise_is_skipped(fleet: RunningFleet) -> None:
    sender, receiver = (host.router.peers for host in fleet.hosts)
    host = receiver._address.ip
    for data in (b'', b'\x00' * 100, encode(Datagram('9.9.9.9', 1))[:-4]):
        sender._transmit(host, data)
    fleet.hosts[1].wait(
        lambda: fleet.hosts[1].router.metrics.value('peer_unreadable') >= 3
    )
    assert json.dumps(fleet.hosts[1].router.dump(), default=str)
    fleet.add('one', lambda exchange: exchange.answer(200))
    assert fleet.hosts[0].call('safe').status == 200
