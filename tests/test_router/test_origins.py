"""Tests of the origins of streams: on hosts, in the store, and versions in it."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING

import gevent
import pytest
from routers import RunningFleet, configuration

from rosemaryseam.common.clock import ManualClock
from rosemaryseam.common.rangestore import Item
from rosemaryseam.router import originlog
from rosemaryseam.router.documentcodec import DocumentStateCodec
from rosemaryseam.router.feed import OtherItems
from rosemaryseam.router.originlog import ORIGINS_PREFIX, OriginLog
from rosemaryseam.router.origins import (
    Software,
    StreamOrigin,
    StreamOrigins,
    stream_name,
)
from rosemaryseam.router.softwarehistory import SOFTWARE_PREFIX, SoftwareHistory
from rosemaryseam.router.upstreams import Registry
from rosemaryseam.standins.rangestore import MemoryRangeStore

if TYPE_CHECKING:
    from collections.abc import Iterator

KEPT_S = 30.0
FIRST, SECOND = Software('work', '1'), Software('work', '2')


def kept_s() -> float:
    """Return for how long origins and versions are kept."""
    return KEPT_S


# Origins on hosts.


@pytest.fixture
def fleet() -> Iterator[RunningFleet]:
    """Yield four hosts without upstreams."""
    running = RunningFleet(4)
    yield running
    running.stop()


@pytest.mark.parametrize('killed', [0, 1, 2])
def test_other_hosts_know_an_origin_when_some_are_killed(
    killed: int, fleet: RunningFleet
) -> None:
    first, *others = fleet.hosts
    ids = [f'stream-{number}' for number in range(30)]
    for request_id in ids:
        first.router.stored.origins.record(request_id, FIRST)
    gevent.sleep(0.2)
    for host in fleet.hosts[:killed]:
        host.router.kill()
    found = [others[-1].router.stored.origins.find(request_id) for request_id in ids]
    assert set(found) <= {FIRST, None}
    if killed < 2:  # an origin is on two hosts besides its own
        assert None not in found


def test_an_unknown_origin_is_not_found_at_once(fleet: RunningFleet) -> None:
    host = fleet.hosts[0]
    began = host.clock.monotonic()
    assert host.router.stored.origins.find('unknown') is None
    assert host.clock.monotonic() - began < 0.3


AGES = [(0.0, FIRST), (KEPT_S - 1, FIRST), (KEPT_S + 1, None)]


@pytest.mark.parametrize(('age_s', 'software'), AGES)
def test_an_origin_is_kept_for_a_while(age_s: float, software: Software | None) -> None:
    clock = ManualClock()
    origins = StreamOrigins('10.0.0.1', clock, kept_s)
    origins.record('stream', FIRST)
    clock.advance(age_s)
    assert origins.find('stream') == software
    origins.record('other', FIRST)
    assert origins.size() == (1 if software is None else 2)


# Origins in the store.


class Writer:
    """A host that writes origins to a store, and what another host reads there."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ManualClock()
        monkeypatch.setattr(originlog.gevent, 'sleep', self.clock.advance)
        self.store = MemoryRangeStore(self.clock)
        self.read: dict[str, Software | None] = {}
        self.log = self.start()

    def start(self) -> OriginLog:
        """Return the log of a new process, which has read the store."""
        log = OriginLog('h', 1.0, self.store, kept_s, self.clock, self._keep)
        items = self.store.read_range(ORIGINS_PREFIX).items
        log.apply_items(OtherItems(items, complete=True))
        return log

    def _keep(self, origin: StreamOrigin) -> None:
        self.read[origin.request_id] = origin.software

    def write(self, *request_ids: str, software: Software = FIRST) -> None:
        """Have origins written."""
        self.log.send([StreamOrigin(one, software) for one in request_ids])
        self.log.step()


@pytest.fixture
def writer(monkeypatch: pytest.MonkeyPatch) -> Writer:
    """Return a writer with an empty store."""
    return Writer(monkeypatch)


def test_origins_are_read_by_the_next_process(writer: Writer) -> None:
    writer.log.send([StreamOrigin('a', FIRST), StreamOrigin('b', SECOND)])
    writer.write('c')
    assert writer.store.calls['write'] == 1
    writer.start()
    assert writer.read == {'a': FIRST, 'b': SECOND, 'c': FIRST}


