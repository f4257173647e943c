"""Values that another writer may leave in the store, and that no reader expects."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

ENTRY = {
    'service': 'desk',
    'addr': '10.0.0.9:8080',
    'zone': 'q1',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'coldLeftMs': 0,
    'seq': 4,
    'born': 1774481671684,
}
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'shop.example',
            'pathPrefix': '/a/',
            'kind': 'safe',
            'timeoutMs': 5000,
            'targetLatencyMs': 1500,
            'priority': 2,
            'service': 'desk',
            'maxAttempts': 2,
        }
    ],
    'services': [{'name': 'desk', 'healthPath': '/health', 'maxConns': 360}],
    'limits': {'maxHeaderBytes': 1000, 'idleTimeoutMs': 15000},
    'tenants': [{'name': 'north', 'apiKeys': ['k1']}],
}
SURROGATE = '\ud800'  # no text that can be encoded
HUGE = 10**400  # no floating-point number


class OddValue(NamedTuple):
    """A value with a name for the tests."""

    name: str
    value: bytes


def nested(depth: int) -> str:
    """Return a JSON array in an array, and so on."""
    return '[' * depth + ']' * depth


def _with_raw(document: dict[str, Any], key: str, raw: str) -> bytes:
    """Return a document with a value that is written as given."""
    text = json.dumps({**document, key: '@raw'})
    return text.replace('"@raw"', raw).encode()


BYTES = [
    OddValue('empty', b''),
    OddValue('not UTF-8', b'\xff\xfe{'),
    OddValue('no JSON', b'{'),
    OddValue('null', b'null'),
    OddValue('a number', b'7'),
    OddValue('an infinite number', b'1e400'),
    OddValue('text', b'"text"'),
    OddValue('an array', b'[1, 2]'),
    OddValue('an empty object', b'{}'),
    OddValue('an open array of 2,000 levels', b'[' * 2000),
    OddValue('an array of 900 levels', nested(900).encode()),
    OddValue('an array of 100,000 levels', nested(100_000).encode()),
    OddValue('objects of 5,000 levels', b'{"a":' * 5000 + b'1' + b'}' * 5000),
    OddValue('a number of 5,000 digits', b'9' * 5000),
]

FIELDS: list[tuple[str, str, str]] = [
    ('nested service', 'service', nested(2000)),
    ('nested service of 900 levels', 'service', nested(900)),
    ('nested unknown field', 'other', nested(5000)),
    ('service that cannot be encoded', 'service', json.dumps(SURROGATE)),
    ('service with a line break', 'service', '"desk\\r\\nX: 1"'),
    ('service of a megabyte', 'service', json.dumps('x' * 1_000_000)),
    ('zone that cannot be encoded', 'zone', json.dumps(SURROGATE)),
    ('version that cannot be encoded', 'version', json.dumps(SURROGATE)),
    ('version as an object', 'version', '{"a": 1}'),
    ('state as an array', 'state', '["ready"]'),
    ('port out of range', 'addr', '"10.0.0.9:70000"'),
    ('port of many digits', 'addr', '"10.0.0.9:' + '9' * 6000 + '"'),
    ('port 0', 'addr', '"10.0.0.9:0"'),
    ('port in other digits', 'addr', '"10.0.0.9:\u00b2"'),
    ('no IP address', 'addr', '"256.0.0.9:80"'),
    ('address with a zone', 'addr', '"[fe80::1%eth0]:80"'),
    ('huge slots', 'slots', str(HUGE)),
    ('slots beyond 64 bits', 'slots', str(2**70)),
    ('infinite slots', 'slots', 'Infinity'),
    ('slots as a fraction', 'slots', '1.5'),
    ('slots as true', 'slots', 'true'),
    ('negative slots', 'slots', '-1'),
    ('start beyond 64 bits', 'born', str(2**70)),
    ('huge start', 'born', str(HUGE)),
    ('start that is no number', 'born', 'NaN'),
    ('huge sequence number', 'seq', str(HUGE)),
    ('infinite warm-up', 'coldLeftMs', '1e400'),
    ('warm-up that is no number', 'coldLeftMs', 'NaN'),
]
ODD_ENTRIES = [
    *BYTES,
    *(OddValue(name, _with_raw(ENTRY, key, raw)) for name, key, raw in FIELDS),
]


def _changed_route(key: str, raw: str) -> bytes:
    text = json.dumps(CONFIGURATION)
    route = json.dumps(CONFIGURATION['routes'][0])
    changed = _with_raw(CONFIGURATION['routes'][0], key, raw).decode()
    return text.replace(route, changed).replace('"version": 7', '"version": 8').encode()


def _changed(key: str, raw: str) -> bytes:
    return _with_raw({**CONFIGURATION, 'version': 8}, key, raw)


ROUTE_FIELDS: list[tuple[str, str, str]] = [
    ('infinite time limit', 'timeoutMs', '1e400'),
    ('huge time limit', 'timeoutMs', str(HUGE)),
    ('time limit that is no number', 'timeoutMs', 'NaN'),
    ('negative time limit', 'timeoutMs', '-5'),
    ('no time', 'timeoutMs', '0'),
    ('time limit as text', 'timeoutMs', '"5000"'),
    ('time limit as true', 'timeoutMs', 'true'),
    ('infinite target', 'targetLatencyMs', 'Infinity'),
    ('huge rank', 'priority', str(2**70)),
    ('rank beyond 8 bits', 'priority', '300'),
    ('negative rank', 'priority', '-1'),
    ('infinite rank', 'priority', '1e400'),
    ('infinite attempts', 'maxAttempts', '1e400'),
    ('no attempts', 'maxAttempts', '0'),
    ('nested kind', 'kind', nested(2000)),
    ('nested service', 'service', nested(2000)),
    ('service as a number', 'service', '7'),
    ('service that cannot be encoded', 'service', json.dumps(SURROGATE)),
    ('host as an array', 'host', '[]'),
    ('prefix as a number', 'pathPrefix', '7'),
    ('prefix without a slash', 'pathPrefix', '"a"'),
    ('split of infinite weights', 'split', '[{"service": "a", "weight": 1e400}]'),
    ('split of negative weights', 'split', '[{"service": "a", "weight": -1}]'),
    ('split as an object', 'split', '{"a": 1}'),
    ('infinite pause', 'gapAimMs', '1e400'),
]
TOP_FIELDS: list[tuple[str, str, str]] = [
    ('huge version', 'version', str(HUGE)),
    ('version beyond 64 bits', 'version', str(2**70)),
    ('infinite version', 'version', '1e400'),
    ('version as text', 'version', '"8"'),
    ('version as true', 'version', 'true'),
    ('version as a fraction', 'version', '8.5'),
    ('negative version', 'version', '-8'),
    ('nested limits', 'limits', nested(3000)),
    ('infinite limit', 'limits', '{"maxBodyBytes": 1e400}'),
    ('negative limit', 'limits', '{"maxHeaderBytes": -1}'),
    ('limit that is no number', 'limits', '{"idleTimeoutMs": NaN}'),
    ('huge limit', 'limits', '{"headerTimeoutMs": ' + str(HUGE) + '}'),
    ('services without health path', 'services', '[{"name": "desk"}]'),
    (
        'infinite connections',
        'services',
        '[{"name":"d","healthPath":"/","maxConns":1e400}]',
    ),
    (
        'infinite engine',
        'services',
        '[{"name":"d","healthPath":"/","engine":{"slots":1e400,"kvCapacity":1}}]',
    ),
    (
        'engine without memory as a number',
        'services',
        '[{"name":"d","healthPath":"/","engine":{"slots":4,"kvCapacity":"all"}}]',
    ),
    ('keys as a number', 'tenants', '[{"name": "north", "apiKeys": 7}]'),
    ('a key as a number', 'tenants', '[{"name": "north", "apiKeys": [7]}]'),
    ('keys as text', 'tenants', '[{"name": "north", "apiKeys": "k1"}]'),
    (
        'a workspace with a line break',
        'tenants',
        '[{"name":"n\\r\\nX: 1","apiKeys":["k"]}]',
    ),
    (
        'a workspace of a huge rank',
        'tenants',
        '[{"name":"n","apiKeys":["k"],"priority":99999}]',
    ),
    ('tenants as an object', 'tenants', '{"a": 1}'),
]
ODD_CONFIGURATIONS = [
    *BYTES,
    *(OddValue(name, _changed_route(key, raw)) for name, key, raw in ROUTE_FIELDS),
    *(OddValue(name, _changed(key, raw)) for name, key, raw in TOP_FIELDS),
]
