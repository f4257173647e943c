"""Request ids, unique in the fleet."""

from __future__ import annotations

import itertools


class RequestIdGenerator:
    """Counts the requests of one process.

    :param host: this host
    :param incarnation: of this process
    """

    def __init__(self, host: str, incarnation: int) -> None:
        self._base = f'{host}-{incarnation:x}'
        self._numbers = itertools.count(1)

    def next(self) -> str:
        """Return a new id."""
        return f'{self._base}-{next(self._numbers)}'