def test_a_new_process_overwrites_no_recent_entry(writer: Writer) -> None:
    for number in range(10):
        writer.write(f'first-{number}')
    writer.log = writer.start()
    for number in range(10):
        writer.write(f'second-{number}')
    writer.read.clear()
    writer.start()
    assert len(writer.read) == 20


def test_the_number_of_entries_is_bounded_by_the_time_they_are_kept(
    writer: Writer,
) -> None:
    for number in range(300):
        writer.write(f'stream-{number}')
    items = writer.store.read_range(ORIGINS_PREFIX).items
    assert len(items) == KEPT_S / originlog.WRITE_INTERVAL_S
    writer.start()
    assert {f'stream-{number}' for number in range(230, 300)} <= set(writer.read)


@pytest.mark.parametrize('mode', ['refuse', 'silent', 'lose'])
def test_origins_are_written_again_after_a_failure(mode: str, writer: Writer) -> None:
    writer.store.set_mode(mode)
    writer.write('a')
    writer.store.set_mode('up')
    writer.log.step()
    writer.start()
    assert writer.read == {'a': FIRST}


def test_entries_are_removed_when_one_version_is_left(writer: Writer) -> None:
    for number in range(50):
        writer.write(f'stream-{number}')
    writer.log.set_needed(needed=True)
    writer.log.step()
    assert writer.store.read_range(ORIGINS_PREFIX).items
    writer.log.set_needed(needed=False)
    for _ in range(3):
        writer.log.step()
    assert not writer.store.read_range(ORIGINS_PREFIX).items


UNREADABLE = [b'', b'[]', b'{}', b'{"streams": 1, "number": 1}', b'\xff', b'{"x": 1}']


@pytest.mark.parametrize('value', UNREADABLE)
def test_unreadable_entries_are_skipped(value: bytes, writer: Writer) -> None:
    writer.store.put(ORIGINS_PREFIX + 'other/1', value)
    writer.write('a')
    writer.start()
    assert writer.read == {'a': FIRST}


# Ids that callers may send, and that older software wrote as they were.
ODD_IDS = [
    ('no-break space', 'id\xa0'),
    ('control character', 'id\x85'),
    ('long', 'x' * 5000),
    ('spaces', ' id '),
]


# Guards against an id of one caller that hides the origins of other streams.
@pytest.mark.parametrize(
    ('name', 'odd'), ODD_IDS, ids=[row[0].replace(' ', '-') for row in ODD_IDS]
)
def test_an_odd_id_hides_no_other_origin(name: str, odd: str, writer: Writer) -> None:
    writer.write('a', odd, 'b')
    reader = StreamOrigins('10.0.0.2', writer.clock, kept_s)
    log = OriginLog('k', 1.0, writer.store, kept_s, writer.clock, reader.adopt)
    items = writer.store.read_range(ORIGINS_PREFIX).items
    log.apply_items(OtherItems(items, complete=True))
    assert [reader.find(one) for one in ('a', odd, 'b')] == [FIRST] * 3


# Guards against long ids that fill the datagrams of others.
def test_the_name_of_a_stream_is_short_text() -> None:
    names = {stream_name(odd) for _, odd in ODD_IDS}
    assert len(names) == len(ODD_IDS)
    assert all(name.isascii() and len(name) < 50 for name in names)
    assert all(stream_name(name) == name for name in [*names, 'request-1'])


# Guards against an entry that costs the other origins of its writer.
def test_an_unreadable_id_costs_that_id_alone(writer: Writer) -> None:
    value = {'number': 1, 'streams': {'work': {'1': ['a', 7, None, 'b']}}}
    writer.store.put(ORIGINS_PREFIX + 'other/1', json.dumps(value).encode())
    writer.start()
    assert writer.read == {'a': FIRST, 'b': FIRST}


# Guards against a host whose entries no other host reads any more, as another writer
# left a huge number under its key.
def test_a_huge_number_makes_no_later_entry_unreadable(writer: Writer) -> None:
    value = {'number': 2**53, 'streams': {}}
    writer.store.put(ORIGINS_PREFIX + 'h/1', json.dumps(value).encode())
    writer.log = writer.start()
    writer.write('a')
    writer.start()
    assert writer.read == {'a': FIRST}


