"""What a router process is told at its start."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address
    from rosemaryseam.policy.retrybudget import RetryBudgetLimits

MBPS_PER_CORE = 20.0  # a host with less for each core is bound by its link


class RouterSettings(NamedTuple):
    """Addresses and bounds of one host's router.

    ``key_age_s`` is how old the proof may be that a key is still valid. ``grace_s``
    is how long after SIGTERM the process is killed. ``peer_port`` is the same on all
    hosts. ``cores`` and ``link_mbps`` are what the process may use.
    """

    host: str
    zone: str
    ip: str
    callers: Address
    readiness: Address
    metrics: Address
    peer_port: int
    store: Address
    store_timeout_s: float
    memory_bytes: int
    descriptors: int
    grace_s: float
    key_age_s: float
    retry_terms: RetryBudgetLimits
    cores: float = 1.0
    link_mbps: float = 1000.0

    @property
    def capacity(self) -> float:
        """What the host has to spare for work that others wait for, in cores."""
        return min(self.cores, self.link_mbps / MBPS_PER_CORE)
