"""Choice of the running call to preempt for a request of a higher tier."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from rosemaryseam.policy.requests import QueuedRequest


class PreemptibleCall(NamedTuple):
    """Describes a call in flight whose class may be preempted."""

    key: str
    request_class: str
    tier: int
    upstream: str
    since: float


def preemptible_calls(
    running: Iterable[PreemptibleCall], floors: Mapping[str, float], slots: int
) -> list[PreemptibleCall]:
    """Return the calls that may be preempted.

    A class with a floor keeps its share of the slots, at least one, so that calls
    admitted by the floor also complete.

    :param running: calls in flight that are not being preempted
    :param floors: floor of each class, as a share of all slots
    :param slots: total number of slots that the owners lend
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
    """Return the call to preempt: lowest tier first, then the latest start.

    Preempting the call that started last loses the least work.

    :param request: request that needs a slot
    :param running: calls that may be preempted
    :param serving: names of the upstreams that may serve the request
    """
    lower = [
        call
        for call in running
        if call.tier > request.tier and call.upstream in serving
    ]
    return max(lower, key=lambda call: (call.tier, call.since, call.key), default=None)
