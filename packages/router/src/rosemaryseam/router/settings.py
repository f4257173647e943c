"""Settings of a router process."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from rosemaryseam.common.addresses import Address
    from rosemaryseam.policy.retrybudget import RetryBudgetLimits

PROCESS_BYTES = 60_000_000  # of a router without callers
CALLER_SHARE = 0.8  # of the rest of its memory, for callers
MIN_CALLER_BYTES = 8_388_608  # two requests of the largest size
MBPS_PER_CORE = 20.0  # with less bandwidth for each core, the link is the bottleneck


class DutySettings(NamedTuple):
    """What one host at a time does for all through the platform's API.

    ``names`` are the duties in force, ``calls_per_s`` the number of calls that the API
    accepts from all hosts. Within ``lease_s`` a duty may not return to an earlier
    holder. A usage window lasts ``window_s``; its report is due ``report_due_s`` after
    its end.
    """

    api: Address
    names: tuple[str, ...]
    calls_per_s: float
    lease_s: float
    window_s: float
    report_due_s: float


class RouterSettings(NamedTuple):
    """Addresses and resource limits of one host's router.

    ``max_key_staleness_s`` is the configuration's staleness from which API keys are
    refused, since a key may have been revoked meanwhile. ``grace_s`` is the time from
    SIGTERM to the kill. ``peer_port`` is the same on all hosts. ``cores`` and
    ``link_mbps`` are the CPU and network shares of the process, ``descriptors`` its
    limit on open files. From ``stable_window_s`` after an upstream says that it is
    brittle, and after a host lost its upstreams, the promises for that state hold.
    Other hosts reach upstreams through this one at ``relay_port``, ``None`` if they
    don't.
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
    stable_window_s: float = 3.0
    relay_port: int | None = None
    duties: DutySettings | None = None

    @property
    def caller_memory_bytes(self) -> int:
        """Memory that callers may occupy, in bytes."""
        rest = max(0, self.memory_bytes - PROCESS_BYTES)
        return max(MIN_CALLER_BYTES, int(rest * CALLER_SHARE))

    @property
    def capacity(self) -> float:
        """Capacity of the host for work on behalf of other hosts, in cores."""
        return min(self.cores, self.link_mbps / MBPS_PER_CORE)
