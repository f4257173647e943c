"""Request ids that are unique among all hosts and restarts."""

from __future__ import annotations

import itertools


class RequestIdGenerator:
    """Generates ids from the host, its incarnation and a counter.

    :param host: name of this host
    :param incarnation: incarnation of this process
    """

    def __init__(self, host: str, incarnation: int) -> None:
        self._base = f'{host}-{incarnation:x}'
        self._numbers = itertools.count(1)

    def next(self) -> str:
        """Return a new id."""
        return f'{self._base}-{next(self._numbers)}'
