"""Decoded requests of callers and decoded heads of upstreams' answers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address

RawHeaders = list[tuple[bytes, bytes]]


class Framing(enum.Enum):
    """How the end of an answer's body is marked."""

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'  # the body ends with the connection


class PromptPart(NamedTuple):
    """A part of a prompt, which other requests may share; ``tokens`` is its length."""

    digest: str
    tokens: int


class Prompt(NamedTuple):
    """Prompt parts and token counts that a request states about itself."""

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int

    @property
    def unshared_tokens(self) -> int:
        """The number of tokens in the last part, which no other request shares."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def last_shared_digest(self) -> str:
        """The digest of the last part that other requests can share."""
        if len(self.parts) > 1:
            return self.parts[-2].digest
        return self.parts[0].digest if self.parts else ''


class CallerRequest(NamedTuple):
    """A request as a caller sent it, with its complete body.

    ``target`` is the path and query of the request line. ``headers`` are the headers
    to forward, without hop-by-hop headers and those reserved for the router.
    ``timeout_s`` is how long the caller waits after ``arrived``, a time of the
    monotonic clock. ``resume_after`` is the id of the last event that the caller has of
    a stream that it takes up again, ``resumed_id`` the id of its request that brought
    the first event of that stream. ``body`` is valid until the request is answered.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: RawHeaders
    body: bytes | memoryview
    api_key: str | None
    timeout_s: float | None
    prompt: Prompt | None
    arrived: float
    resume_after: bytes | None = None
    resumed_id: str | None = None


class UpstreamCall(NamedTuple):
    """A request together with the values that the router adds for one upstream.

    ``workspace`` is the name of the caller's workspace. ``expires_in_s`` is the time
    until the request expires. ``urgency`` is 0 for the most urgent. ``resume_after``
    is the id of the last event delivered to the caller. ``fetch_from`` is the address
    of an engine that has more of the prompt in its cache.
    """

    request: CallerRequest
    upstream_id: str
    workspace: str | None
    expires_in_s: float
    urgency: int | None
    resume_after: bytes | None
    fetch_from: Address | None


class StatedLoad(NamedTuple):
    """The load that an upstream states in its answers.

    ``running`` and ``waiting`` count its requests, ``slots`` those that it runs at a
    time. ``work_percent`` is how long work takes there now, 100 as usual, ``None`` if
    it is not stated.
    """

    running: int
    waiting: int
    slots: int
    work_percent: float | None = None


class AnswerHead(NamedTuple):
    """The head of an upstream's answer.

    ``request_id`` is the request id that the upstream echoed. ``signed`` is true if the
    answer has the upstream's signature header. ``declined`` is true if the upstream
    states that it did not run the request. ``encoded`` is true if the body has a
    content encoding. ``keep_alive_timeout_s`` is the idle time after which the upstream
    closes the connection, if it states one. ``load`` is the load that the upstream
    states, if any. ``leaving`` is true if the upstream states that it stops soon.
    ``retry_after_s`` is the time for which an upstream that turned the request away
    wants no further one, if it states it.
    ``request_limit`` is the number of requests per second that the upstream takes from
    all hosts together, if it states one. ``brittle`` is the number of rejections per
    second above which the upstream crashes, if it states one.
    ``framing`` is how the end of the body is marked. ``media_type`` is the type of the
    body in lower case without parameters, empty if it is not stated.
    """

    status: int
    reason: bytes
    headers: RawHeaders
    request_id: str | None
    signed: bool
    declined: bool
    encoded: bool
    closes_connection: bool
    keep_alive_timeout_s: float | None
    load: StatedLoad | None
    leaving: bool = False
    retry_after_s: float | None = None
    request_limit: float | None = None
    brittle: float | None = None
    framing: Framing = Framing.LENGTH
    media_type: bytes = b''
