"""Division of pools into partitions and their assignment to hosts."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from rosemaryseam.node.member import LIVE
from rosemaryseam.policy.rendezvous import HostCandidate, assign_partition, rank_by_hash

if TYPE_CHECKING:
    from rosemaryseam.common.catalogue import Catalogue, Pool, RequestClass, Upstream
    from rosemaryseam.node.member import MembershipView

MAX_PARTITION_UPSTREAMS = 32


class PartitionPlan(NamedTuple):
    """Lists the upstreams of a partition."""

    name: str
    pool: str
    upstreams: tuple[Upstream, ...]


class PartitionConfig(NamedTuple):
    """Holds the upstreams of a partition and all request classes by name."""

    upstreams: tuple[Upstream, ...]
    classes: dict[str, RequestClass]


def plan_partitions(catalogue: Catalogue) -> dict[str, PartitionPlan]:
    """Return the partitions of all pools by name.

    :param catalogue: catalogue in force
    """
    plans = {}
    for pool in catalogue.pools:
        for plan in _plan_pool(pool, catalogue):
            plans[plan.name] = plan
    return plans


def assign_partitions(
    plans: dict[str, PartitionPlan], view: MembershipView
) -> dict[str, str | None]:
    """Return the host that dispatches each partition, or ``None`` without a candidate.

    Candidates are the live hosts that are reachable and have a catalogue.

    :param plans: partitions by name
    :param view: membership as this host sees it
    """
    candidates = [
        HostCandidate(peer.host, peer.zone)
        for peer in view.peers
        if peer.state == LIVE and peer.reachable and peer.revision > 0
    ]
    return {
        name: assign_partition(name, candidates, _count_zones(plan))
        for name, plan in plans.items()
    }


def _plan_pool(pool: Pool, catalogue: Catalogue) -> list[PartitionPlan]:
    upstreams = [entry for entry in catalogue.upstreams if entry.pool == pool.name]
    count = max(1, math.ceil(len(upstreams) / MAX_PARTITION_UPSTREAMS))
    names = [f'{pool.name}#{index}' for index in range(count)]
    members: dict[str, list[Upstream]] = {name: [] for name in names}
    for upstream in upstreams:
        members[rank_by_hash(upstream.name, names)[0]].append(upstream)
    return [PartitionPlan(name, pool.name, tuple(members[name])) for name in names]


def _count_zones(plan: PartitionPlan) -> Counter[str]:
    return Counter(upstream.zone for upstream in plan.upstreams)
