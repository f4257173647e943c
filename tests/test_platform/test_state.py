"""Tests of decoding the platform's stored configuration and registry entries."""

from __future__ import annotations

import json
from typing import Any

import pytest
from oddvalues import ENTRY

from rosemaryseam.common.errors import UnreadableError
from rosemaryseam.platform.state import PlatformStateCodec
from rosemaryseam.router.routes import Repeat, pick_service

ROUTE = {
    'name': 'r-1',
    'host': 'Shop.example',
    'pathPrefix': '/a/',
    'kind': 'stream',
    'timeoutMs': 5000,
    'targetLatencyMs': 1500,
    'priority': 2,
    'service': 'desk',
    'maxAttempts': 2,
    'public': False,
    'sticky': True,
    'resumable': True,
    'gapAimMs': 1200,
}
SERVICE = {
    'name': 'desk',
    'healthPath': '/health',
    'maxConns': 360,
    'protocol': 'h1',
    'tls': False,
    'engine': {'slots': 64, 'kvCapacity': 1000, 'linkMbps': 10.0, 'stride': 5},
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [SERVICE],
    'limits': {
        'maxHeaderBytes': 1000,
        'maxBodyBytes': 2000,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [{'name': 'north', 'apiKeys': ['k1', 'k2'], 'priority': 1}],
}
CODEC = PlatformStateCodec()


def decode(**changes: Any) -> Any:
    """Return the routing table of a changed configuration."""
    return CODEC.decode_configuration(json.dumps({**CONFIG, **changes}).encode())


def test_configuration_is_decoded() -> None:
    table = decode()
    route = table.find_route('shop.example', '/a/b/c')
    assert table.version == 7
    assert route.name == 'r-1'
    assert (route.timeout_s, route.first_byte_target_s) == (5.0, 1.5)
    assert (route.pause_target_s, route.rank, route.max_runs) == (1.2, 2, 2)
    assert table.find_workspace('k2').name == 'north'
    assert table.find_workspace('k2').rank == 1
    assert table.find_workspace('k3') is None
    assert table.limits == (1000, 2000, 3.0, 15.0)
    engine = table.services['desk'].engine
    assert engine == (64, 1000, 5, True)


SCALING = {
    'min': 1,
    'max': 28,
    'bootS': 4.0,
    'spotPrice': 0.15,
    'zonePrices': {'zone-a': 1.0, 'zone-b': 0.8},
}
SCALINGS = [
    (None, None),
    (SCALING, (1, 28, 4.0, 0.15, {'zone-a': 1.0, 'zone-b': 0.8})),
    ({'max': 3, 'zonePrices': {'q': 2}, 'new': []}, (0, 3, 4.0, None, {'q': 2})),
]


# Guards against upstreams ordered beyond the limits, or of services without any.
@pytest.mark.parametrize(('scaling', 'expected'), SCALINGS)
def test_scaling_is_decoded(scaling: Any, expected: Any) -> None:
    services = decode(services=[{**SERVICE, 'scaling': scaling}]).services
    assert services['desk'].scaling == expected


KINDS = [
    ('safe', False, Repeat.WHOLE, False),
    ('unsafe', False, Repeat.NEVER, False),
    ('stream', False, Repeat.NEVER, True),
    ('stream', True, Repeat.RESUME, True),
    ('something new', True, Repeat.NEVER, False),
]


@pytest.mark.parametrize(('kind', 'resumable', 'repeat', 'streamed'), KINDS)
def test_repeat_mode_follows_from_route_kind(
    kind: str, resumable: bool, repeat: Repeat, streamed: bool
) -> None:
    route = {**ROUTE, 'kind': kind, 'resumable': resumable}
    decoded = decode(routes=[route]).routes[0]
    assert (decoded.repeat, decoded.streamed) == (repeat, streamed)


PATHS = [
    ('/a/', 'r-1'),
    ('/a/b', 'r-1'),
    ('/a/b/c', 'deep'),
    ('/a', None),
    ('/', None),
    ('/ab/', None),
    ('/other/', None),
]


@pytest.mark.parametrize(('path', 'expected'), PATHS)
def test_longest_prefix_matches(path: str, expected: str | None) -> None:
    deep = {**ROUTE, 'name': 'deep', 'pathPrefix': '/a/b/'}
    route = decode(routes=[ROUTE, deep]).find_route('shop.example', path)
    assert (route.name if route else None) == expected


def test_split_follows_its_weights() -> None:
    split = [{'service': 'desk', 'weight': 90}, {'service': 'new', 'weight': 10}]
    route = decode(routes=[{**ROUTE, 'service': None, 'split': split}]).routes[0]
    picked = [pick_service(route, step / 100) for step in range(100)]
    assert picked.count('desk') == 90
    assert picked.count('new') == 10


INVALID_CONFIGURATIONS = [
    ('not JSON', b'{'),
    ('not an object', b'[]'),
    ('no version', json.dumps({**CONFIG, 'version': None}).encode()),
    ('no routes', json.dumps({**CONFIG, 'routes': None}).encode()),
    ('a route without a host', json.dumps({**CONFIG, 'routes': [{}]}).encode()),
    ('not UTF-8', b'\xff\xfe'),
]


@pytest.mark.parametrize(
    ('name', 'value'),
    INVALID_CONFIGURATIONS,
    ids=[row[0] for row in INVALID_CONFIGURATIONS],
)
def test_invalid_configuration_is_rejected(name: str, value: bytes) -> None:
    with pytest.raises(UnreadableError):
        CODEC.decode_configuration(value)


def test_registry_entry_is_decoded() -> None:
    entry = CODEC.decode_registration('i-1', json.dumps(ENTRY).encode())
    assert entry.upstream.id == 'i-1'
    assert str(entry.upstream.address) == '10.0.0.9:8080'
    assert entry.upstream.born == ENTRY['born']
    assert not entry.leaving


INVALID_ENTRIES: list[tuple[str, dict[str, Any]]] = [
    ('unknown state', {'state': 'sleeping'}),
    ('no state', {'state': None}),
    ('no service', {'service': None}),
    ('service as a number', {'service': 5}),
    ('address with a host name', {'addr': 'host:80'}),
    ('no address', {'addr': None}),
    ('slots as text', {'slots': '64'}),
    ('no version', {'version': None}),
    ('sequence number as text', {'seq': '4'}),
    ('warm-up time as text', {'coldLeftMs': 'long'}),
    ('start time as text', {'born': 'yesterday'}),
    ('start time as a fraction', {'born': 1.5}),
]


@pytest.mark.parametrize(
    ('name', 'changes'), INVALID_ENTRIES, ids=[row[0] for row in INVALID_ENTRIES]
)
def test_invalid_registry_entry_is_rejected(name: str, changes: dict[str, Any]) -> None:
    with pytest.raises(UnreadableError):
        CODEC.decode_registration('i-1', json.dumps({**ENTRY, **changes}).encode())


def test_draining_entry_is_leaving() -> None:
    value = json.dumps({**ENTRY, 'state': 'draining'}).encode()
    assert CODEC.decode_registration('i-1', value).leaving


# Guards against entries that are rejected, and their upstreams lost, for new fields.
@pytest.mark.parametrize(
    ('fields', 'spot', 'leaves_in_s'),
    [
        ({}, False, None),
        ({'spot': True}, True, None),
        ({'spot': True, 'state': 'draining', 'leaves_ms': 2400}, True, 2.4),
        ({'spot': None, 'leaves_ms': -5}, False, 0.0),
        ({'spot': 'perhaps', 'leaves_ms': 'soon'}, False, None),
        ({'spot': 1, 'leaves_ms': True}, False, None),
    ],
)
def test_kind_and_time_left_are_decoded(
    fields: dict[str, Any], spot: bool, leaves_in_s: float | None
) -> None:
    entry = CODEC.decode_registration('i-1', json.dumps({**ENTRY, **fields}).encode())
    assert entry.upstream.spot is spot
    assert entry.leaves_in_s == leaves_in_s


KEYS = [
    ('op/config', True, None),
    ('servers/i-1', False, 'i-1'),
    ('rosemaryseam/hosts/10.0.0.1', False, None),
]


@pytest.mark.parametrize(('key', 'is_configuration', 'upstream'), KEYS)
def test_store_keys_are_classified(
    key: str, is_configuration: bool, upstream: str | None
) -> None:
    assert CODEC.is_configuration(key) is is_configuration
    assert CODEC.upstream_id(key) == upstream
