"""The sample catalogue of the demo and the tests."""

from __future__ import annotations

import hashlib
from typing import Any

KEYS = {
    'market': 'market-key-000001',
    'mediation': 'mediation-key-01',
    'court': 'court-key-0000001',
}


def sample_catalogue(
    engines: dict[str, str], apps: dict[str, str], concurrent: int = 8
) -> dict[str, Any]:
    """Return a catalogue for the given upstreams.

    :param engines: addresses of the engines by name
    :param apps: addresses of the app runners by name
    :param concurrent: concurrency limit of each upstream
    """
    return {
        'classes': _classes(),
        'workspaces': [
            {
                'name': name,
                'keys': [hashlib.sha256(key.encode()).hexdigest()],
                'classes': [entry['name'] for entry in _classes()],
                'may_choose_class': True,
            }
            for name, key in KEYS.items()
        ],
        'routes': [
            {'path': '/apps/desk/availability*', 'request_class': 'availability'},
            {'path': '/apps/*', 'request_class': 'booking'},
            {'path': '/v1/completions', 'request_class': 'listing'},
            {'path': '/v1/*', 'request_class': 'drafting'},
        ],
        'pools': [
            {'name': 'models', 'kind': 'engine', 'models': ['small']},
            {'name': 'desk', 'kind': 'app'},
        ],
        'upstreams': [
            *_upstreams('models', 'model-team', engines, concurrent),
            *_upstreams('desk', 'desk-team', apps, concurrent),
        ],
    }


def _classes() -> list[dict[str, Any]]:
    return [
        {
            'name': 'coaching',
            'tier': 0,
            'target': {'first_token_ms': 460},
            'on_miss': 'shed',
            'max_wait_ms': 3000,
        },
        {
            'name': 'availability',
            'tier': 0,
            'target': {'answer_ms': 500},
            'on_miss': 'shed',
            'max_wait_ms': 2000,
            'max_run_ms': 5000,
        },
        {
            'name': 'booking',
            'tier': 1,
            'target': {'answer_ms': 2000},
            'idempotent': False,
            'max_wait_ms': 5000,
            'max_run_ms': 10000,
        },
        {
            'name': 'drafting',
            'tier': 1,
            'target': {'first_token_ms': 5000},
            'floor': 0.05,
            'preemptible': True,
            'max_run_ms': 60000,
        },
        {
            'name': 'listing',
            'tier': 2,
            'target': {'first_token_ms': 10000},
            'floor': 0.05,
            'preemptible': True,
            'max_run_ms': 60000,
        },
    ]


def _upstreams(
    pool: str, owner: str, addresses: dict[str, str], concurrent: int
) -> list[dict[str, Any]]:
    zones = ('zone-a', 'zone-b', 'zone-c')
    return [
        {
            'name': name,
            'pool': pool,
            'owner': owner,
            'address': address,
            'zone': zones[index % len(zones)],
            'limits': {'concurrent': concurrent},
        }
        for index, (name, address) in enumerate(addresses.items())
    ]
