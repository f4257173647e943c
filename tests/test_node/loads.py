"""Streams of requests for the load tool, by request class."""

from __future__ import annotations

from typing import Any

from catalogues import KEYS

TIERS = {'coaching': 0, 'availability': 0, 'booking': 1, 'drafting': 1, 'listing': 2}


def chat(name: str, rate_per_s: float, **change: Any) -> dict[str, Any]:
    """Return a stream of chat completions of a request class."""
    return {
        'name': name,
        'kind': 'chat',
        'rate_per_s': rate_per_s,
        'keys': list(KEYS.values()),
        'target_ms': 1000.0,
        'request_class': name,
        'max_tokens': 60,
        **change,
    }


def bookings(rate_per_s: float, **change: Any) -> dict[str, Any]:
    """Return a stream of bookings, each with an idempotency key."""
    return {
        'name': 'booking',
        'kind': 'app',
        'rate_per_s': rate_per_s,
        'keys': list(KEYS.values())[:1],
        'target_ms': 2000.0,
        'target_of': 'answer',
        'path': '/apps/desk/bookings',
        'idempotency_key': True,
        **change,
    }


def scenario(fleet: Any, *streams: dict[str, Any], **change: Any) -> dict[str, Any]:
    """Return a scenario that sends the streams to all nodes of a fleet."""
    return {
        'nodes': [settings['listen'] for settings in fleet.nodes.values()],
        'duration_s': 10.0,
        'patience_s': 15.0,
        'seed': 3,
        'streams': list(streams),
        **change,
    }
