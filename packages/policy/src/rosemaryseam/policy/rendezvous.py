"""Assignment of partitions to hosts by rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

PREFERRED_CAPACITY_SHARE = 0.5  # of the largest capacity, from which hosts rank first


class HostCandidate(NamedTuple):
    """Describes a host to which a partition may be assigned."""

    host: str
    zone: str


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the order of their rendezvous hash for a key.

    :param key: name of the item to place
    :param names: names of the nodes
    """
    return sorted(names, key=lambda name: (-_score(key, name), name))


def rank_by_capacity(key: str, capacities: Mapping[str, float]) -> list[str]:
    """Return names ordered by rendezvous hash, those with large capacity first.

    It keeps work that many others wait for on nodes with capacity to spare. With
    similar capacities the order is that of :func:`rank_by_hash`.

    :param key: name of the item to place
    :param capacities: capacity of each node by name
    """
    largest = max(capacities.values(), default=0.0)
    large = [
        name
        for name, own in capacities.items()
        if own >= largest * PREFERRED_CAPACITY_SHARE
    ]
    small = capacities.keys() - set(large)
    return rank_by_hash(key, large) + rank_by_hash(key, small)


def assign_partition(
    partition: str, candidates: Iterable[HostCandidate], zones: Mapping[str, int]
) -> str | None:
    """Return the host of a partition, or ``None`` without candidates.

    Hosts in the zones with the most upstreams of the partition are preferred.

    :param partition: name of the partition
    :param candidates: live hosts that hold a catalogue
    :param zones: number of the partition's upstreams in each zone
    """
    hosts = list(candidates)
    most = max((zones.get(entry.zone, 0) for entry in hosts), default=0)
    near = [entry.host for entry in hosts if zones.get(entry.zone, 0) == most]
    ranked = rank_by_hash(partition, near)
    return ranked[0] if ranked else None


def _score(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\x00{name}'.encode())
