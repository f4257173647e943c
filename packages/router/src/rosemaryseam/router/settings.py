"""Settings of a router process."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address
    from rosemaryseam.policy.retrybudget import RetryBudgetLimits

MBPS_PER_CORE = 20.0  # with less bandwidth for each core, the link is the bottleneck


class RouterSettings(NamedTuple):
    """Addresses and resource limits of one host's router.

    ``max_key_staleness_s`` is the configuration's staleness from which API keys are
    refused, since a key may have been revoked meanwhile. ``grace_s`` is the time from
    SIGTERM to the kill. ``peer_port`` is the same on all hosts. ``cores`` and
    ``link_mbps`` are the CPU and network shares of the process, ``descriptors`` its
    limit on open files.
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
    max_key_staleness_s: float
    retry_budget_limits: RetryBudgetLimits
    cores: float = 1.0
    link_mbps: float = 1000.0

    @property
    def capacity(self) -> float:
        """Capacity of the host for work on behalf of other hosts, in cores."""
        return min(self.cores, self.link_mbps / MBPS_PER_CORE)
