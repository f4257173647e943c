"""The choice of a running call that makes room for a higher tier."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rosemaryseam.policy.requests import QueuedRequest


class PreemptibleCall(NamedTuple):
    """A call in flight whose class may be preempted."""

    key: str
    request_class: str
    tier: int
    upstream: str
    since: float


def preemptible_calls(
    running: Iterable[PreemptibleCall], floors: Mapping[str, float], slots: int
) -> list[PreemptibleCall]:
    """Return the calls that may be preempted.

    A class keeps its floor's share of the slots, at least one, so that what its
    floor has served is also completed.

    :param running: calls in flight that are not being preempted
    :param floors: each class's floor
    :param slots: calls that the owners lend in all
    """
    by_class: dict[str, list[PreemptibleCall]] = {}
    for call in running:
        by_class.setdefault(call.request_class, []).append(call)
    return [
        call
        for name, calls in by_class.items()
        if len(calls) > math.ceil(floors[name] * slots)
        for call in calls
    ]


def choose_victim(
    request: QueuedRequest, running: Iterable[PreemptibleCall], serving: frozenset[str]
) -> PreemptibleCall | None:
    """Return the call to preempt: lowest tier, then least work lost.

    :param request: the request that needs a slot
    :param running: calls that may be preempted
    :param serving: upstreams that can take the request
    """
    lower = [
        call
        for call in running
        if call.tier > request.tier and call.upstream in serving
    ]
    return max(lower, key=lambda call: (call.tier, call.since, call.key), default=None)
