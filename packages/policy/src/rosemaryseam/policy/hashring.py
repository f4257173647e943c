"""Consistent hashing: assigns keys to nodes that follow them on a ring."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


class HashRing:
    """Orders nodes on a ring; the nodes after a key's position are its own.

    A node that is added or removed changes the nodes of few keys.

    :param names: names of the nodes
    """

    def __init__(self, names: Iterable[str]) -> None:
        self._ring = sorted((_position(name), name) for name in names)

    def successors(self, key: str, count: int) -> list[str]:
        """Return the nodes of a key, at most as many as there are.

        :param key: key to look up
        :param count: number of nodes
        """
        size = len(self._ring)
        start = bisect.bisect(self._ring, (_position(key), ''))
        places = range(start, start + min(count, size))
        return [self._ring[place % size][1] for place in places]


def _position(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())
