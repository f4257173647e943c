"""Capacity of an engine and the requests that are in flight on it."""

from __future__ import annotations

from typing import NamedTuple


class EngineCapacity(NamedTuple):
    """Capacity of an engine.

    ``batch_slots`` is its maximum number of concurrent requests, ``cache_tokens`` the
    size of its memory and ``tokens_per_event`` the number of tokens in an event.
    """

    batch_slots: int
    cache_tokens: int
    tokens_per_event: int


class RequestKey(NamedTuple):
    """Identifies a request in flight within the whole fleet."""

    host: str
    number: int


class InFlightRequest(NamedTuple):
    """Describes a request that a host has sent to an engine.

    ``prefill_tokens`` counts the prompt tokens not expected in the engine's cache,
    ``memory_tokens`` the memory that it will occupy beside shared parts. ``pause_s`` is
    the longest pause between events that meets its target, ``expires_at`` the time at
    which the timeout of its caller ends. Times are in seconds on the monotonic clock.
    """

    key: RequestKey
    rank: int
    prefill_tokens: int
    memory_tokens: int
    output_tokens: int
    pause_s: float | None
    placed_at: float
    expected_first_s: float
    expires_at: float


class CompletionAtRisk(NamedTuple):
    """Describes a request that may not complete in time.

    ``tokens`` is the number of tokens still to generate, ``expires_in_s`` the time
    until the timeout of its caller ends.
    """

    rank: int
    tokens: float
    expires_in_s: float
