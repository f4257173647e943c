"""Assignment of partitions to hosts by rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

STRONG_SHARE = 0.5  # of the most capacity, from which on a place counts as strong


class HostCandidate(NamedTuple):
    """A host that may be assigned a partition."""

    host: str
    zone: str


def rank_by_hash(key: str, names: Iterable[str]) -> list[str]:
    """Return names in their order of preference for a key.

    :param key: what is placed
    :param names: the places
    """
    return sorted(names, key=lambda name: (-_score(key, name), name))


def rank_by_capacity(key: str, capacities: Mapping[str, float]) -> list[str]:
    """Return names in their order of preference, those with much capacity first.

    Work that many others wait for goes to places that have it to spare. Where all are
    about alike, this is :func:`rank_by_hash`.

    :param key: what is placed
    :param capacities: of the places
    """
    most = max(capacities.values(), default=0.0)
    strong = [name for name, own in capacities.items() if own >= most * STRONG_SHARE]
    weak = capacities.keys() - set(strong)
    return rank_by_hash(key, strong) + rank_by_hash(key, weak)


def assign_partition(
    partition: str, candidates: Iterable[HostCandidate], zones: Mapping[str, int]
) -> str | None:
    """Return the host of a partition, or ``None`` without candidates.

    :param partition: the partition's name
    :param candidates: live hosts that hold a catalogue
    :param zones: how many of the partition's upstreams stand in each zone
    """
    hosts = list(candidates)
    most = max((zones.get(entry.zone, 0) for entry in hosts), default=0)
    near = [entry.host for entry in hosts if zones.get(entry.zone, 0) == most]
    ranked = rank_by_hash(partition, near)
    return ranked[0] if ranked else None


def _score(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{key}\x00{name}'.encode())
