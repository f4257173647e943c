"""Requests to place, where they go, and what a new dispatcher is told of them."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from rosemaryseam.policy.prefixes import Part
    from rosemaryseam.router.requests import Prompt


class Query(NamedTuple):
    """A request that a host wants placed.

    ``number`` is the host's own, ``request_id`` the caller's, for the log. Without a
    prompt ``parts`` is empty. ``excluded`` upstreams failed the request before.
    """

    number: int
    request_id: str
    service: str
    route: str
    rank: int
    workspace_rank: int | None
    parts: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    max_output_tokens: int
    pause_s: float | None
    time_left_s: float
    patience_s: float
    body_bytes: int
    zone: str
    excluded: tuple[str, ...]


class Placement(NamedTuple):
    """Where a request goes.

    ``urgency`` is the engine's order of admission. ``answer_limit_s`` is how long an
    answer is awaited where no stream tells that the upstream lives. ``inputs`` is what
    decided, for the log. ``engine_speed`` is how many times slower than its sheet
    says the engine is believed to be.
    """

    number: int
    upstream: str
    urgency: int | None
    fetch_from: str | None
    expected_first_s: float
    answer_timeout_s: float | None
    engine_speed: float
    inputs: dict[str, object]


class PlacedPrompt(NamedTuple):
    """A prompt that an engine read lately; ``engine_speed`` is how slow it then was."""

    upstream: str
    parts: tuple[Part, ...]
    engine_speed: float
    age_s: float


class InFlightReport(NamedTuple):
    """A request in flight that another dispatcher, or none, has placed."""

    number: int
    upstream: str
    rank: int
    prefill_tokens: int
    memory_tokens: int
    output_tokens: int
    pause_s: float | None
    expected_first_s: float
    age_s: float
    patience_s: float
    started: bool


def hash_parts(prompt: Prompt) -> tuple[Part, ...]:
    """Return a prompt's parts with digests that tell models apart.

    :param prompt: the prompt
    """
    return tuple(
        (_digest(prompt.model, part.digest), part.tokens) for part in prompt.parts
    )


@functools.lru_cache(maxsize=4096)
def _digest(model: str, digest: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{model}\x00{digest}'.encode())
