"""Tests that odd items in answers of the store and of other hosts cost little."""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING, Any

import pytest
from oddvalues import BYTES, HUGE, SURROGATE, OddValue, nested
from rawanswers import RawServer

from rosemaryseam.common.errors import PlatformError
from rosemaryseam.common.rangestore import NO_VALUE, HistoryLostError, StorePosition
from rosemaryseam.platform.store import PlatformStore
from rosemaryseam.router.mirror import ERA_HEADER, read_mirror, watch_mirror

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

TIMEOUT_S = 0.5
START = StorePosition(0, 1)
ONE = {'key': 'a/1', 'value': 'b25l', 'revision': 2}
TWO = {'key': 'a/3', 'value': 'dHdv', 'revision': 4}

# Values and keys that a writer may choose, and whether the item is passed on.
ODD_ITEMS: list[tuple[str, str, bool]] = [
    ('value that is no base64', '{"key": "a/2", "value": "***", "revision": 3}', True),
    ('value as a number', '{"key": "a/2", "value": 7, "revision": 3}', True),
    ('value as an object', '{"key": "a/2", "value": {}, "revision": 3}', True),
    ('no value', '{"key": "a/2", "revision": 3}', True),
    (
        'key that cannot be encoded',
        json.dumps({'key': SURROGATE, 'value': 'eA==', 'revision': 3}),
        False,
    ),
]


@pytest.fixture
def server() -> Iterator[RawServer]:
    """Yield a server whose answer a test sets."""
    running = RawServer()
    yield running
    running.stop()


def read_store(server: RawServer) -> Any:
    """Read all items from the store."""
    return PlatformStore(server.address, TIMEOUT_S).read_range('')


def watch_store(server: RawServer) -> Any:
    """Watch the store."""
    return PlatformStore(server.address, TIMEOUT_S).watch_range('', START, 0.1)


def read_host(server: RawServer) -> Any:
    """Read all items from another host."""
    return read_mirror(server.address, TIMEOUT_S)


def watch_host(server: RawServer) -> Any:
    """Watch another host."""
    return watch_mirror(server.address, START, 0.1, TIMEOUT_S)


READS = [
    ('read of the store', read_store),
    ('watch of the store', watch_store),
    ('read of a host', read_host),
    ('watch of a host', watch_host),
]
by_read = pytest.mark.parametrize(
    ('name', 'read'), READS, ids=[row[0] for row in READS]
)


def body(name: str, *items: str) -> bytes:
    """Return the answer to a read with some items, of the store or of a host."""
    values = ', '.join(items)
    text = f'{{"items": [{values}], "events": [{values}], "asOf": 9, "revision": 9'
    text += ', "era": 0, "age_s": 0.1, "held_s": 0.0, "silent_s": 0.1}'
    return zlib.compress(text.encode()) if name.endswith('host') else text.encode()


# Guards against reads that fail as a whole, again and again, for one item (issue 42).
@pytest.mark.parametrize(
    ('item', 'odd', 'has_key'), ODD_ITEMS, ids=[row[0] for row in ODD_ITEMS]
)
@by_read
def test_an_odd_item_costs_that_item_alone(
    name: str,
    read: Callable[[RawServer], Any],
    item: str,
    odd: str,
    has_key: bool,
    server: RawServer,
) -> None:
    server.body = body(name, json.dumps(ONE), odd, json.dumps(TWO))
    answer = read(server)
    expected = [('a/1', b'one'), ('a/3', b'two')]
    if has_key:
        expected.insert(1, ('a/2', NO_VALUE))
    assert [(one.key, one.value) for one in answer.items] == expected
    assert answer.position == StorePosition(0, 9)


# Items of which not even the key or the revision can be read.
UNKNOWN_ITEMS = [
    ('no object', '7'),
    ('no key', '{"value": "eA==", "revision": 3}'),
    ('key as a number', '{"key": 7, "value": "eA==", "revision": 3}'),
    ('no revision', '{"key": "a/2", "value": "eA=="}'),
    ('huge revision', json.dumps({**ONE, 'revision': HUGE})),
    ('infinite revision', '{"key": "a/2", "value": "eA==", "revision": 1e400}'),
]
by_unknown_item = pytest.mark.parametrize(
    ('item', 'unknown'), UNKNOWN_ITEMS, ids=[row[0] for row in UNKNOWN_ITEMS]
)


