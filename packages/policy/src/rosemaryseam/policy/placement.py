"""The choice of an upstream for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.policy.rendezvous import rank_by_hash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rosemaryseam.policy.requests import Demand, Supply

AFFINITY_HEADROOM = 1.25  # load above the mean at which prefix affinity yields
AFFINITY_CHOICES = 2


def place(demand: Demand, supplies: Iterable[Supply]) -> Supply | None:
    """Return the upstream for a request, or ``None`` when none has a free slot.

    The upstreams that rank first for the prompt's prefix are taken while their
    load stays near the mean; otherwise the least loaded one.

    :param demand: the request
    :param supplies: the upstreams of the partition
    """
    open_supplies = [
        supply for supply in supplies if supply.free and supply.serves(demand)
    ]
    if not open_supplies:
        return None
    if demand.prefix:
        preferred = _preferred(demand.prefix, open_supplies)
        if preferred is not None:
            return preferred
    return min(open_supplies, key=lambda supply: (load(supply), supply.name))


def load(supply: Supply) -> float:
    """Return the share of an upstream's slots in use, reported queue included.

    :param supply: the upstream
    """
    return (supply.used + supply.reported_waiting) / supply.concurrent


def _preferred(prefix: str, supplies: list[Supply]) -> Supply | None:
    mean = sum(load(supply) for supply in supplies) / len(supplies)
    bound = max(mean * AFFINITY_HEADROOM, 1.0 / supplies[0].concurrent)
    by_name = {supply.name: supply for supply in supplies}
    for name in rank_by_hash(prefix, by_name)[:AFFINITY_CHOICES]:
        if load(by_name[name]) <= bound:
            return by_name[name]
    return None
