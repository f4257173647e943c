"""Scenario files of the load tool, in YAML."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from pydantic import Field

from rosemaryseam.common.addresses import AddressText

Positive = Annotated[float, Field(gt=0.0)]


class Stream(NamedTuple):
    """A stream of requests of one class, with its target in milliseconds.

    Each request is sent ``copies`` times at once, through different nodes, with the
    same idempotency key.
    """

    name: str
    kind: Literal['chat', 'text', 'app']
    rate_per_s: Positive
    keys: tuple[str, ...]
    target_ms: Positive
    target_of: Literal['first_token', 'answer'] = 'first_token'
    streamed: bool = True
    path: str = '/v1/chat/completions'
    method: Literal['GET', 'POST'] = 'POST'
    idempotency_key: bool = False
    copies: Annotated[int, Field(gt=0, le=4)] = 1
    model: str = 'small'
    max_tokens: Annotated[int, Field(gt=0)] = 2000
    min_tokens: Annotated[int, Field(ge=0)] = 0
    prompt_words: Annotated[int, Field(gt=0)] = 20
    request_class: str | None = None


class Scenario(NamedTuple):
    """The requests that the load tool sends, and their nodes."""

    nodes: tuple[AddressText, ...]
    streams: tuple[Stream, ...]
    duration_s: Annotated[float, Field(gt=0.0, le=600.0)] = 20.0
    patience_s: Annotated[float, Field(gt=0.0, le=600.0)] = 30.0
    max_requests: Annotated[int, Field(gt=0, le=200_000)] = 20_000
    seed: int = 1