# Guards against first reads that fail as a whole, again and again, for one item.
@by_unknown_item
def test_an_unknown_item_is_left_out_of_a_read(
    item: str, unknown: str, server: RawServer
) -> None:
    server.body = body('read of the store', json.dumps(ONE), unknown, json.dumps(TWO))
    answer = read_store(server)
    assert [one.value for one in answer.items] == [b'one', b'two']
    assert [one.is_unknown for one in answer.left_out] == [True]


# Guards against watches that fail at the same change without an end, and against a
# missed change: a change of an unknown key may be any change.
@by_unknown_item
def test_a_change_of_an_unknown_key_needs_a_new_read(
    item: str, unknown: str, server: RawServer
) -> None:
    server.body = body('watch of the store', json.dumps(ONE), unknown, json.dumps(TWO))
    with pytest.raises(HistoryLostError):
        watch_store(server)


# Guards against use of a copy that lacks items; the host reads elsewhere.
@pytest.mark.parametrize('read', [read_host, watch_host])
@by_unknown_item
def test_a_copy_with_an_unknown_item_is_a_failure_of_the_call(
    item: str, unknown: str, read: Callable[[RawServer], Any], server: RawServer
) -> None:
    server.body = body('read of a host', json.dumps(ONE), unknown, json.dumps(TWO))
    with pytest.raises(PlatformError):
        read(server)


ODD_ANSWERS = [
    *BYTES,
    OddValue('an item without a key', b'{"items": [{}], "events": [{}], "asOf": 1}'),
    OddValue(
        'a huge revision',
        json.dumps(
            {
                'items': [{**ONE, 'revision': HUGE}],
                'events': [{**ONE, 'revision': HUGE}],
                'asOf': 1,
            }
        ).encode(),
    ),
    OddValue('no position', b'{"items": [], "events": []}'),
    OddValue('infinite position', b'{"items": [], "events": [], "asOf": 1e400}'),
    OddValue('huge position', b'{"items": [], "events": [], "asOf": %d}' % HUGE),
    OddValue('items as an object', b'{"items": {}, "events": {}, "asOf": 1}'),
    OddValue('nested field', f'{{"x": {nested(5000)}}}'.encode()),
]


# Guards against errors that no caller of the store expects.
@pytest.mark.parametrize('odd', ODD_ANSWERS, ids=lambda odd: odd.name)
@by_read
def test_an_odd_answer_is_a_failure_of_the_call(
    name: str, read: Callable[[RawServer], Any], odd: OddValue, server: RawServer
) -> None:
    server.body = zlib.compress(odd.value) if name.endswith('host') else odd.value
    with pytest.raises(PlatformError):
        read(server)


# Guards against a watch of another host that fails in the same way again and again
# instead of a new read of all items.
@pytest.mark.parametrize('era', ['x', '9' * 5000, '1.5', ''])
def test_an_odd_era_of_a_host_hides_no_lost_history(
    era: str, server: RawServer
) -> None:
    server.status = '410 Gone'
    server.headers = [(ERA_HEADER, era)]
    with pytest.raises(HistoryLostError):
        watch_host(server)


def test_a_copy_that_decompresses_without_end_is_a_failure(server: RawServer) -> None:
    server.body = zlib.compress(b' ' * 100_000_000)
    with pytest.raises(PlatformError):
        read_host(server)


@pytest.mark.parametrize('era', ['x', '-1', '9' * 5000, '1.5', ''])
def test_an_odd_era_is_a_failure_of_the_call(era: str, server: RawServer) -> None:
    server.body = body('read of the store', json.dumps(ONE))
    server.headers = [('Store-Era', era)]
    with pytest.raises(PlatformError):
        read_store(server)


# Guards against a read that ends after a page of odd items, so that the upstreams of
# the next pages seem to have gone.
def test_a_page_of_odd_items_is_no_end_of_the_list(server: RawServer) -> None:
    odd = json.dumps({'key': SURROGATE, 'value': 'eA==', 'revision': 3})
    server.body = f'{{"items": [{odd}], "asOf": 9, "morePages": true}}'.encode()
    with pytest.raises(PlatformError):
        read_store(server)


def test_odd_answers_to_a_read_of_a_key_are_failures(server: RawServer) -> None:
    store = PlatformStore(server.address, TIMEOUT_S)
    server.body = b'{"key": 7, "value": "eA==", "revision": 1, "createdRev": 1}'
    with pytest.raises(PlatformError):
        store.read_key('a')
    server.body = json.dumps({**ONE, 'createdRev': HUGE, 'lease': 0}).encode()
    with pytest.raises(PlatformError):
        store.read_key('a')
