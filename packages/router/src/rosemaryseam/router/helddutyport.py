"""Calls of a duty's holder, of which the holder takes note."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemaryseam.router.dutyport import DutyPort

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from rosemaryseam.common.clock import Clock
    from rosemaryseam.policy.dutylease import Permission
    from rosemaryseam.router.dutyholder import DutyHolder
    from rosemaryseam.router.dutyport import DutyResult


class HeldDutyPort(DutyPort):
    """Makes calls for a holder and tells it when calls begin and end.

    All calls of a duty go through it: a hand-over waits for the calls in flight.

    :param port: port that makes the calls
    :param holder: holder of the duty
    :param clock: clock of the process
    """

    def __init__(self, port: DutyPort, holder: DutyHolder, clock: Clock) -> None:
        self._port = port
        self._holder = holder
        self._clock = clock

    def report_usage(
        self, window: int, counts: Mapping[str, int], permission: Permission
    ) -> DutyResult:
        """Report the number of requests of each workspace in a window."""
        return self._call(lambda: self._port.report_usage(window, counts, permission))

    def order_upstreams(
        self, service: str, zone: str, count: int, spot: bool, permission: Permission
    ) -> DutyResult:
        """Order the number of upstreams of a service in a zone."""
        return self._call(
            lambda: self._port.order_upstreams(service, zone, count, spot, permission)
        )

    def _call(self, make: Callable[[], DutyResult]) -> DutyResult:
        began_at = self._clock.monotonic()
        self._holder.begin_call()
        try:
            return make()
        finally:
            self.answered_at = self._port.answered_at
            self._holder.end_call(answered=self.answered_at >= began_at)
