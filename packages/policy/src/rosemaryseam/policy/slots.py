"""Partitioning of a service's upstreams into slots, identical on all hosts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from rosemaryseam.policy.rendezvous import rank_by_capacity, rank_by_hash

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

UPSTREAMS_PER_SLOT = 12  # upstreams that a dispatcher compares for each request


class SlotPlan:
    """Divides a service's upstreams into slots, each served by one dispatcher.

    Rendezvous hashing with bounded loads keeps slots similar in size and moves few
    upstreams to another slot when one is added or removed.

    :param service: name of the service
    :param upstreams: ids of the service's upstreams
    """

    def __init__(self, service: str, upstreams: Sequence[str]) -> None:
        self._service = service
        self.count = max(1, math.ceil(len(upstreams) / UPSTREAMS_PER_SLOT))
        self._members = _divide(service, sorted(upstreams), self.count)

    def members(self, slot: int) -> Sequence[str]:
        """Return the upstreams of a slot.

        :param slot: index of the slot
        """
        return self._members[slot] if slot < len(self._members) else ()

    def preferred_slots(self, key: str) -> list[int]:
        """Return the slots in the order of preference for a session.

        :param key: key of the session
        """
        names = {str(slot): slot for slot in range(self.count)}
        return [names[name] for name in rank_by_hash(key, names)]

    def rank_hosts(self, slot: int, capacities: Mapping[str, float]) -> list[str]:
        """Return hosts in the order of preference for dispatching a slot.

        :param slot: index of the slot
        :param capacities: capacity of each running host
        """
        return rank_by_capacity(f'{self._service}#{slot}', capacities)


def _divide(
    service: str, upstreams: Sequence[str], count: int
) -> tuple[tuple[str, ...], ...]:
    max_members = math.ceil(len(upstreams) / count) if upstreams else 0
    slots: list[list[str]] = [[] for _ in range(count)]
    names = [str(slot) for slot in range(count)]
    for upstream in upstreams:
        for name in rank_by_hash(f'{service}/{upstream}', names):
            if len(slots[int(name)]) < max_members:
                slots[int(name)].append(upstream)
                break
    return tuple(tuple(members) for members in slots)
