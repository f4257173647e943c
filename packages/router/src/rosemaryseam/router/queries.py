"""Placement queries, placements, and the state handed over between dispatchers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from rosemaryseam.policy.prefixes import Part
    from rosemaryseam.router.requests import CallerRequest, Prompt


class Query(NamedTuple):
    """A request that a host wants to place.

    ``number`` is unique on the host that sends the query; ``request_id`` is the
    caller's id, for the log. ``parts`` is empty for requests without a prompt.
    ``pause_s`` is the target for the pause between events. ``due_in_s`` is the time
    until the latency target, ``expires_in_s`` the time until the caller's timeout ends.
    ``excluded`` holds the ids of upstreams that already failed the request.
    ``fingerprint`` is the same when its caller sends it again, 0 if it is not known.
    ``version`` is the only version of upstreams' software that may serve it, ``None``
    if any may.
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
    due_in_s: float
    expires_in_s: float
    body_bytes: int
    zone: str
    excluded: tuple[str, ...]
    fingerprint: int = 0
    version: str | None = None


class Placement(NamedTuple):
    """The upstream selected for a request.

    ``urgency`` is the request's rank in the engine's admission queue, 0 first.
    ``answer_timeout_s`` limits the wait for an answer that is not streamed, as no
    events show then that the upstream responds. ``inputs`` holds the values behind the
    decision, for the log. ``engine_slowdown`` is the factor by which the engine is
    estimated to be slower than its data sheet states. ``request_limit`` is the limit in
    requests per second that the upstream stated, if it has one.
    """

    number: int
    upstream: str
    urgency: int | None
    fetch_from: str | None
    expected_first_s: float
    answer_timeout_s: float | None
    engine_slowdown: float
    inputs: dict[str, object]
    request_limit: float | None = None


class PlacedPrompt(NamedTuple):
    """A prompt recently placed on an engine, and the engine's slowdown at that time."""

    upstream: str
    parts: tuple[Part, ...]
    engine_slowdown: float
    age_s: float


class InFlightReport(NamedTuple):
    """A request in flight, as reported to the new dispatcher of its upstream.

    ``age_s`` is the time since the placement, ``expires_in_s`` the time until the
    caller's timeout ends. ``started`` is true once the first event has arrived.
    ``digests`` holds what a crash of the upstream may be due to: the parts of the
    prompt but the last, and the fingerprint of the request.
    """

    number: int
    upstream: str
    rank: int
    prefill_tokens: int
    memory_tokens: int
    output_tokens: int
    pause_s: float | None
    expected_first_s: float
    age_s: float
    expires_in_s: float
    started: bool
    digests: tuple[int, ...] = ()
    fingerprint: int = 0


def suspect_digests(query: Query) -> tuple[int, ...]:
    """Return what a crash may be due to: shared parts, then the request itself.

    :param query: request that an upstream gets
    """
    parts = tuple(digest for digest, _ in query.parts[:-1])
    return (*parts, query.fingerprint) if query.fingerprint else parts


def hash_parts(prompt: Prompt) -> tuple[Part, ...]:
    """Return the parts of a prompt with digests that differ between models.

    :param prompt: prompt with the parts
    """
    return tuple(
        (_digest(prompt.model, part.digest), part.tokens) for part in prompt.parts
    )


def fingerprint(request: CallerRequest) -> int:
    """Return a digest that is the same when a caller sends a request again.

    :param request: request of a caller
    """
    digest = xxhash.xxh3_64()
    for field in (
        request.method,
        request.host.encode(),
        request.target,
        (request.api_key or '').encode(),
        request.body,
    ):
        digest.update(len(field).to_bytes(8, 'big'))
        digest.update(field)
    return digest.intdigest()


@functools.lru_cache(maxsize=4096)
def _digest(model: str, digest: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{model}\x00{digest}'.encode())
