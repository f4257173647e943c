"""Claims a duty for this host, keeps it and hands it over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.router.dutyport import DutyPort

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics
    from rosemaryseam.common.rangestore import RangeStore
    from rosemaryseam.policy.dutylease import Permission
    from rosemaryseam.router.dutyport import DutyResult
    from rosemaryseam.router.feed import OtherItems

DUTIES_PREFIX = 'rosemaryseam/duties/'


class DutyHolder:
    """Holds one duty while the store's lease and the permission last.

    :param name: name of the duty
    :param host: address of this host
    :param capacity: relative capacity of this host
    :param store: store that holds the duty's key
    :param hosts: returns the other hosts with their capacities
    :param lease_s: seconds after which the store removes the key of a silent holder
    :param clock: clock of the process, which counts suspended time
    :param metrics: counters of the process
    """

    def __init__(
        self,
        name: str,
        host: str,
        capacity: float,
        store: RangeStore,
        hosts: Callable[[], Mapping[str, float]],
        lease_s: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.name = name

    def permission(self) -> Permission | None:
        """Return the permission to act now, or ``None``."""
        return None

    def is_holder(self) -> bool:
        """Return whether this host holds the duty."""
        return False

    def holder(self) -> str | None:
        """Return the address of the host that holds the duty, if one does."""
        return None

    def apply_items(self, others: OtherItems) -> None:
        """Read the duty's key in the store, or a change of it.

        :param others: items of the store, among them the key
        """

    def step(self) -> None:
        """Claim, renew or hand over the duty if that is due; called repeatedly."""

    def release(self) -> None:
        """Hand the duty over, because the process stops."""


class HeldDutyPort(DutyPort):
    """Makes calls for a holder and tells it when calls begin and end.

    All calls of a duty go through it: a hand-over waits for the calls in flight.

    :param port: port that makes the calls
    :param holder: holder of the duty
    """

    def __init__(self, port: DutyPort, holder: DutyHolder) -> None:
        self._port = port
        self._holder = holder

    def report_usage(
        self, window: int, counts: Mapping[str, int], permission: Permission
    ) -> DutyResult:
        """Report the number of requests of each workspace in a window."""
        return self._port.report_usage(window, counts, permission)

    def order_upstreams(
        self, service: str, zone: str, count: int, spot: bool, permission: Permission
    ) -> DutyResult:
        """Order the number of upstreams of a service in a zone."""
        return self._port.order_upstreams(service, zone, count, spot, permission)
