"""Reports of crashes and quarantines between hosts."""

from __future__ import annotations

from typing import NamedTuple


class SuspectPart(NamedTuple):
    """A part of the prompts that a crash broke off, or the fingerprint of a request.

    ``position`` is its place in its prompts, 0 first; a fingerprint stands behind all
    parts. ``requests`` is the number of requests with it that were broken off.
    ``is_request`` tells that it is a fingerprint.
    ``answered_s`` and ``begun_s`` tell how long ago a request with it was last answered
    and an answer last began, infinite if that is not known.
    """

    digest: int
    position: int
    requests: int
    answered_s: float
    begun_s: float
    is_request: bool = False


class CrashReport(NamedTuple):
    """A crash of an upstream's incarnation, ``age_s`` seconds ago.

    The receiver of a report ``to_collect`` tells all hosts. A report that is
    ``collected`` holds what other hosts have reported to its sender.
    """

    upstream: str
    born: int
    age_s: float
    parts: tuple[SuspectPart, ...]
    to_collect: bool = False
    collected: bool = False


class QuarantinedPart(NamedTuple):
    """A part or request that gets no upstream for ``left_s`` of ``duration_s`` s."""

    digest: int
    left_s: float
    duration_s: float
