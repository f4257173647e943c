"""What the router knows of one request and of one answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address

RawHeaders = list[tuple[bytes, bytes]]


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share."""

    digest: str
    tokens: int


class Prompt(NamedTuple):
    """What a request says of its prompt and its answer's length, in tokens."""

    model: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int

    @property
    def unshared_tokens(self) -> int:
        """Tokens of the last part, which no other request shares."""
        return self.parts[-1].tokens if self.parts else self.prompt_tokens

    @property
    def shared_prefix_digest(self) -> str:
        """The digest of the last part that requests share."""
        if len(self.parts) > 1:
            return self.parts[-2].digest
        return self.parts[0].digest if self.parts else ''


class CallerRequest(NamedTuple):
    """A request as a caller sent it, with its body read whole.

    ``timeout_s`` is how long the caller waits, counted from ``arrived``.
    ``headers`` are those to pass on: neither of the connection nor the system's.
    """

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: RawHeaders
    body: bytes
    api_key: str | None
    timeout_s: float | None
    prompt: Prompt | None
    arrived: float


class UpstreamCall(NamedTuple):
    """What the router adds to a request for one upstream.

    ``urgency`` is 0 for the most urgent; ``resume_after`` is the id of the last
    event that the caller has. ``fetch_from`` is an engine that holds more of the
    prompt.
    """

    request: CallerRequest
    upstream_id: str
    workspace: str | None
    time_left_s: float
    urgency: int | None
    resume_after: bytes | None
    fetch_from: Address | None


class AnswerHead(NamedTuple):
    """The head of an upstream's answer.

    ``signed`` tells that the upstream marked the answer as its own. ``declined``
    tells that the upstream says it did not run the request.
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
    load: tuple[int, int, int] | None
