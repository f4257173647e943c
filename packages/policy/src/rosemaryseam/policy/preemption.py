"""The choice of a running call that makes room for a higher tier."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rosemaryseam.policy.requests import Demand


class Running(NamedTuple):
    """A call in flight that may be preempted."""

    key: str
    tier: int
    upstream: str
    since: float


def choose_victim(
    demand: Demand, running: Iterable[Running], serving: frozenset[str]
) -> Running | None:
    """Return the call to preempt: lowest tier, then least work lost.

    :param demand: the request that needs a slot
    :param running: calls in flight whose class may be preempted
    :param serving: upstreams that can take the request
    """
    lower = [
        call for call in running if call.tier > demand.tier and call.upstream in serving
    ]
    return max(lower, key=lambda call: (call.tier, call.since, call.key), default=None)
