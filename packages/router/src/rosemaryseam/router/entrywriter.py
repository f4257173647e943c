"""Decides which host writes the entries in the store that all hosts agree about."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from rosemaryseam.policy.rendezvous import rank_by_capacity

if TYPE_CHECKING:
    import random

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.router.hostlink import HostLink

MAX_WRITES = 32  # per call to the store
DELAY_JITTER = 0.5  # share by which the delays of substitutes differ


class EntryWriter:
    """Tells a host when to write. One host writes; others do if it does not in time.

    :param host: address of this host
    :param capacity: relative capacity of this host
    :param prefix: prefix of the keys; different ones may have different writers
    :param delay_s: mean delay in seconds before other hosts write
    :param clock: clock of the process
    :param rng: source of the jitter of that delay
    """

    def __init__(
        self,
        host: str,
        capacity: float,
        prefix: str,
        delay_s: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._capacity = capacity
        self._prefix = prefix
        self._delay_s = delay_s * rng.uniform(1 - DELAY_JITTER, 1 + DELAY_JITTER)
        self._clock = clock
        self._link: HostLink | None = None
        self._differs_since = math.inf

    def connect(self, link: HostLink) -> None:
        """Set the link that knows the other hosts.

        :param link: link to the other hosts
        """
        self._link = link

    def may_write(self, *, differs: bool) -> bool:
        """Return whether this host should write now.

        :param differs: whether the entries differ from what they should be
        """
        now = self._clock.monotonic()
        if not differs:
            self._differs_since = math.inf
            return False
        self._differs_since = min(self._differs_since, now)
        return self._is_first() or now - self._differs_since > self._delay_s

    def _is_first(self) -> bool:
        others = self._link.known_hosts() if self._link is not None else {}
        hosts = {**others, self._host: self._capacity}
        return rank_by_capacity(self._prefix, hosts)[0] == self._host
