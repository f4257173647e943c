"""Tests that odd values in the own prefixes of the store cost nothing else."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
from oddvalues import BYTES, HUGE, SURROGATE, OddValue, nested
from routers import RunningRouter, configuration

from rosemaryseam.router.documentcodec import CONFIGURATION_KEY, UPSTREAM_PREFIX
from rosemaryseam.router.hostentries import encode_host_entry, host_key

if TYPE_CHECKING:
    from collections.abc import Iterator

PREFIXES = [
    'rosemaryseam/hosts/127.0.9.1',
    'rosemaryseam/hosts/no address',
    'rosemaryseam/software/0123',
    'rosemaryseam/streams/127.0.9.1/1',
    'rosemaryseam/streams/127.0.0.1/1',
    'rosemaryseam/duties/usage',
    'rosemaryseam/usage',
    'rosemaryseam/quarantines/00000000000012ab',
    'rosemaryseam/quarantines/no digest',
    'rosemaryseam/upstreams/odd',
    'rosemaryseam/unknown/odd',
]
FIELDS = [
    OddValue('an infinite capacity', b'{"capacity": 1e400}'),
    OddValue('a capacity that is no number', b'{"capacity": NaN}'),
    OddValue('a negative capacity', b'{"capacity": -1}'),
    OddValue('a huge capacity', b'{"capacity": %d}' % HUGE),
    OddValue('a nested capacity', f'{{"capacity": {nested(900)}}}'.encode()),
    OddValue(
        'software that cannot be encoded',
        json.dumps({'service': 'work', 'version': SURROGATE}).encode(),
    ),
    OddValue(
        'software of a megabyte',
        json.dumps({'service': 'work', 'version': 'x' * 900_000}).encode(),
    ),
    OddValue('software of version 0', b'{"service": "work", "version": 0}'),
    OddValue('software of no version', b'{"service": "work", "version": null}'),
    OddValue('software of versions', b'{"service": "work", "version": []}'),
    OddValue(
        'streams of nested versions',
        f'{{"number": 1, "streams": {{"work": {{"1": {nested(900)}}}}}}}'.encode(),
    ),
    OddValue('streams as text', b'{"number": 1, "streams": {"work": {"1": "abc"}}}'),
    OddValue('streams of numbers', b'{"number": 1, "streams": {"work": {"1": [7]}}}'),
    OddValue('an infinite number', b'{"number": 1e400, "streams": {}}'),
    OddValue('a huge number', b'{"number": %d, "streams": {}}' % HUGE),
    OddValue('a nested owner', f'{{"incarnation": {nested(900)}}}'.encode()),
    OddValue('windows as a list', b'{"era": 0, "last": 1, "unreported": []}'),
    OddValue('an infinite quarantine', b'{"untilMs": 1e400, "seconds": 120}'),
    OddValue('a huge quarantine', b'{"untilMs": 1, "seconds": %d}' % HUGE),
    OddValue(
        'a nested quarantine',
        f'{{"untilMs": {nested(900)}, "seconds": 120}}'.encode(),
    ),
    OddValue('infinite counts', b'{"era": 0, "last": 1e400, "unreported": {}}'),
]
ODD = [*BYTES, *FIELDS]


@pytest.fixture
def unstarted() -> Iterator[RunningRouter]:
    """Yield a router that is not started."""
    running = RunningRouter()
    yield running
    running.stop()


# Guards against hosts that stop to follow the store at an entry of another writer or of
# older software (issue 42).
@pytest.mark.parametrize('when', ['first read', 'watch'])
@pytest.mark.parametrize('odd', ODD, ids=lambda odd: odd.name)
def test_an_odd_value_stops_nothing_else(
    odd: OddValue, when: str, unstarted: RunningRouter
) -> None:
    router = unstarted
    if when == 'watch':
        router.start()
    for prefix in PREFIXES:
        router.store.put(prefix, odd.value)
    if when == 'first read':
        router.start()
    router.add('one', lambda exchange: exchange.answer(200))
    router.store.put(CONFIGURATION_KEY, configuration(2))
    router.wait(lambda: router.router.feed.table.version == 2)
    assert router.call('safe').status == 200
    assert router.usable() == {'one'}
    assert router.router.metrics.value('internal_errors') == 0
    for prefix in PREFIXES:
        router.store.delete(prefix)
    router.store.delete(UPSTREAM_PREFIX + 'one')
    router.wait(lambda: router.usable() == set())
    assert router.router.metrics.value('internal_errors') == 0


# Guards against a part that fails at an entry and stops the parts that read it next.
def test_a_part_that_fails_stops_no_other(
    router: RunningRouter, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: object) -> None:
        raise ValueError('unexpected')

    monkeypatch.setattr(router.router.peers, 'apply_host_entries', fail)
    monkeypatch.setattr(router.router.paths, 'retain', fail)
    router.store.put('rosemaryseam/software/1', b'{"service": "work", "version": "v7"}')
    router.wait(lambda: 'v7' in router.router.stored.software.versions('work'))
    router.add('one', lambda exchange: exchange.answer(200))
    assert router.call('safe').status == 200
    failing = router.router.metrics.work_failures.failing()
    assert {'host_entries', 'retain_paths'} <= failing.keys()
    assert router.router.feed.staleness_s() < 1.0


# Guards against a host that stays unknown to hosts that start later, as another writer
# changed its entry.
@pytest.mark.parametrize('value', [b'', b'{"capacity": 1e400}', b'{"capacity": 7}'])
def test_a_host_registers_again_when_its_entry_was_changed(
    value: bytes, router: RunningRouter
) -> None:
    key = host_key(router.cfg.ip)
    router.wait(lambda: router.router.peers.lease() is not None)
    registered = router.store.read_key(key)
    router.store.put(key, value)
    router.wait(lambda: router.store.read_key(key).item.value != value)
    state = router.store.read_key(key)
    assert state.item.value == registered.item.value
    assert state.lease != 0
    assert router.router.metrics.value('internal_errors') == 0


# Guards against a host that is counted on after its end, as another writer changed its
# entry, which then outlives it.
def test_a_host_whose_entry_became_unreadable_is_dropped(
    router: RunningRouter,
) -> None:
    key = host_key('127.0.9.1')
    router.store.put(key, encode_host_entry(1, 1.0))
    router.wait(lambda: router.router.peers.host_count() == 2)
    router.store.put(key, b'{')
    router.wait(lambda: router.router.peers.host_count() == 1)
