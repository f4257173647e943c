"""Placement of a request on an upstream by prefix affinity and load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.policy.rendezvous import rank_by_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rosemaryseam.policy.requests import QueuedRequest, UpstreamCapacity

AFFINITY_LOAD_FACTOR = 1.25  # of the mean load, up to which affinity is kept
AFFINITY_CHOICES = 2  # upstreams that are tried in rank order for a prefix


def place(
    request: QueuedRequest, upstreams: Iterable[UpstreamCapacity]
) -> UpstreamCapacity | None:
    """Return the upstream for a request, or ``None`` when none has a free slot.

    The upstreams that rank first for the prompt's prefix are preferred while their
    load stays near the mean; otherwise the least loaded upstream is chosen.

    :param request: request to place
    :param upstreams: upstreams of the partition
    """
    open_upstreams = [
        upstream for upstream in upstreams if upstream.free and upstream.serves(request)
    ]
    if not open_upstreams:
        return None
    if request.prefix:
        preferred = _preferred(request.prefix, open_upstreams)
        if preferred is not None:
            return preferred
    return min(open_upstreams, key=lambda upstream: (load(upstream), upstream.name))


def load(upstream: UpstreamCapacity) -> float:
    """Return used slots and reported waiting requests per slot of an upstream.

    :param upstream: upstream to measure
    """
    return (upstream.used + upstream.reported_waiting) / upstream.concurrent


def _preferred(
    prefix: str, upstreams: list[UpstreamCapacity]
) -> UpstreamCapacity | None:
    mean = sum(load(upstream) for upstream in upstreams) / len(upstreams)
    bound = max(mean * AFFINITY_LOAD_FACTOR, 1.0 / upstreams[0].concurrent)
    by_name = {upstream.name: upstream for upstream in upstreams}
    for name in rank_by_hash(prefix, by_name)[:AFFINITY_CHOICES]:
        if load(by_name[name]) <= bound:
            return by_name[name]
    return None
