"""Tests of the client of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from storeserver import StoreServer

from rosemaryseam.common.errors import PlatformError, UnknownOutcomeError
from rosemaryseam.common.exchange import Answer
from rosemaryseam.common.rangestore import (
    ConflictError,
    EraChangedError,
    Expected,
    HistoryLostError,
    RefusedError,
    StorePosition,
    Write,
)
from rosemaryseam.platform.store import PlatformStore

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 0.3


@pytest.fixture
def server() -> Iterator[StoreServer]:
    """A store that serves pages of three items."""
    running = StoreServer(page=3)
    yield running
    running.stop()


@pytest.fixture
def client(server: StoreServer) -> PlatformStore:
    """A client of the store."""
    return PlatformStore(server.address, TIMEOUT_S)


def test_read_returns_all_pages(server: StoreServer, client: PlatformStore) -> None:
    for number in range(8):
        server.store.put(f'a/{number}', bytes([number, 255]))
    server.store.put('b/1', b'other')
    snapshot = client.read_range('a/')
    assert [item.value for item in snapshot.items] == [
        bytes([number, 255]) for number in range(8)
    ]
    assert snapshot.position == server.store.position


def test_watch_returns_changes_and_removals(
    server: StoreServer, client: PlatformStore
) -> None:
    server.store.put('a/1', b'one')
    start = server.store.position
    gevent.spawn_later(0.05, server.store.put, 'a/2', b'two')
    first = client.watch_range('', start, 2.0)
    server.store.delete('a/1')
    second = client.watch_range('', first.position, 2.0)
    assert [(item.key, item.value) for item in first.items] == [('a/2', b'two')]
    assert [(item.key, item.value) for item in second.items] == [('a/1', None)]


def test_watch_without_changes_ends(server: StoreServer, client: PlatformStore) -> None:
    changes = client.watch_range('', server.store.position, 0.1)
    assert changes.items == ()


def test_lost_history_is_reported(server: StoreServer, client: PlatformStore) -> None:
    server.store.put('a/1', b'one')
    server.store.compact_history()
    with pytest.raises(HistoryLostError):
        client.watch_range('', StorePosition(0, 1), 0.1)


def test_leases_are_renewed_and_keys_written(
    server: StoreServer, client: PlatformStore
) -> None:
    lease = client.grant_lease(10.0)
    client.write((Write('x/1', b'one', lease.id),))
    assert client.renew_lease(lease)
    assert not client.renew_lease(lease._replace(id=lease.id + 1))
    client.write((), ('x/1',))
    assert client.read_range('x/').items == ()


def test_a_watch_of_a_restored_store_reports_the_new_era(
    server: StoreServer, client: PlatformStore
) -> None:
    copy = server.store.copy()
    server.store.put('a/1', b'lost')
    watched = client.read_range('').position
    server.store.restore(copy)
    server.store.put('a/1', b'other')  # gets the revision of the lost write
    with pytest.raises(EraChangedError):
        client.watch_range('', watched, 0.1)
    assert client.read_range('').position == StorePosition(1, watched.revision)


def test_a_lease_of_an_earlier_era_is_not_valid(
    server: StoreServer, client: PlatformStore
) -> None:
    copy = server.store.copy()
    lost = client.grant_lease(10.0)
    server.store.restore(copy)
    others = client.grant_lease(10.0)
    assert others.id == lost.id
    assert not client.renew_lease(lost)
    assert client.renew_lease(others)


@pytest.mark.parametrize('offset', [None, -1, 0], ids=['absent', 'older', 'equal'])
def test_a_write_takes_place_only_at_the_expected_revision(
    server: StoreServer, client: PlatformStore, offset: int | None
) -> None:
    """Without the condition, two hosts would own the same duty."""
    revision = server.store.put('x/1', b'one')
    expected = (Expected('x/1', 0 if offset is None else revision + offset),)
    if offset == 0:
        position = client.write((Write('x/1', b'two'),), (), expected)
        assert client.read_key('x/1')[:2] == (('x/1', b'two', position[1]), revision)
    else:
        with pytest.raises(ConflictError) as caught:
            client.write((Write('x/1', b'two'),), (), expected)
        assert caught.value.items == (('x/1', b'one', revision),)


def test_a_conflict_about_an_absent_key_says_so(client: PlatformStore) -> None:
    with pytest.raises(ConflictError) as caught:
        client.write((), ('x/1',), (Expected('x/1', 4),))
    assert caught.value.items == (('x/1', None, 0),)
    assert client.read_key('x/1').item is None


def test_keys_go_with_their_lease_and_cannot_join_an_ended_one(
    client: PlatformStore,
) -> None:
    """A claim that is executed late must not outlive a process that gave up."""
    lease = client.grant_lease(10.0)
    client.write((Write('x/1', b'one', lease.id),))
    assert client.read_key('x/1').lease == lease.id
    client.end_lease(lease)
    assert client.read_key('x/1').item is None
    with pytest.raises(RefusedError):
        client.write((Write('x/1', b'one', lease.id),))


UNREADABLE_ANSWERS = [
    b'',
    b'[]',
    b'{}',
    b'{"asOf": "x", "items": [], "events": []}',
    b'{"asOf": 3, "items": 7, "events": 7}',
    b'{"asOf": 3, "items": [7], "events": [7]}',
    b'{"asOf": 3, "items": [{}], "events": [{}]}',
    b'{"asOf": 3, "items": [{"key": "a", "revision": "x"}], "events": [null]}',
    b'\xff',
]


@pytest.mark.parametrize('body', UNREADABLE_ANSWERS)
def test_unreadable_answers_are_reported(
    body: bytes, client: PlatformStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    answer = Answer(200, (('Store-Era', '1'),), body)
    monkeypatch.setattr('rosemaryseam.platform.store.call', lambda *_, **__: answer)
    with pytest.raises(PlatformError):
        client.read_range('')
    with pytest.raises(PlatformError):
        client.watch_range('', StorePosition(1, 2), 0.1)
    with pytest.raises(PlatformError):
        client.grant_lease(1.0)
    with pytest.raises(PlatformError):
        client.write(())
    with pytest.raises(PlatformError):
        client.read_key('a')


READ_FAULTS = [(503, RefusedError), (429, RefusedError), ('silent', PlatformError)]


@pytest.mark.parametrize(('fault', 'error'), READ_FAULTS)
def test_read_faults_are_reported(
    server: StoreServer, client: PlatformStore, fault: int | str, error: type
) -> None:
    server.fault = fault
    with pytest.raises(error):
        client.read_range('')
    with pytest.raises(error):
        client.watch_range('', StorePosition(0, 1), 0.1)


WRITE_FAULTS = [
    (503, RefusedError),
    (429, RefusedError),
    ('silent', UnknownOutcomeError),
    ('lose', UnknownOutcomeError),
]


@pytest.mark.parametrize(('fault', 'error'), WRITE_FAULTS)
def test_write_faults_are_reported(
    server: StoreServer, client: PlatformStore, fault: int | str, error: type
) -> None:
    server.fault = fault
    with pytest.raises(error):
        client.write((Write('x/1', b'one'),))
    server.fault = None
    written = bool(client.read_range('x/').items)
    assert written is (fault == 'lose')


def test_unreachable_store_is_reported(
    server: StoreServer, client: PlatformStore
) -> None:
    server.stop()
    with pytest.raises(PlatformError):
        client.read_range('')
