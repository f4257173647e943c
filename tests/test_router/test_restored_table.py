"""Tests hosts whose store lacks the configuration that others have in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import pytest
from routers import RunningFleet, RunningRouter, configuration
from test_stream_versions import count_joined, streams_of, take_up
from test_take_ups_out_of_step import add_engine

from rosemaryseam.common.errors import PlatformError
from rosemaryseam.router import restoredtable
from rosemaryseam.router.documentcodec import CONFIGURATION_KEY

if TYPE_CHECKING:
    from collections.abc import Iterator

    from rosemaryseam.common.addresses import Address
    from rosemaryseam.common.rangestore import Snapshot

REVOKED = configuration(2, workspaces=[{'name': 'north', 'keys': ['other']}])


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Yield three hosts with an upstream."""
    running = RunningFleet(3)
    running.add('one', lambda exchange: exchange.answer(200))
    yield running
    running.stop()


def wait_version(host: RunningRouter, version: int) -> None:
    """Wait until a host has a version in force."""
    host.wait(
        lambda: (
            host.router.feed.table is not None
            and host.router.feed.table.version == version
        )
    )


def start_another(fleet: RunningFleet) -> RunningRouter:
    """Start another host, which reads the store."""
    host = fleet.make_host(9)
    fleet.hosts.append(host)
    host.router.start()
    return host


# Guards against a revoked key that a host accepts which starts after the store came
# back from a copy (review/4, CONFIG).
def test_a_host_that_starts_after_a_restore_accepts_no_revoked_key(
    fleet: RunningFleet,
) -> None:
    copy = fleet.store.copy()
    fleet.store.put(CONFIGURATION_KEY, REVOKED)
    for host in fleet.hosts:
        wait_version(host, 2)
    fleet.store.restore(copy)
    host = start_another(fleet)
    host.wait(lambda: host.router.feed.table is not None)
    statuses = set()
    until = host.clock.monotonic() + 1.5
    while host.clock.monotonic() < until:
        statuses.add(host.call('safe').status)
    assert statuses <= {401, 503}
    assert host.call('safe').status == 401
    assert host.router.feed.table.version == 2


# Guards against the same at a host that had missed the change (soak seed 2011).
def test_a_host_that_missed_a_change_learns_of_it_after_a_restore(
    fleet: RunningFleet,
) -> None:
    late = fleet.hosts[0].router.feed.configuration
    copy = fleet.store.copy()
    fleet.store.put(CONFIGURATION_KEY, REVOKED)
    for host in fleet.hosts:
        wait_version(host, 2)
    late.table = late._codec.decode_configuration(configuration(1))
    fleet.store.restore(copy)
    wait_version(fleet.hosts[0], 2)
    assert fleet.hosts[0].call('safe').status == 401


# Guards against hosts that refuse all keys after a restore.
def test_hosts_accept_keys_soon_after_a_restore(fleet: RunningFleet) -> None:
    copy = fleet.store.copy()
    fleet.store.restore(copy)
    for host in fleet.hosts:
        host.wait(lambda host=host: host.router.feed.era() == 1)
        host.wait(lambda host=host: not host.router.feed.uncertain.is_set(), 1.0)
        assert host.call('safe').status == 200


def test_a_host_alone_accepts_keys_after_a_while() -> None:
    running = RunningRouter()
    running.store.restore(running.store.copy())
    running.start()
    try:
        running.add('one', lambda exchange: exchange.answer(200))
        assert running.call('safe').status == 503
        gevent.sleep(restoredtable.SETTLE_S)
        running.wait(lambda: running.call('safe').status == 200, 1.0)
    finally:
        running.stop()


# Guards against a host that starts while the configuration in the store is invalid and
# serves nothing, though the others have one in force (issue 42).
@pytest.mark.parametrize('value', [b'', b'{', b'[' * 5000, b'{version: 9}'])
def test_a_host_that_starts_with_an_invalid_configuration_asks_others(
    value: bytes, fleet: RunningFleet
) -> None:
    fleet.store.put(CONFIGURATION_KEY, value)
    host = start_another(fleet)
    wait_version(host, 1)
    host.wait(lambda: 'one' in host.usable())
    host.wait(lambda: host.call('safe').status == 200)
    fleet.store.put(CONFIGURATION_KEY, configuration(3))
    for one in fleet.hosts:
        wait_version(one, 3)


# Guards against a host that serves nothing, as the one that told the newest version
# cannot be read, though others have a configuration (issue 42).
def test_a_host_that_cannot_be_read_hides_no_configuration_of_others(
    fleet: RunningFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    unreadable = fleet.hosts[0]
    unreadable.router.feed.table.version = 9
    read = restoredtable.read_mirror

    def read_others(address: Address, timeout_s: float) -> Snapshot:
        if address.ip == unreadable.cfg.ip:
            raise PlatformError('no answer')
        return read(address, timeout_s)

    monkeypatch.setattr(restoredtable, 'read_mirror', read_others)
    fleet.store.put(CONFIGURATION_KEY, b'{')
    host = start_another(fleet)
    wait_version(host, 1)


# Guards against streams that are joined after all hosts were killed while the store
# came back from a copy, which lacks the new version (review/3, ORDER).
def test_no_stream_is_joined_while_entries_may_be_missing() -> None:
    fleet = RunningFleet(3)
    add_engine(fleet, 'engine-1', '1', fleet.hosts)
    copy = fleet.store.copy()
    add_engine(fleet, 'engine-2', '2', fleet.hosts)
    begun = streams_of(fleet, 12, fleet.hosts[1])
    upstreams = fleet.hosts[0].upstreams
    for host in fleet.hosts:
        host.router.kill()
    fleet.store.restore(copy)
    restarted = RunningFleet(3, store=fleet.store)
    try:
        restarted.hosts[0].upstreams = upstreams
        rest = [take_up(restarted.hosts[2], *stream) for stream in begun]
        assert count_joined(begun, rest) == 0
    finally:
        restarted.stop()
