"""The division of a service's upstreams among dispatchers, the same on all hosts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from rosemaryseam.policy.rendezvous import rank_by_capacity, rank_by_hash

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

UPSTREAMS_PER_SLOT = 12  # one dispatcher weighs as many for each request


class SlotPlan:
    """Divides upstreams into slots of about the same size.

    Slots are decided by rendezvous hashing with bounded loads, so few upstreams change
    their slot when one comes or goes.

    :param service: whose upstreams they are
    :param upstreams: their ids
    """

    def __init__(self, service: str, upstreams: Sequence[str]) -> None:
        self._service = service
        self.count = max(1, math.ceil(len(upstreams) / UPSTREAMS_PER_SLOT))
        self._members = _divide(service, sorted(upstreams), self.count)

    def members(self, slot: int) -> Sequence[str]:
        """Return the upstreams of a slot.

        :param slot: from 0 on
        """
        return self._members[slot] if slot < len(self._members) else ()

    def preferred_slots(self, key: str) -> list[int]:
        """Return the slots in their order of preference for a session.

        :param key: of the session
        """
        names = {str(slot): slot for slot in range(self.count)}
        return [names[name] for name in rank_by_hash(key, names)]

    def rank_hosts(self, slot: int, capacities: Mapping[str, float]) -> list[str]:
        """Return hosts in the order in which they dispatch a slot.

        :param slot: from 0 on
        :param capacities: of the hosts that run
        """
        return rank_by_capacity(f'{self._service}#{slot}', capacities)


def _divide(
    service: str, upstreams: Sequence[str], count: int
) -> tuple[tuple[str, ...], ...]:
    most = math.ceil(len(upstreams) / count) if upstreams else 0
    slots: list[list[str]] = [[] for _ in range(count)]
    names = [str(slot) for slot in range(count)]
    for upstream in upstreams:
        for name in rank_by_hash(f'{service}/{upstream}', names):
            if len(slots[int(name)]) < most:
                slots[int(name)].append(upstream)
                break
    return tuple(tuple(members) for members in slots)