# Versions in the store.


class History:
    """A host that keeps the versions of a service in the store."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryRangeStore(self.clock)
        self.table = DocumentStateCodec().decode_configuration(configuration())
        self.entries: dict[str, bytes] = {}
        self.start()

    def start(self) -> None:
        """Start a new process, which reads the registry and the store."""
        self.registry = Registry()
        self.history = SoftwareHistory(
            'h', 1.0, self.store, self.registry, lambda: self.table, kept_s, self.clock,
            random.Random(1),
        )  # fmt: skip
        self.register()
        items = self.store.read_range(SOFTWARE_PREFIX).items
        self.history.apply_items(OtherItems(items, complete=True))

    def register(self, *versions: str) -> None:
        """Make these the versions of the registered upstreams."""
        if versions:
            self.entries = {
                f'u-{version}': json.dumps(
                    {
                        'service': 'work',
                        'address': '10.0.0.1:80',
                        'zone': 'a',
                        'slots': 4,
                        'version': version,
                    }
                ).encode()
                for version in versions
            }
        codec = DocumentStateCodec()
        self.registry.replace(
            {
                key: codec.decode_registration(key, self.entries[key])
                for key in self.entries
            },
            self.clock.monotonic(),
            after_outage=False,
        )
        self.history.registry_changed()

    def step(self) -> None:
        """Let the history bring its entries up to date."""
        self.history.registry_changed()
        self.history.step()


@pytest.fixture
def history() -> History:
    """Return the history of a host without upstreams."""
    return History()


GONE = [
    ('still there', ('1', '2'), 0.0, {'1', '2'}),
    ('gone lately', ('2',), KEPT_S - 1, {'1', '2'}),
    ('gone long ago', ('2',), KEPT_S + 1, {'2'}),
]


@pytest.mark.parametrize('restarted', [False, True])
@pytest.mark.parametrize(
    ('name', 'left', 'age_s', 'versions'), GONE, ids=[row[0] for row in GONE]
)
def test_versions_that_served_lately_are_known(
    name: str,
    left: tuple[str, ...],
    age_s: float,
    versions: set[str],
    restarted: bool,
    history: History,
) -> None:
    history.register('1', '2')
    history.step()
    history.register(*left)
    history.step()
    if restarted:
        history.start()
        history.step()
    history.clock.advance(age_s)
    history.step()
    assert history.history.versions('work') == versions
    assert history.history.has_several('work') == (len(versions) > 1)
    stored = history.store.read_range(SOFTWARE_PREFIX).items
    assert {json.loads(item.value)['version'] for item in stored} == versions


def test_an_unchanged_history_calls_the_store_once(history: History) -> None:
    history.register('1')
    for _ in range(50):
        history.clock.advance(2.0)
        history.step()
    assert history.store.calls['write'] == 1


def test_entries_that_a_restored_store_lost_are_written_again(history: History) -> None:
    copy = history.store.copy()
    history.register('1', '2')
    history.step()
    history.store.restore(copy)
    history.history.apply_items(OtherItems((), complete=True, restored=True))
    history.step()
    assert len(history.store.read_range(SOFTWARE_PREFIX).items) == 2


@pytest.mark.parametrize('value', [b'', b'[]', b'{"service": "work"}', b'\xff', b'1'])
def test_unreadable_versions_are_skipped(value: bytes, history: History) -> None:
    history.register('1')
    item = Item(SOFTWARE_PREFIX + 'x', value, 1)
    history.history.apply_items(OtherItems((item,)))
    history.step()
    assert history.history.versions('work') == {'1'}


# Guards against a version that is lost with all hosts, as another writer changed its
# entry.
def test_an_entry_that_became_unreadable_is_written_again(history: History) -> None:
    history.register('1')
    history.step()
    (item,) = history.store.read_range(SOFTWARE_PREFIX).items
    history.store.put(item.key, b'{')
    odd = history.store.read_range(SOFTWARE_PREFIX).items
    history.history.apply_items(OtherItems(odd))
    history.step()
    (written,) = history.store.read_range(SOFTWARE_PREFIX).items
    assert written.value == item.value
