"""Fuzz tests of the decoders of what operators, upstreams and hosts write."""

from __future__ import annotations

import copy
import json
import random
from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from oddvalues import CONFIGURATION, ENTRY, HUGE, SURROGATE

from rosemaryseam.common.errors import UnreadableError
from rosemaryseam.common.rangestore import Item
from rosemaryseam.platform.headers import HEADER_NAMES
from rosemaryseam.platform.state import PlatformStateCodec
from rosemaryseam.router import originlog, quarantinelog, usagereporter
from rosemaryseam.router.brittlereports import read_report
from rosemaryseam.router.datagramcodec import decode, encode
from rosemaryseam.router.datagrams import Datagram, Incarnation
from rosemaryseam.router.dutyclaim import read_owner
from rosemaryseam.router.headercodec import open_header_codec
from rosemaryseam.router.hostentries import decode_host_entry
from rosemaryseam.router.origins import Software, StreamOrigin
from rosemaryseam.router.softwarehistory import _decode as decode_software
from rosemaryseam.router.statedload import _decode_learned, _decode_report

if TYPE_CHECKING:
    from collections.abc import Callable

CODEC = PlatformStateCodec()
HEADERS = open_header_codec(HEADER_NAMES)
ODD = [None, True, 0, -1, 0.5, 1e300, float('inf'), float('nan'), HUGE, 2**70, '', 'x']
ODD += [SURROGATE, 'a\r\nb', ' x ', 'x' * 5000, [], {}, [[[]]], {'a': {}}, [None], 'é']
VALUES = st.sampled_from(ODD) | st.integers() | st.floats() | st.text(max_size=5)
fuzz = settings(max_examples=400, deadline=None, derandomize=True)


def places(value: Any, at: tuple = ()) -> list[tuple]:
    """Return the paths to all values of a document."""
    found = [at] if at else []
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    else:
        return found
    return found + [one for key, child in children for one in places(child, (*at, key))]


def change(document: Any, at: tuple, value: Any) -> Any:
    """Return a document with another value at a place."""
    changed = copy.deepcopy(document)
    parent = changed
    for key in at[:-1]:
        parent = parent[key]
    parent[at[-1]] = value
    return changed


FULL_ROUTE = {
    **CONFIGURATION['routes'][0],
    'split': [{'service': 'desk', 'weight': 1}],
    'gapAimMs': 300,
    'public': False,
    'resumable': True,
}
FULL = {
    **CONFIGURATION,
    'routes': [FULL_ROUTE],
    'services': [
        {
            'name': 'desk',
            'healthPath': '/health',
            'maxConns': 360,
            'engine': {'slots': 4, 'kvCapacity': 9, 'stride': 2, 'linkMbps': 1.0},
            'scaling': {'min': 0, 'max': 3, 'bootS': 4.0, 'zonePrices': {'q1': 1.0}},
        }
    ],
    'tenants': [{'name': 'north', 'apiKeys': ['k1'], 'priority': 1}],
}
FULL_PLACES = places(FULL)
ENTRY_PLACES = places({**ENTRY, 'leaves_ms': 5, 'spot': True})


# Guards against configurations that are taken and break the work that uses them.
@fuzz
@given(st.sampled_from(FULL_PLACES), VALUES)
def test_any_value_in_a_configuration_is_usable_or_unreadable(
    at: tuple, value: Any
) -> None:
    data = json.dumps(change(FULL, at, value)).encode()
    try:
        table = CODEC.decode_configuration(data)
    except UnreadableError:
        return
    for route in table.routes:
        assert 0 < route.timeout_s <= 86_400
        assert 0 <= route.rank <= 255
        assert all(0 <= share.weight < 1e16 for share in route.shares)
        table.find_route(route.host, route.prefix).name.encode()
    for name, service in table.services.items():
        assert int(service.max_connections) >= 0
        name.encode()
    table.find_workspace('k1')
    assert 0 <= table.version <= 2**53


# Guards against registrations that are taken and break the work that uses them.
@fuzz
@given(st.sampled_from(ENTRY_PLACES), VALUES, st.text(min_size=1, max_size=8))
def test_any_value_in_a_registration_is_usable_or_unreadable(
    at: tuple, value: Any, upstream_id: str
) -> None:
    entry = change({**ENTRY, 'leaves_ms': 5, 'spot': True}, at, value)
    try:
        found = CODEC.decode_registration(upstream_id, json.dumps(entry).encode())
    except UnreadableError:
        return
    upstream = found.upstream
    software = Software(upstream.service, upstream.version)
    datagram = Datagram(
        '10.0.0.1',
        1,
        left=(Incarnation(upstream.id, upstream.born),),
        origins=(StreamOrigin('r1', software),),
    )
    assert decode(encode(datagram)) == datagram
    assert 0 < upstream.address.port < 65536
    assert json.dumps(found._asdict(), default=str)


READERS: list[tuple[str, Callable[[bytes], Any], Any]] = [
    ('host', lambda data: decode_host_entry('10.0.0.1', data), {'capacity': 1.0}),
    ('software', decode_software, {'service': 'desk', 'version': 'v1'}),
    (
        'quarantine',
        lambda data: quarantinelog._decode(
            Item(f'{quarantinelog.QUARANTINES_PREFIX}00000000000012ab', data, 1)
        ),
        {'untilMs': 1_800_000_000_000, 'seconds': 120.0},
    ),
    (
        'origins',
        lambda data: originlog._decode(data, lambda _: None),
        {'number': 1, 'streams': {'desk': {'v1': ['r1', 'r2']}}},
    ),
    (
        'duty',
        lambda data: read_owner(Item('k', data, 1)),
        {'host': 'h', 'incarnation': 1},
    ),
    (
        'usage',
        usagereporter._decode,
        {'era': 0, 'last': 4, 'unreported': {'4': {'north': 3}}},
    ),
    (
        'load',
        lambda data: _decode_report(json.loads(data)),
        ['a', 1, 0.1, [1, 2, 3], 0.1, 5],
    ),
    (
        'learned',
        lambda data: _decode_learned(json.loads(data)),
        ['a', 1, 0.1, [1.0], 0.2],
    ),
    ('brittle', lambda data: read_report(json.loads(data)), ['a', 1, 3.0, 0.1, 7.0]),
]


# Guards against readers that raise what their callers do not expect.
@pytest.mark.parametrize(
    ('name', 'read', 'sound'), READERS, ids=[row[0] for row in READERS]
)
def test_any_value_of_other_hosts_is_read_or_unreadable(
    name: str, read: Callable[[bytes], Any], sound: Any
) -> None:
    rng = random.Random(name)
    read(json.dumps(sound).encode())
    entries = name in ('load', 'learned', 'brittle')  # decoded one by one
    for _ in range(400):
        at = rng.choice(places(sound))
        data = json.dumps(change(sound, at, rng.choice(ODD))).encode()
        if rng.random() < 0.2 and not entries:
            data = data[: rng.randrange(len(data))]
        try:
            read(data)
        except UnreadableError:
            continue
        except (TypeError, ValueError):
            assert entries  # readable() accepts any error of a list's entry
