"""Tests of the client of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from storeserver import StoreServer

from rosemaryseam.common.errors import PlatformError, UnknownOutcomeError
from rosemaryseam.common.rangestore import HistoryLostError, RefusedError, Write
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
    assert snapshot.revision == server.store.revision


def test_watch_returns_changes_and_removals(
    server: StoreServer, client: PlatformStore
) -> None:
    revision = server.store.put('a/1', b'one')
    gevent.spawn_later(0.05, server.store.put, 'a/2', b'two')
    first = client.watch_range('', revision, 2.0)
    server.store.delete('a/1')
    second = client.watch_range('', first.revision, 2.0)
    assert [(item.key, item.value) for item in first.items] == [('a/2', b'two')]
    assert [(item.key, item.value) for item in second.items] == [('a/1', None)]


def test_watch_without_changes_ends(server: StoreServer, client: PlatformStore) -> None:
    changes = client.watch_range('', server.store.revision, 0.1)
    assert changes.items == ()


def test_lost_history_is_reported(server: StoreServer, client: PlatformStore) -> None:
    server.store.put('a/1', b'one')
    server.store.compact_history()
    with pytest.raises(HistoryLostError):
        client.watch_range('', 1, 0.1)


def test_leases_are_renewed_and_keys_written(
    server: StoreServer, client: PlatformStore
) -> None:
    lease = client.grant_lease(10.0)
    client.write((Write('x/1', b'one', lease),))
    assert client.renew_lease(lease)
    assert not client.renew_lease(lease + 1)
    client.write((), ('x/1',))
    assert client.read_range('x/').items == ()


READ_FAULTS = [(503, RefusedError), (429, RefusedError), ('silent', PlatformError)]


@pytest.mark.parametrize(('fault', 'error'), READ_FAULTS)
def test_read_faults_are_reported(
    server: StoreServer, client: PlatformStore, fault: int | str, error: type
) -> None:
    server.fault = fault
    with pytest.raises(error):
        client.read_range('')
    with pytest.raises(error):
        client.watch_range('', 1, 0.1)


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
