"""Tells in metrics and in some log lines which callers were turned away."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rosemaryseam.common.decisionlog import log_event

if TYPE_CHECKING:
    from rosemaryseam.common.clock import Clock
    from rosemaryseam.common.metrics import Metrics

LINES_PER_S = 5.0  # so that a crowd leaves room for the lines of other requests
BURST_LINES = 20.0


class TurnedAwayLog:
    """Counts the callers that were turned away and logs some of them.

    :param name: prefix of the metric and of the event
    :param clock: clock of the process
    :param metrics: counters of the process
    """

    def __init__(self, name: str, clock: Clock, metrics: Metrics) -> None:
        self._name = name
        self._clock = clock
        self._metrics = metrics
        self._lines = BURST_LINES
        self._refilled_at = clock.monotonic()
        self._omitted = 0  # lines since the last one

    def record(self, reason: str, peer: str, **fields: Any) -> None:
        """Record that a caller was turned away.

        :param reason: name of the reason, one of few
        :param peer: address of the caller
        :param fields: further fields of the line
        """
        self._metrics.count(f'{self._name}s_turned_away', reason=reason)
        if not self._take_line():
            self._omitted += 1
            return
        omitted, self._omitted = self._omitted, 0
        log_event(
            f'{self._name}_turned_away',
            reason=reason,
            peer=peer,
            omitted=omitted,
            **fields,
        )

    def _take_line(self) -> bool:
        now = self._clock.monotonic()
        gained = (now - self._refilled_at) * LINES_PER_S
        self._lines = min(BURST_LINES, self._lines + gained)
        self._refilled_at = now
        if self._lines < 1.0:
            return False
        self._lines -= 1.0
        return True
